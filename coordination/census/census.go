// SPDX-License-Identifier: Apache-2.0

// Package census counts the entries that share a bound, from the record that each entry
// keeps of itself in the platform.
//
// An entry rewrites its record every RenewInterval. Other entries measure a record's age
// only by how long they have themselves seen its version unchanged, so clocks are never
// compared. The count errs on the high side: a share that is too small wastes a little of
// the bound, but a share that is too large exceeds it. So the records that a restored
// platform lacks count on until their entries had time to write them again.
//
//	records := c.Observe(list, now)
//	share := slack / float64(c.Count(now))
package census

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// RenewInterval is how often an entry writes its record: one call a minute for each entry.
	RenewInterval = time.Minute
	// ReadInterval is how often an entry reads all records.
	ReadInterval = 15 * time.Second
	// recordTTL is how long a record counts without being renewed.
	recordTTL = 150 * time.Second
	// removeAfter is how long a record stays in the platform without being renewed. Any entry
	// that sees an older one removes it.
	removeAfter = 10 * time.Minute
	// ReturnPeriod is how long after a restore of the platform the records that it lacks count.
	ReturnPeriod = 30 * time.Second
	// DefaultCount is the count before the first read: a little more than the seven or eight
	// entries of current deployments.
	DefaultCount = 10
)

// Counter holds the records as one entry has seen them. The zero value has seen none.
type Counter struct {
	records     map[string]record
	observed    bool
	era         uint64    // of the platform at the last list
	returnUntil time.Time // end of the ReturnPeriod
}

// record is an entry's record and when its version was first seen.
type record struct {
	object         protocol.Object
	unchangedSince time.Time // from when this entry has seen the version unchanged
}

// Observe records the state of all records as read at the given time. It returns the records of the
// list, and after a restore of the platform also those that the list lacks and that still count.
func (c *Counter) Observe(l protocol.Listing, now time.Time) []protocol.Object {
	if c.observed && c.era < l.Revision.Era {
		c.returnUntil = now.Add(ReturnPeriod)
	}
	c.observed, c.era = true, max(c.era, l.Revision.Era)
	next := make(map[string]record, len(l.Objects))
	for _, o := range l.Objects {
		r := record{object: o, unchangedSince: now}
		if last, ok := c.records[o.Name]; ok && last.object.Version == o.Version {
			r.unchangedSince = last.unchangedSince
		}
		next[o.Name] = r
	}
	records := slices.Clone(l.Objects)
	if now.Before(c.returnUntil) {
		for name, r := range c.records {
			if _, listed := next[name]; !listed && r.counts(now) {
				next[name] = r
				records = append(records, r.object)
			}
		}
	}
	c.records = next
	return records
}

// counts reports whether the record's entry counts.
func (r record) counts(now time.Time) bool { return now.Sub(r.unchangedSince) < recordTTL }

// Count returns an estimate of the number of entries, at least 1. It errs on the high side.
func (c *Counter) Count(now time.Time) int {
	if !c.observed {
		return DefaultCount
	}
	return max(1, len(c.Names(now)))
}

// Names returns the names of the entries that count, in order. It returns none before the first read.
func (c *Counter) Names(now time.Time) []string {
	var names []string
	for name, r := range c.records {
		if r.counts(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// StaleRecord is a record that its entry no longer renews.
type StaleRecord struct {
	name    string
	version protocol.Revision
}

// Name returns the name of the record.
func (r StaleRecord) Name() string { return r.name }

// Version returns the version that the record must still have when it is removed.
func (r StaleRecord) Version() protocol.Revision { return r.version }

// Stale returns the records to remove.
func (c *Counter) Stale(now time.Time) []StaleRecord {
	var stale []StaleRecord
	for name, r := range c.records {
		if now.Sub(r.unchangedSince) >= removeAfter {
			stale = append(stale, StaleRecord{name: name, version: r.object.Version})
		}
	}
	return stale
}
