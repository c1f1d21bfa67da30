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
	// firstLook is how long after its first look an entry looks again that follows nobody and
	// has not seen its own record yet, and so may not have seen others' either: all start
	// within a third of a second of each other, and a cheap list is as the platform held it
	// some seconds ago. The time doubles with each look, up to registerAgain; after cheapLooks of
	// them that found nobody all records are read, and after firstLooks it is done without the own one.
	firstLook  = 400 * time.Millisecond
	cheapLooks = 3
	firstLooks = 4
	// failedDoublings is how often the rest after a failed look doubles, up to
	// registerAgain.
	failedDoublings = 4
)

// begin looks for other entries and for the record of an earlier life of this one, writes
// its own, and returns when to go on. A record that needs no change is renewed later:
// entries start many at a time. Once a peer is followed, it tells all records.
func (r *register) begin(ctx context.Context, now time.Time) time.Time {
	switch {
	case !r.renewAt.IsZero() && r.front.source.Following():
		r.settle()
		r.lookAt = now
	case !now.Before(r.lookAt):
		r.lookAt = now.Add(r.lookFirst(ctx, now))
	}
	return r.lookAt
}

// lookFirst looks once, and returns how long to rest until the next look.
func (r *register) lookFirst(ctx context.Context, now time.Time) time.Duration {
	list, err := r.readFirsts(ctx)
	enough, all := len(list.Objects) > 0, false
	if err == nil && !enough {
		list, all, err = r.read(ctx)
	}
	if err != nil {
		r.front.platformFailed("entries", err)
		r.failures++
		return min(registerAgain, firstLook<<min(r.failures-1, failedDoublings))
	}
	r.looks++
	r.failures = 0
	seen := r.recognize(list.Objects, now)
	settled := all && (seen || r.looks >= firstLooks)
	if settled {
		r.settle()
		r.takeFirst(ctx, list)
	} else {
		r.learn(list.Objects, false)
	}
	if r.renewAt.IsZero() {
		if err := r.renew(ctx); err != nil {
			return registerAgain
		}
	}
	switch {
	case settled:
		return lookFollowed
	case enough:
		return firstsRest
	}
	return min(registerAgain, firstLook<<min(r.looks-1, failedDoublings))
}

// settle ends the start: the records are looked at from now on as at any time.
func (r *register) settle() {
	r.settled = true
	r.search = search{}
}

// takeFirst takes all records that were read at the start. Those of a peer that was followed
// meanwhile go on from what it told: a list in between would break them off.
func (r *register) takeFirst(ctx context.Context, list protocol.Listing) {
	if !r.front.source.Following() {
		r.front.source.ApplyList(entryKind, list)
	}
	r.take(ctx, list)
}

// read returns records to find peers in, and whether they are all there are: only as many as that
// takes. If none was found in the first looks, they are all, as of this moment.
func (r *register) read(ctx context.Context) (protocol.Listing, bool, error) {
	objects := r.front.Dependencies.Objects
	switch {
	case r.looks < cheapLooks, len(peersAmong(r.search.objects, r.front.source.Record())) > 0:
		return r.search.run(ctx, objects, r.front.source.Record())
	default:
		list, err := objects.List(ctx, entryKind)
		return list, true, err
	}
}

// recognize reports whether the own record is among those that were read, and takes over
// what it says of an earlier life.
func (r *register) recognize(objects []protocol.Object, now time.Time) bool {
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
			return true // written in this life
		}
		r.version, r.beat = o.Version, record.Heartbeat
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
