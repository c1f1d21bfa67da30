// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/census"
	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// entryKind is the kind of the records that entries keep of themselves.
	entryKind = "pinerun-entries"
	// registrationTimeout bounds the calls of one step.
	registrationTimeout = 5 * time.Second
	// registrationRetryDelay is the delay after a failed call, and the longest delay between two
	// reads at startup: a whole fleet may start during an outage.
	registrationRetryDelay = 2 * time.Second
	// sharedReadInterval is how often an entry that others follow reads the records for all of
	// them, and how often an entry that follows a peer checks what the peer reported.
	sharedReadInterval = 2 * time.Second
	// staleListAge bounds the age of what a stale list shows. After a restore of the platform it may
	// still be from before, with revisions that the platform gives out again.
	staleListAge = 10 * time.Second
	// returnSpread is the time, multiplied by the number of entries, over which entries write their
	// records again that a restored platform lacks: a hundred a second, a quarter of the platform's
	// rate. It ends well within census.ReturnPeriod.
	returnSpread    = 10 * time.Millisecond
	maxReturnSpread = census.ReturnPeriod * 2 / 3
	// maxConflicts is how often in a row a write of the own record is repeated with the version that the
	// platform named.
	maxConflicts = 2
)

// registration keeps this entry's record and counts the records of all entries. Of the entries that
// follow one another, one reads the records and reports them to the others.
type registration struct {
	front *Front

	done        lifecycle.Done
	census      census.Counter
	version     protocol.Revision // of the own record, zero if unknown
	heartbeat   uint64
	renewAt     time.Time
	reads       int // at startup
	failures    int // consecutive failed reads at startup
	search      peerSearch
	seedEntries seedEntries
	started     bool // startup is over: the own record was seen, or a peer reports all records
	nextRead    time.Time
	revision    protocol.Revision // of the records that were counted last
	entryCount  int
	members     []string     // names of the entries that count
	dataCenters atomic.Int64 // number of data centers that have entries
	restores    int          // restores of the platform that were handled
	freshUntil  time.Time    // until when stale lists may be from before a restore
}

func (r *registration) run() {
	for !r.done.Closed() {
		next := r.step(time.Now())
		// A peer that the entry begins to follow reports what startup reads.
		var relinked <-chan struct{}
		if !r.started {
			relinked = r.front.source.Relinked()
		}
		restored := r.front.Dependencies.Eras.Restored()
		if r.front.Dependencies.Eras.Restores() != r.restores {
			continue
		}
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-relinked:
		case <-restored:
		case <-r.done.Done():
		}
		t.Stop()
	}
}

// step does what is due, and returns when to run the next step.
func (r *registration) step(now time.Time) time.Time {
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	r.checkRestores(now)
	if !r.started {
		return r.start(ctx, now)
	}
	if !now.Before(r.renewAt) {
		if err := r.renew(ctx); err != nil {
			return now.Add(registrationRetryDelay)
		}
	}
	if !now.Before(r.nextRead) {
		r.nextRead = r.readAll(ctx, now)
	}
	return earlier(r.nextRead, r.renewAt)
}

// checkRestores makes a restore of the platform known: all records are read at once, and not from a stale
// list.
func (r *registration) checkRestores(now time.Time) {
	if n := r.front.Dependencies.Eras.Restores(); n != r.restores {
		r.restores = n
		r.seedEntries = seedEntries{} // the platform may have lost it
		r.nextRead = now
		r.freshUntil = now.Add(staleListAge)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readAll reads all records, or takes those that a peer reported, and returns when to read again.
func (r *registration) readAll(ctx context.Context, now time.Time) time.Time {
	source := &r.front.source
	if source.Following() {
		if revision := source.Revision(entryKind); revision != r.revision {
			list, _ := source.Objects(entryKind)
			r.applyList(ctx, list)
		}
		r.updateCount(now)
		return now.Add(sharedReadInterval)
	}
	list, err := r.listAll(ctx, now)
	if err != nil {
		r.front.platformFailed("entries", err)
		return now.Add(registrationRetryDelay)
	}
	source.ApplyList(entryKind, list)
	r.applyList(ctx, list)
	if source.Followed() {
		return now.Add(sharedReadInterval)
	}
	return now.Add(census.ReadInterval)
}

// listAll reads all records from the platform.
func (r *registration) listAll(ctx context.Context, now time.Time) (protocol.Listing, error) {
	if now.Before(r.freshUntil) {
		return r.front.Dependencies.Objects.List(ctx, entryKind)
	}
	return r.front.Dependencies.Objects.ListStale(ctx, entryKind)
}

// applyList applies a list of all records: it counts them and reports their entries. Unless a peer
// does so, it also removes the records that are no longer renewed.
func (r *registration) applyList(ctx context.Context, list protocol.Listing) {
	now := time.Now()
	r.revision = list.Revision
	r.checkOwnRecord(list, now)
	objects := r.census.Observe(list, now)
	r.updateCount(now)
	records := r.learnEntries(objects, true)
	if r.front.source.Following() {
		return
	}
	r.writeSeedEntries(ctx, relay.SeedEntries(records))
	for _, stale := range r.census.Stale(now) {
		if err := r.front.Dependencies.Objects.Delete(ctx, entryKind, stale.Name(), stale.Version()); err != nil {
			r.front.platformFailed("entries", err)
		}
	}
}

// checkOwnRecord looks for the own record in a list of a later era than the one in which it was written.
// If the platform has lost it, it is written again.
func (r *registration) checkOwnRecord(list protocol.Listing, now time.Time) {
	if r.version.IsZero() || list.Revision.Era <= r.version.Era {
		return
	}
	r.version = protocol.Revision{}
	for _, o := range list.Objects {
		if o.Name == r.front.Settings.Name {
			r.version = o.Version
			return
		}
	}
	spread := min(maxReturnSpread, returnSpread*time.Duration(max(1, r.entryCount)))
	r.renewAt = earlier(r.renewAt, now.Add(rand.N(spread)))
}

// updateCount sets the number and the names of the entries that share the limits.
func (r *registration) updateCount(now time.Time) {
	if names := r.census.Names(now); !slices.Equal(names, r.members) {
		r.members = names
		r.front.source.RateLimits().SetMembers(r.front.Settings.Name, names)
	}
	n := r.census.Count(now)
	if n == r.entryCount {
		return
	}
	r.entryCount = n
	r.front.forwarder.SetEntryCount(n)
	event.EntriesCounted.Log(r.front.Logger, slog.Int("entries", n), r.revision.LogAttr())
}

// learnEntries reports to the source which entries it can follow, counts their data centers, and
// returns their records.
func (r *registration) learnEntries(objects []protocol.Object, all bool) []protocol.EntryRecord {
	records := make([]protocol.EntryRecord, 0, len(objects))
	dataCenters := make(map[string]bool)
	for _, o := range objects {
		record, err := decodeRecord(o)
		if err != nil {
			event.EntryIgnored.Log(r.front.Logger, slog.String("peer", o.Name), slog.String("cause", err.Error()))
			continue
		}
		records = append(records, record)
		dataCenters[record.DataCenter] = true
	}
	r.dataCenters.Store(int64(len(dataCenters)))
	r.front.source.Learn(records, all)
	r.front.links.SetPeers(records)
	return records
}

// decodeRecord returns the record of an entry.
func decodeRecord(o protocol.Object) (protocol.EntryRecord, error) {
	record := protocol.EntryRecord{Name: o.Name}
	err := json.Unmarshal(o.Value, &record)
	return record, err
}

// renew writes the own record, and sets when to do so again. A write whose response was lost may or
// may not have taken effect; the next write detects that by the version and overwrites it.
func (r *registration) renew(ctx context.Context) error {
	f := r.front
	r.heartbeat++
	record := f.source.Record()
	record.Heartbeat = r.heartbeat
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	version, err := r.putRecord(ctx, value)
	if err != nil {
		f.platformFailed("entries", err)
		return err
	}
	r.version = version
	r.renewAt = time.Now().Add(census.RenewInterval)
	return nil
}

// putRecord writes the own record over whatever version the platform holds: only this entry writes it. The
// version that a conflict names is unknown if the platform was restored, so there may be two in a row.
func (r *registration) putRecord(ctx context.Context, value []byte) (protocol.Revision, error) {
	for attempts := 0; ; attempts++ {
		version, err := r.front.Dependencies.Objects.Put(ctx, entryKind, r.front.Settings.Name, r.version, value)
		var conflict *platform.Conflict
		if !errors.As(err, &conflict) || attempts == maxConflicts {
			return version, err
		}
		r.version = conflict.Version()
	}
}
