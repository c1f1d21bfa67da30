// SPDX-License-Identifier: Apache-2.0

// Package census counts the entries that share a bound, from the records that
// each keeps of itself in the platform.
//
// An entry writes its record anew every Renew. Others judge a record only by how
// long they have themselves seen its version unchanged, so no clocks are
// compared. The count errs on the high side: a share that is too small wastes a
// little of the bound, one that is too large breaks it.
//
//	c.Seen(records, now)
//	share := slack / float64(c.Count(now))
package census

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// RenewInterval is how often an entry writes its record: a call a minute each.
	RenewInterval = time.Minute
	// ReadInterval is how often an entry reads all records.
	ReadInterval = 15 * time.Second
	// aliveFor is how long a record counts without being renewed.
	aliveFor = 150 * time.Second
	// keptFor is how long a record stays without being renewed before whoever sees
	// it removes it.
	keptFor = 10 * time.Minute
	// DefaultCount is the count before anything is known, a little more than the seven or
	// eight entries of today's deployments.
	DefaultCount = 10
)

// Counter is what one entry knows of the records. The zero value knows nothing.
type Counter struct {
	records map[string]record
	known   bool
}

type record struct {
	version uint64
	since   time.Time // from when this entry has seen the version unchanged
}

// Observe takes all records as read at that time.
func (c *Counter) Observe(objects []protocol.Object, now time.Time) {
	next := make(map[string]record, len(objects))
	for _, o := range objects {
		r := record{version: o.Version, since: now}
		if before, ok := c.records[o.Name]; ok && before.version == o.Version {
			r.since = before.since
		}
		next[o.Name] = r
	}
	c.records = next
	c.known = true
}

// Count returns how many entries there may be, never less than 1.
func (c *Counter) Count(now time.Time) int {
	if !c.known {
		return DefaultCount
	}
	n := 0
	for _, r := range c.records {
		if now.Sub(r.since) < aliveFor {
			n++
		}
	}
	return max(1, n)
}

// StaleRecord is a record that nobody renews any more.
type StaleRecord struct {
	name    string
	version uint64
}

// Name returns the record's name.
func (o StaleRecord) Name() string { return o.name }

// Version returns the version that must still be there to remove it.
func (o StaleRecord) Version() uint64 { return o.version }

// Stale returns the records to remove.
func (c *Counter) Stale(now time.Time) []StaleRecord {
	var old []StaleRecord
	for name, r := range c.records {
		if now.Sub(r.since) >= keptFor {
			old = append(old, StaleRecord{name: name, version: r.version})
		}
	}
	return old
}
