// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/coordination/census"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
)

const (
	// firstReadDelay is how long after its first read an entry reads the entries' records again if
	// it follows no peer and has not seen its own record, and so perhaps not those of others: all
	// entries of a fleet start within a third of a second of each other, and a cached list is some
	// seconds old. The delay doubles with each read, up to registrationRetryDelay. After
	// maxPagedReads reads that found no peer, the entry reads all records; after maxStartupReads it
	// stops waiting for its own record.
	firstReadDelay  = 400 * time.Millisecond
	maxPagedReads   = 3
	maxStartupReads = 4
	// maxFailureDoublings is how often the delay after a failed read doubles, up to
	// registrationRetryDelay.
	maxFailureDoublings = 4
)

// start looks for other entries and for the record of an earlier incarnation of this entry, writes
// its own record, and returns when to run the next step. A record that needs no change is renewed
// later, because many entries start at the same time. Once the entry follows a peer, the peer
// reports all records.
func (r *registration) start(ctx context.Context, now time.Time) time.Time {
	switch {
	case !r.renewAt.IsZero() && r.front.source.Following():
		r.finishStart()
		r.nextRead = now
	case !now.Before(r.nextRead):
		r.nextRead = now.Add(r.readAtStart(ctx, now))
	}
	return r.nextRead
}

// readAtStart reads records once, and returns how long to wait until the next read.
func (r *registration) readAtStart(ctx context.Context, now time.Time) time.Duration {
	list, err := r.readSeedEntries(ctx)
	hasSeeds, all := len(list.Objects) > 0, false
	if err == nil && !hasSeeds {
		list, all, err = r.readPeers(ctx)
	}
	if err != nil {
		r.front.platformFailed("entries", err)
		r.failures++
		return min(registrationRetryDelay, firstReadDelay<<min(r.failures-1, maxFailureDoublings))
	}
	r.reads++
	r.failures = 0
	seen := r.recoverOwnRecord(list.Objects, now)
	finished := all && (seen || r.reads >= maxStartupReads)
	if finished {
		r.finishStart()
		r.applyStartupList(ctx, list)
	} else {
		r.learnEntries(list.Objects, false)
	}
	if r.renewAt.IsZero() {
		if err := r.renew(ctx); err != nil {
			return registrationRetryDelay
		}
	}
	switch {
	case finished:
		return sharedReadInterval
	case hasSeeds:
		return seedEntriesWait
	}
	return min(registrationRetryDelay, firstReadDelay<<min(r.reads-1, maxFailureDoublings))
}

// finishStart ends the startup phase. From now on the records are read at the regular intervals.
func (r *registration) finishStart() {
	r.started = true
	r.search = peerSearch{}
}

// applyStartupList applies all records that were read at startup. If the entry has begun to follow
// a peer meanwhile, the source keeps the peer's records: a list in between would interrupt their
// sequence. A platform that was restored may have been so a moment ago, and the stale list be from
// before; the source gets another one then.
func (r *registration) applyStartupList(ctx context.Context, list protocol.Listing) {
	if !r.front.source.Following() && r.front.Dependencies.Eras.Latest() > 0 {
		fresh, err := r.front.Dependencies.Objects.List(ctx, entryKind)
		if err != nil {
			r.front.platformFailed("entries", err)
			r.nextRead = time.Now()
			return
		}
		list = fresh
	}
	if !r.front.source.Following() {
		r.front.source.ApplyList(entryKind, list)
	}
	r.applyList(ctx, list)
}

// readPeers returns records to find peers in, and whether these include every record. It reads only
// as many pages as that takes. If the first reads found no peer, it returns an uncached list of all
// records.
func (r *registration) readPeers(ctx context.Context) (protocol.Listing, bool, error) {
	objects := r.front.Dependencies.Objects
	switch {
	case r.reads < maxPagedReads, len(peersAmong(r.search.objects, r.front.source.Record())) > 0:
		return r.search.run(ctx, objects, r.front.source.Record())
	default:
		list, err := objects.List(ctx, entryKind)
		return list, true, err
	}
}

// recoverOwnRecord reports whether the record of this entry is among those that were read, and
// takes over the version, heartbeat and key that an earlier incarnation wrote.
func (r *registration) recoverOwnRecord(objects []protocol.Object, now time.Time) bool {
	for _, o := range objects {
		if o.Name != r.front.Settings.Name {
			continue
		}
		var record protocol.EntryRecord
		if err := json.Unmarshal(o.Value, &record); err != nil {
			event.EntryIgnored.Log(r.front.Logger, slog.String("peer", o.Name), slog.String("cause", err.Error()))
			return false
		}
		if !r.renewAt.IsZero() {
			return true // written by this incarnation
		}
		r.version, r.heartbeat = o.Version, record.Heartbeat
		if record.Key != "" {
			r.front.source.SetKey(record.Key)
		}
		own := r.front.source.Record()
		own.Name, own.Heartbeat = "", record.Heartbeat
		if record == own {
			r.renewAt = now.Add(rand.N(census.RenewInterval))
		}
		return true
	}
	return false
}
