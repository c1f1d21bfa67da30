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
	// firstLook is how long after its first look an entry looks again that has not seen
	// its own record yet, and so may not have seen others' either: all start within a
	// third of a second of each other, and a cheap list is as the platform held it some
	// seconds ago. The time doubles with each look; after cheapLooks of them a list is
	// asked for that is of this moment, and after firstLooks it is done without.
	firstLook  = 400 * time.Millisecond
	cheapLooks = 3
	firstLooks = 4
	// failedDoublings is how often the rest after a failed look doubles, up to
	// registerAgain.
	failedDoublings = 4
)

// begin looks for other entries and for the record of an earlier life of this one, writes
// its own, and returns when to go on. A record that needs no change is renewed later:
// entries start many at a time.
func (r *register) begin(ctx context.Context, now time.Time) time.Time {
	read := r.front.Outside.Objects.ListLately
	if r.looks >= cheapLooks {
		read = r.front.Outside.Objects.List
	}
	list, err := read(ctx, entryKind)
	if err != nil {
		r.front.platformFailed("entries", err)
		r.failures++
		return now.Add(min(registerAgain, firstLook<<min(r.failures-1, failedDoublings)))
	}
	r.looks++
	r.failures = 0
	seen := r.recognize(list.Objects, now)
	r.settled = seen || r.looks >= firstLooks
	if r.settled {
		r.front.source.Hold(entryKind, list)
		r.take(ctx, list)
	} else {
		r.learn(list.Objects, false)
	}
	if r.renewAt.IsZero() {
		if err := r.renew(ctx); err != nil {
			return now.Add(registerAgain)
		}
	}
	if r.settled {
		r.lookAt = now.Add(lookFollowed)
		return r.lookAt
	}
	return now.Add(firstLook << (r.looks - 1))
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
		r.version, r.beat = o.Version, record.Beat
		if record.Key != "" {
			r.front.source.Keep(record.Key)
		}
		own := r.front.source.Record()
		own.Name, own.Beat = "", record.Beat
		if record == own {
			r.renewAt = now.Add(rand.N(census.Renew))
		}
		return true
	}
	return false
}
