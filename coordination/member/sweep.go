// SPDX-License-Identifier: Apache-2.0

package member

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// SweepTask is the work of removing the lines of entries that are gone; the
	// entry that ranks first for it does it.
	SweepTask = "sweep"
	// staleAfter is how long a line must have stood unchanged before this
	// entry's eyes. Entries write theirs anew three times as often.
	staleAfter = 15 * time.Minute
)

// Sweep finds the lines of entries that are gone. It judges age by how long it
// has itself seen a version unchanged, never by clocks of others.
type Sweep struct{ seen map[string]sight }

type sight struct {
	version uint64
	since   time.Time
}

// Stale returns the lines that have not changed for long.
func (s *Sweep) Stale(lines []protocol.Object, now time.Time) []protocol.Object {
	seen := make(map[string]sight, len(lines))
	var stale []protocol.Object
	for _, o := range lines {
		before, known := s.seen[o.Name]
		if !known || before.version != o.Version {
			before = sight{version: o.Version, since: now}
		}
		seen[o.Name] = before
		if now.Sub(before.since) > staleAfter {
			stale = append(stale, o)
		}
	}
	s.seen = seen
	return stale
}
