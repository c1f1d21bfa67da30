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
	// registerAgain is when to look again after a failed call.
	registerAgain = 2 * time.Second
	// firstLook is how long after its own record is written an entry looks for those of
	// others: all start within a third of a second of each other. It looks again after
	// secondLook, for those that were slower; both need to see what was just written.
	firstLook  = 400 * time.Millisecond
	secondLook = 1500 * time.Millisecond
	// freshLooks is how many of the first looks are those.
	freshLooks = 2
)

// register keeps this entry's record and counts those of all entries.
type register struct {
	front *Front

	done    part.Done
	census  census.Census
	version uint64 // of the own record, 0 if unknown
	beat    uint64
	renewAt time.Time
	looks   int // that were answered
	counted int
	centers atomic.Int64 // data centers that have entries
}

func (r *register) run() {
	for !r.done.Closed() {
		next := r.turn(time.Now())
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-r.done.Done():
		}
		t.Stop()
	}
}

// turn renews the own record if it is time or else reads all, and returns when to
// act again.
func (r *register) turn(now time.Time) time.Time {
	ctx, cancel := context.WithTimeout(context.Background(), registerLimit)
	defer cancel()
	if now.Before(r.renewAt) {
		return r.look(ctx, now)
	}
	if err := r.renew(ctx); err != nil {
		return now.Add(registerAgain)
	}
	r.renewAt = now.Add(census.Renew)
	return now.Add(firstLook)
}

// look reads all records and returns when to look again.
func (r *register) look(ctx context.Context, now time.Time) time.Time {
	read := r.front.Outside.Objects.ListLately
	if r.looks < freshLooks {
		read = r.front.Outside.Objects.List
	}
	list, err := read(ctx, entryKind)
	if err != nil {
		r.front.platformFailed("entries", err)
		return now.Add(registerAgain)
	}
	r.looks++
	now = time.Now()
	r.census.Seen(list.Objects, now)
	r.learn(list.Objects)
	for _, old := range r.census.Forgotten(now) {
		if err := r.front.Outside.Objects.Delete(ctx, entryKind, old.Name(), old.Version()); err != nil {
			r.front.platformFailed("entries", err)
		}
	}
	if n := r.census.Count(now); n != r.counted {
		r.counted = n
		r.front.forwarder.SetEntries(n, r.front.Settings.RetrySlack)
		event.EntriesCounted.Log(r.front.Logger, slog.Int("entries", n), slog.Uint64("revision", list.At))
	}
	if r.looks < freshLooks {
		return now.Add(secondLook)
	}
	return now.Add(census.Look)
}

// learn tells the source which entries there may be to follow, and counts their data
// centers.
func (r *register) learn(objects []protocol.Object) {
	records := make([]protocol.EntryRecord, 0, len(objects))
	centers := make(map[string]bool)
	for _, o := range objects {
		record := protocol.EntryRecord{Name: o.Name}
		if err := json.Unmarshal(o.Value, &record); err != nil {
			event.EntryIgnored.Log(r.front.Logger, slog.String("peer", o.Name), slog.String("cause", err.Error()))
			continue
		}
		records = append(records, record)
		centers[record.DataCenter] = true
	}
	r.centers.Store(int64(len(centers)))
	r.front.source.Learn(records)
}

// renew writes the own record. Whatever else may have become of a write whose
// answer was lost, the next one settles it.
func (r *register) renew(ctx context.Context) error {
	f := r.front
	r.beat++
	record := f.source.Self
	record.Beat = r.beat
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	version, err := f.Outside.Objects.Put(ctx, entryKind, f.Settings.Name, r.version, value)
	var raced *platform.Conflict
	if errors.As(err, &raced) {
		r.version = raced.Held()
		version, err = f.Outside.Objects.Put(ctx, entryKind, f.Settings.Name, r.version, value)
	}
	if err != nil {
		f.platformFailed("entries", err)
		return err
	}
	r.version = version
	return nil
}
