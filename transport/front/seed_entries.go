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
	// seedEntriesKind and seedEntriesName identify the object in the platform that holds the
	// records of the seed entries, which all other entries try to follow.
	seedEntriesKind = "pinerun-firsts"
	seedEntriesName = "all"
	// seedEntriesWait is how long an entry tries to follow the seed entries before it reads other
	// records. The seed entries may be starting with all others, and what they read themselves
	// would queue behind those reads.
	seedEntriesWait = 1600 * time.Millisecond
)

// seedEntries is what this entry knows of the object that holds the seed entries.
type seedEntries struct {
	version protocol.Revision // of the object, zero if it is unknown or does not exist
	value   []byte            // that this entry wrote last
}

// writeSeedEntries writes the object with the seed entries if they have changed since this entry
// wrote it. Only the entry that calls the platform for all others does so; two that both take this
// role overwrite each other in turn.
func (r *registration) writeSeedEntries(ctx context.Context, entries []protocol.EntryRecord) {
	var content protocol.SeedEntries
	for _, e := range entries {
		e.Heartbeat = 0 // changes with each renewal, which must not cause a write here
		content.Entries = append(content.Entries, protocol.NamedEntry{Name: e.Name, Record: e})
	}
	value, err := json.Marshal(content)
	if err != nil || bytes.Equal(value, r.seedEntries.value) {
		return
	}
	version, err := r.front.Dependencies.Objects.Put(ctx, seedEntriesKind, seedEntriesName, r.seedEntries.version, value)
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		r.seedEntries.version = conflict.Version() // the next read overwrites the object
		return
	}
	if err != nil {
		r.front.platformFailed("entries", err)
		return
	}
	r.seedEntries.version, r.seedEntries.value = version, value
}

// readSeedEntries returns the own record and those of the seed entries, as the platform held them
// some seconds ago. It returns nothing if too few of them can be followed, or if the entry has
// tried them before.
func (r *registration) readSeedEntries(ctx context.Context) (protocol.Listing, error) {
	if r.reads > 0 {
		return protocol.Listing{}, nil
	}
	objects := r.front.Dependencies.Objects
	own, err := objects.GetStale(ctx, entryKind, r.front.Settings.Name)
	var missing *platform.NotFound
	if err != nil && !errors.As(err, &missing) {
		return protocol.Listing{}, err
	}
	var list protocol.Listing
	if err == nil {
		list.Objects = append(list.Objects, own)
	}
	o, err := objects.GetStale(ctx, seedEntriesKind, seedEntriesName)
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
	if len(peersAmong(list.Objects, r.front.source.Record())) < enoughPeers {
		return protocol.Listing{}, nil
	}
	return list, nil
}
