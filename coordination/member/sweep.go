// SPDX-License-Identifier: Apache-2.0

package member

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// SweepTask is the task of removing the records of entries that are gone. The entry that
	// ranks first for it performs it.
	SweepTask = "sweep"
	// staleAfter is how long a record must remain unchanged, as observed by this entry. An
	// entry rewrites its own record three times as often.
	staleAfter = 15 * time.Minute
)

// Sweep finds the records of entries that are gone. It measures a record's age by how long
// it has itself seen the version unchanged, never by the clock of another entry.
type Sweep struct{ seen map[string]observation }

// observation is a record's version and when it was first seen.
type observation struct {
	version        protocol.Revision
	unchangedSince time.Time
}

// Stale returns the records that have not changed for staleAfter.
func (s *Sweep) Stale(objects []protocol.Object, now time.Time) []protocol.Object {
	seen := make(map[string]observation, len(objects))
	var stale []protocol.Object
	for _, o := range objects {
		last, known := s.seen[o.Name]
		if !known || last.version != o.Version {
			last = observation{version: o.Version, unchangedSince: now}
		}
		seen[o.Name] = last
		if now.Sub(last.unchangedSince) > staleAfter {
			stale = append(stale, o)
		}
	}
	s.seen = seen
	return stale
}
