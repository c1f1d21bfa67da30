// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// firstsKind and firstsName are those of the object in the platform that holds the records of
	// the entries that all others try to follow.
	firstsKind = "pinerun-firsts"
	firstsName = "all"
	// firstsRest is how long those are tried before other records are read: they may be starting
	// with all others, and what they read themselves would wait behind that.
	firstsRest = 1600 * time.Millisecond
)

// firsts is what this entry knows of that object.
type firsts struct {
	version uint64 // of the object, 0 if unknown or not there
	value   []byte // that was written last
}

// keepFirsts writes the object with some entries if that has changed since this entry wrote it. Only the entry
// that calls the platform for all does; two that take themselves for it write in turn.
func (r *register) keepFirsts(ctx context.Context, entries []protocol.EntryRecord) {
	var content protocol.SeedEntries
	for _, e := range entries {
		e.Heartbeat = 0 // rises with each renewal and says nothing
		content.Entries = append(content.Entries, protocol.NamedEntry{Name: e.Name, Record: e})
	}
	value, err := json.Marshal(content)
	if err != nil || bytes.Equal(value, r.firsts.value) {
		return
	}
	version, err := r.front.Dependencies.Objects.Put(ctx, firstsKind, firstsName, r.firsts.version, value)
	var raced *platform.Conflict
	if errors.As(err, &raced) {
		r.firsts.version = raced.Held() // written over at the next look
		return
	}
	if err != nil {
		r.front.platformFailed("entries", err)
		return
	}
	r.firsts.version, r.firsts.value = version, value
}

// readFirsts returns the own record and those of the entries that all try to follow, as the platform
// held them some seconds ago, nothing if too few among them are to be followed.
func (r *register) readFirsts(ctx context.Context) (protocol.Listing, error) {
	if r.looks > 0 {
		return protocol.Listing{}, nil // they were tried
	}
	objects := r.front.Dependencies.Objects
	own, err := objects.GetLately(ctx, entryKind, r.front.Settings.Name)
	var missing *platform.NotFound
	if err != nil && !errors.As(err, &missing) {
		return protocol.Listing{}, err
	}
	var list protocol.Listing
	if err == nil {
		list.Objects = append(list.Objects, own)
	}
	o, err := objects.GetLately(ctx, firstsKind, firstsName)
	if errors.As(err, &missing) {
		return protocol.Listing{}, nil
	}
	if err != nil {
		return protocol.Listing{}, err
	}
	var content protocol.SeedEntries
	if err := json.Unmarshal(o.Value, &content); err != nil {
		event.EntryIgnored.Log(r.front.Logger, slog.String("peer", o.Name), slog.String("cause", err.Error()))
		return protocol.Listing{}, nil
	}
	for _, e := range content.Entries {
		value, err := json.Marshal(e.Record)
		if err != nil || e.Name == r.front.Settings.Name {
			continue
		}
		list.Objects = append(list.Objects, protocol.Object{Kind: entryKind, Name: e.Name, Value: value})
	}
	if len(peersAmong(list.Objects, r.front.source.Record())) < peersEnough {
		return protocol.Listing{}, nil
	}
	return list, nil
}
