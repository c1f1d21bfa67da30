// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/census"
	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// entryKind is the kind of the records that entries keep of themselves.
	entryKind = "pinerun-entries"
	// registerLimit bounds the calls of one turn.
	registerLimit = 5 * time.Second
	// registerAgain is when to look again after a failed call, and the most there is
	// between two at the start: a whole fleet may start in an outage.
	registerAgain = 2 * time.Second
	// lookFollowed is how often an entry that others follow reads the records for all,
	// and an entry that follows looks at what it was told.
	lookFollowed = 2 * time.Second
)

// register keeps this entry's record and counts those of all entries. Of the entries
// that follow one another, one reads the records; the others are told.
type register struct {
	front *Front

	done     part.Done
	census   census.Counter
	version  uint64 // of the own record, 0 if unknown
	beat     uint64
	renewAt  time.Time
	looks    int // of the start
	failures int // of looks of the start, in a row
	search   search
	firsts   firsts
	settled  bool // the start is over: the own record was seen, or a peer tells all
	lookAt   time.Time
	at       uint64 // revision of the records that were counted last
	counted  int
	centers  atomic.Int64 // data centers that have entries
}

func (r *register) run() {
	for !r.done.Closed() {
		next := r.turn(time.Now())
		var followed <-chan struct{} // a peer tells what the start looks for
		if !r.settled {
			followed = r.front.source.Relinked()
		}
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-followed:
		case <-r.done.Done():
		}
		t.Stop()
	}
}

// turn does what is due, and returns when to act again.
func (r *register) turn(now time.Time) time.Time {
	ctx, cancel := context.WithTimeout(context.Background(), registerLimit)
	defer cancel()
	if !r.settled {
		return r.begin(ctx, now)
	}
	if !now.Before(r.renewAt) {
		if err := r.renew(ctx); err != nil {
			return now.Add(registerAgain)
		}
	}
	if !now.Before(r.lookAt) {
		r.lookAt = r.look(ctx, now)
	}
	return earlier(r.lookAt, r.renewAt)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// look reads all records, or those that a peer told, and returns when to look again.
func (r *register) look(ctx context.Context, now time.Time) time.Time {
	source := &r.front.source
	if source.Following() {
		if at := source.Revision(entryKind); at != r.at {
			list, _ := source.Objects(entryKind)
			r.take(ctx, list)
		}
		r.count(now)
		return now.Add(lookFollowed)
	}
	list, err := r.front.Dependencies.Objects.ListLately(ctx, entryKind)
	if err != nil {
		r.front.platformFailed("entries", err)
		return now.Add(registerAgain)
	}
	source.ApplyList(entryKind, list)
	r.take(ctx, list)
	if source.Followed() {
		return now.Add(lookFollowed)
	}
	return now.Add(census.ReadInterval)
}

// take takes all records: it counts them, tells whom they are of, and removes those that
// nobody renews unless a peer does.
func (r *register) take(ctx context.Context, list protocol.Listing) {
	now := time.Now()
	r.at = list.At
	r.census.Observe(list.Objects, now)
	r.count(now)
	records := r.learn(list.Objects, true)
	if r.front.source.Following() {
		return
	}
	r.keepFirsts(ctx, relay.SeedEntries(records))
	for _, old := range r.census.Stale(now) {
		if err := r.front.Dependencies.Objects.Delete(ctx, entryKind, old.Name(), old.Version()); err != nil {
			r.front.platformFailed("entries", err)
		}
	}
}

// count tells how many entries share the bounds.
func (r *register) count(now time.Time) {
	n := r.census.Count(now)
	if n == r.counted {
		return
	}
	r.counted = n
	r.front.forwarder.SetEntryCount(n)
	event.EntriesCounted.Log(r.front.Logger, slog.Int("entries", n), slog.Uint64("revision", r.at))
}

// learn tells the source which entries there may be to follow, counts their data centers, and
// returns their records.
func (r *register) learn(objects []protocol.Object, all bool) []protocol.EntryRecord {
	records := make([]protocol.EntryRecord, 0, len(objects))
	centers := make(map[string]bool)
	for _, o := range objects {
		record, err := decodeRecord(o)
		if err != nil {
			event.EntryIgnored.Log(r.front.Logger, slog.String("peer", o.Name), slog.String("cause", err.Error()))
			continue
		}
		records = append(records, record)
		centers[record.DataCenter] = true
	}
	r.centers.Store(int64(len(centers)))
	r.front.source.Learn(records, all)
	return records
}

// decodeRecord returns the record of an entry.
func decodeRecord(o protocol.Object) (protocol.EntryRecord, error) {
	record := protocol.EntryRecord{Name: o.Name}
	err := json.Unmarshal(o.Value, &record)
	return record, err
}

// renew writes the own record, and sets when to do so again. Whatever else may have
// become of a write whose answer was lost, the next one settles it.
func (r *register) renew(ctx context.Context) error {
	f := r.front
	r.beat++
	record := f.source.Record()
	record.Heartbeat = r.beat
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	version, err := f.Dependencies.Objects.Put(ctx, entryKind, f.Settings.Name, r.version, value)
	var raced *platform.Conflict
	if errors.As(err, &raced) {
		r.version = raced.Held()
		version, err = f.Dependencies.Objects.Put(ctx, entryKind, f.Settings.Name, r.version, value)
	}
	if err != nil {
		f.platformFailed("entries", err)
		return err
	}
	r.version = version
	r.renewAt = time.Now().Add(census.RenewInterval)
	return nil
}
