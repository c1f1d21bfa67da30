// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"pinerun.example/pinerun/coordination/census"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// entryKind is the kind of the records that entries keep of themselves.
	entryKind = "pinerun-entries"
	// registerLimit bounds the calls of one look.
	registerLimit = 5 * time.Second
	// registerAgain is when to look again after a failed call.
	registerAgain = 2 * time.Second
)

// register keeps this entry's record and counts those of all entries.
type register struct {
	front *Front

	done    part.Done
	census  census.Census
	version uint64 // of the own record, 0 if unknown
	beat    uint64
	renewAt time.Time
	counted int
}

func (r *register) run() {
	for !r.done.Closed() {
		next := r.look(time.Now())
		t := time.NewTimer(time.Until(next))
		select {
		case <-t.C:
		case <-r.done.Done():
		}
		t.Stop()
	}
}

// look renews the own record if it is time, reads all, and returns when to look
// again.
func (r *register) look(now time.Time) time.Time {
	ctx, cancel := context.WithTimeout(context.Background(), registerLimit)
	defer cancel()
	if !now.Before(r.renewAt) {
		if err := r.renew(ctx); err != nil {
			return now.Add(registerAgain)
		}
		r.renewAt = now.Add(census.Renew)
	}
	list, err := r.front.Outside.Objects.List(ctx, entryKind)
	if err != nil {
		r.front.platformFailed("entries", err)
		return now.Add(registerAgain)
	}
	now = time.Now()
	r.census.Seen(list.Objects, now)
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
	return now.Add(census.Look)
}

// renew writes the own record. Whatever else may have become of a write whose
// answer was lost, the next one settles it.
func (r *register) renew(ctx context.Context) error {
	f := r.front
	r.beat++
	value, err := json.Marshal(struct {
		DataCenter string `json:"data_center"`
		Callers    string `json:"callers"`
		Beat       uint64 `json:"beat"`
	}{f.Settings.DataCenter, f.Settings.Listen.Callers, r.beat})
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
