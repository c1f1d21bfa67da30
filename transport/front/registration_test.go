// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/transport/platform"
)

// lateStore is a store whose calls may take effect after they have timed out for the caller.
type lateStore struct {
	objects     map[string]protocol.Object
	revision    uint64
	delayed     bool     // calls are not answered and take effect in applyLate
	late        []func() // in the order in which the calls were made
	seedEntries protocol.Object
}

func newLateStore() *lateStore { return &lateStore{objects: make(map[string]protocol.Object)} }

// call makes a conditional change, or delays it.
func (s *lateStore) call(change func() error) error {
	if s.delayed {
		s.late = append(s.late, func() { _ = change() })
		return platform.NewUncertain(errors.New("no answer"))
	}
	return change()
}

// applyLate applies every delayed change, in reverse order if lastFirst is set.
func (s *lateStore) applyLate(lastFirst bool) {
	late := s.late
	s.late = nil
	if lastFirst {
		slices.Reverse(late)
	}
	for _, change := range late {
		change()
	}
}

func (s *lateStore) Put(_ context.Context, kind, name string, known protocol.Revision, value []byte) (protocol.Revision, error) {
	if kind == seedEntriesKind {
		s.seedEntries = protocol.Object{Kind: kind, Name: name, Version: protocol.Revision{Number: s.seedEntries.Version.Number + 1}, Value: value}
		return s.seedEntries.Version, nil
	}
	var revision protocol.Revision
	err := s.call(func() error {
		if held := s.objects[name].Version; held != known {
			return platform.NewConflict(held)
		}
		s.revision++
		revision = protocol.Revision{Number: s.revision}
		s.objects[name] = protocol.Object{Name: name, Version: revision, Value: value}
		return nil
	})
	return revision, err
}

func (s *lateStore) Delete(_ context.Context, _, name string, known protocol.Revision) error {
	return s.call(func() error {
		if held := s.objects[name].Version; held != known {
			return platform.NewConflict(held)
		}
		s.revision++
		delete(s.objects, name)
		return nil
	})
}

func (s *lateStore) List(context.Context, string) (protocol.Listing, error) {
	l := protocol.Listing{Revision: protocol.Revision{Number: s.revision}}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (s *lateStore) ListStale(ctx context.Context, kind string) (protocol.Listing, error) {
	return s.List(ctx, kind)
}

func (s *lateStore) PageStale(ctx context.Context, kind, after string) (protocol.Page, error) {
	l, err := s.List(ctx, kind)
	l.Objects = slices.DeleteFunc(l.Objects, func(o protocol.Object) bool { return o.Name <= after })
	return protocol.Page{Listing: l}, err
}

func (s *lateStore) Get(_ context.Context, kind, name string) (protocol.Object, error) {
	if kind == seedEntriesKind && !s.seedEntries.Version.IsZero() {
		return s.seedEntries, nil
	}
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return protocol.Object{}, platform.NewNotFound(kind, name)
}

func (s *lateStore) GetStale(ctx context.Context, kind, name string) (protocol.Object, error) {
	return s.Get(ctx, kind, name)
}

func (s *lateStore) Watch(context.Context, string, protocol.Revision, time.Duration) (protocol.Changes, error) {
	return protocol.Changes{}, nil
}

// heartbeatOf returns the heartbeat of an entry's record, 0 if there is none.
func (s *lateStore) heartbeatOf(t *testing.T, name string) uint64 {
	var r protocol.EntryRecord
	if o, ok := s.objects[name]; ok {
		require.NoError(t, json.Unmarshal(o.Value, &r))
	}
	return r.Heartbeat
}

func newRegistration(store *lateStore, name string) *registration {
	f := &Front{Settings: settings.Front{Name: name}, Dependencies: Dependencies{Objects: store}, Counters: &metric.Set{}}
	f.source.Self = protocol.EntryRecord{Name: name, DataCenter: "a"}
	f.source.Platform = store
	return &registration{front: f}
}

// TestLateRecordWriteDoesNotUndoLaterOne delays the first and later writes of an entry's record so
// that they take effect after other writes of it, in either order.
func TestLateRecordWriteDoesNotUndoLaterOne(t *testing.T) {
	for _, lastFirst := range []bool{false, true} {
		for _, writes := range []int{0, 1} {
			store := newLateStore()
			r := newRegistration(store, "me")
			for range writes {
				require.NoError(t, r.renew(t.Context()))
			}
			store.delayed = true
			require.Error(t, r.renew(t.Context()))
			require.Error(t, r.renew(t.Context()))
			store.delayed = false
			require.NoError(t, r.renew(t.Context()))
			last := store.heartbeatOf(t, "me")
			require.EqualValues(t, writes+3, last)
			store.applyLate(lastFirst)
			require.Equal(t, last, store.heartbeatOf(t, "me"))
			require.NoError(t, r.renew(t.Context()))
			require.Equal(t, last+1, store.heartbeatOf(t, "me"))
		}
	}
}

// TestRenewalOverwritesLateWrite lets a delayed write take effect before the next one.
func TestRenewalOverwritesLateWrite(t *testing.T) {
	store := newLateStore()
	r := newRegistration(store, "me")
	store.delayed = true
	require.Error(t, r.renew(t.Context()))
	store.delayed = false
	store.applyLate(false)
	require.NoError(t, r.renew(t.Context()))
	require.EqualValues(t, 2, store.heartbeatOf(t, "me"))
}

// TestLateRemovalKeepsRenewedRecord has an entry remove a record that has not changed for a long
// time. The removal takes effect after the owner of the record has renewed it.
func TestLateRemovalKeepsRenewedRecord(t *testing.T) {
	store := newLateStore()
	owner := newRegistration(store, "owner")
	require.NoError(t, owner.renew(t.Context()))
	require.NoError(t, owner.renew(t.Context()))
	other := newRegistration(store, "other")
	list, err := store.List(t.Context(), entryKind)
	require.NoError(t, err)
	long := time.Now().Add(-time.Hour)
	other.census.Observe(list, long)
	store.delayed = true
	other.applyList(t.Context(), list)
	require.Len(t, store.late, 1)
	store.delayed = false
	require.NoError(t, owner.renew(t.Context()))
	store.applyLate(false)
	require.EqualValues(t, 3, store.heartbeatOf(t, "owner"))
}

// TestRenewalRecreatesRemovedRecord removes a record while a write of it is in progress: the
// condition of the write fails, and the next renewal creates the record again.
func TestRenewalRecreatesRemovedRecord(t *testing.T) {
	store := newLateStore()
	r := newRegistration(store, "me")
	require.NoError(t, r.renew(t.Context()))
	store.delayed = true
	require.Error(t, r.renew(t.Context()))
	store.delayed = false
	require.NoError(t, store.Delete(t.Context(), entryKind, "me", protocol.Revision{Number: store.objects["me"].Version.Number}))
	store.applyLate(false)
	require.Empty(t, store.objects, "a late renewal must not bring back a removed record")
	require.NoError(t, r.renew(t.Context()))
	require.EqualValues(t, 3, store.heartbeatOf(t, "me"))
}

// TestMalformedEntryRecordsDoNotAffectOthers has another writer leave malformed values among the
// entries' records, and in place of the own record.
func TestMalformedEntryRecordsDoNotAffectOthers(t *testing.T) {
	store := newLateStore()
	require.NoError(t, newRegistration(store, "valid").renew(t.Context()))
	for name, value := range map[string]string{"foreign": `"x"`, "typed": `{"beat":"seven"}`, "me": "\xff"} {
		_, err := store.Put(t.Context(), entryKind, name, protocol.Revision{}, []byte(value))
		require.NoError(t, err)
	}
	r := newRegistration(store, "me")
	now := time.Now()
	for range maxStartupReads {
		now = r.start(t.Context(), now)
	}
	require.True(t, r.started)
	require.NotZero(t, store.heartbeatOf(t, "me"), "the own record is written again")
	require.EqualValues(t, 1, r.dataCenters.Load())
	require.Equal(t, 4, r.census.Count(time.Now()), "unreadable records count too, so that each entry's share of the limits is too small rather than too large")
}
