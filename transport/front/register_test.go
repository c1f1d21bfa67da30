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

// lateStore is a store whose calls may take effect after their answer was given up.
type lateStore struct {
	objects  map[string]protocol.Object
	revision uint64
	lag      bool     // calls are not answered and take effect when they land
	late     []func() // in the order in which they were made
	firsts   protocol.Object
}

func newLateStore() *lateStore { return &lateStore{objects: make(map[string]protocol.Object)} }

// call makes a change under a condition, or puts it off.
func (s *lateStore) call(change func() error) error {
	if s.lag {
		s.late = append(s.late, func() { _ = change() })
		return platform.NewUncertain(errors.New("no answer"))
	}
	return change()
}

// land lets every late change take effect, the last made first if so asked.
func (s *lateStore) land(lastFirst bool) {
	late := s.late
	s.late = nil
	if lastFirst {
		slices.Reverse(late)
	}
	for _, change := range late {
		change()
	}
}

func (s *lateStore) Put(_ context.Context, kind, name string, known uint64, value []byte) (uint64, error) {
	if kind == firstsKind {
		s.firsts = protocol.Object{Kind: kind, Name: name, Version: s.firsts.Version + 1, Value: value}
		return s.firsts.Version, nil
	}
	var revision uint64
	err := s.call(func() error {
		if held := s.objects[name].Version; held != known {
			return platform.NewConflict(held)
		}
		s.revision++
		revision = s.revision
		s.objects[name] = protocol.Object{Name: name, Version: revision, Value: value}
		return nil
	})
	return revision, err
}

func (s *lateStore) Delete(_ context.Context, _, name string, known uint64) error {
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
	l := protocol.Listing{At: s.revision}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (s *lateStore) ListLately(ctx context.Context, kind string) (protocol.Listing, error) {
	return s.List(ctx, kind)
}

func (s *lateStore) PageLately(ctx context.Context, kind, after string) (protocol.Page, error) {
	l, err := s.List(ctx, kind)
	l.Objects = slices.DeleteFunc(l.Objects, func(o protocol.Object) bool { return o.Name <= after })
	return protocol.Page{Listing: l}, err
}

func (s *lateStore) Get(_ context.Context, kind, name string) (protocol.Object, error) {
	if kind == firstsKind && s.firsts.Version > 0 {
		return s.firsts, nil
	}
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return protocol.Object{}, platform.NewNotFound(kind, name)
}

func (s *lateStore) GetLately(ctx context.Context, kind, name string) (protocol.Object, error) {
	return s.Get(ctx, kind, name)
}

func (s *lateStore) Watch(context.Context, string, uint64, time.Duration) (protocol.Changes, error) {
	return protocol.Changes{}, nil
}

// beatOf returns the beat of an entry's record, 0 if there is none.
func (s *lateStore) beatOf(t *testing.T, name string) uint64 {
	var r protocol.EntryRecord
	if o, ok := s.objects[name]; ok {
		require.NoError(t, json.Unmarshal(o.Value, &r))
	}
	return r.Heartbeat
}

func newRegister(store *lateStore, name string) *register {
	f := &Front{Settings: settings.Front{Name: name}, Dependencies: Dependencies{Objects: store}, Counters: &metric.Set{}}
	f.source.Self = protocol.EntryRecord{Name: name, DataCenter: "a"}
	f.source.Platform = store
	return &register{front: f}
}

// TestALateWriteOfTheOwnRecordUndoesNoLaterOne lets the first and later writes of an
// entry's record take effect after others of it, in either order.
func TestALateWriteOfTheOwnRecordUndoesNoLaterOne(t *testing.T) {
	for _, lastFirst := range []bool{false, true} {
		for _, written := range []int{0, 1} {
			store := newLateStore()
			r := newRegister(store, "me")
			for range written {
				require.NoError(t, r.renew(t.Context()))
			}
			store.lag = true
			require.Error(t, r.renew(t.Context()))
			require.Error(t, r.renew(t.Context()))
			store.lag = false
			require.NoError(t, r.renew(t.Context()))
			last := store.beatOf(t, "me")
			require.EqualValues(t, written+3, last)
			store.land(lastFirst)
			require.Equal(t, last, store.beatOf(t, "me"))
			require.NoError(t, r.renew(t.Context()))
			require.Equal(t, last+1, store.beatOf(t, "me"))
		}
	}
}

// TestAWriteThatLandsBetweenTwoIsWrittenOver lets a write take effect before the next one.
func TestAWriteThatLandsBetweenTwoIsWrittenOver(t *testing.T) {
	store := newLateStore()
	r := newRegister(store, "me")
	store.lag = true
	require.Error(t, r.renew(t.Context()))
	store.lag = false
	store.land(false)
	require.NoError(t, r.renew(t.Context()))
	require.EqualValues(t, 2, store.beatOf(t, "me"))
}

// TestALateRemovalSparesARecordThatWasRenewed lets an entry remove a record that it has
// seen unchanged for long. The removal takes effect after the owner was heard of again.
func TestALateRemovalSparesARecordThatWasRenewed(t *testing.T) {
	store := newLateStore()
	owner := newRegister(store, "owner")
	require.NoError(t, owner.renew(t.Context()))
	require.NoError(t, owner.renew(t.Context()))
	other := newRegister(store, "other")
	list, err := store.List(t.Context(), entryKind)
	require.NoError(t, err)
	long := time.Now().Add(-time.Hour)
	other.census.Observe(list.Objects, long)
	store.lag = true
	other.take(t.Context(), list)
	require.Len(t, store.late, 1)
	store.lag = false
	require.NoError(t, owner.renew(t.Context()))
	store.land(false)
	require.EqualValues(t, 3, store.beatOf(t, "owner"))
}

// TestALateRegistrationAfterARemovalIsWrittenAnew lets a record be removed while a write
// of it is under way: the condition fails, and the next renewal creates it.
func TestALateRegistrationAfterARemovalIsWrittenAnew(t *testing.T) {
	store := newLateStore()
	r := newRegister(store, "me")
	require.NoError(t, r.renew(t.Context()))
	store.lag = true
	require.Error(t, r.renew(t.Context()))
	store.lag = false
	require.NoError(t, store.Delete(t.Context(), entryKind, "me", store.objects["me"].Version))
	store.land(false)
	require.Empty(t, store.objects, "a renewal brings no record back that was removed")
	require.NoError(t, r.renew(t.Context()))
	require.EqualValues(t, 3, store.beatOf(t, "me"))
}

// TestRecordsOfEntriesOfAnotherFormTakeNoOtherWithThem has another writer leave things
// among the entries' records, and in place of the own one.
func TestRecordsOfEntriesOfAnotherFormTakeNoOtherWithThem(t *testing.T) {
	store := newLateStore()
	require.NoError(t, newRegister(store, "sound").renew(t.Context()))
	for name, value := range map[string]string{"foreign": `"x"`, "typed": `{"beat":"seven"}`, "me": "\xff"} {
		_, err := store.Put(t.Context(), entryKind, name, 0, []byte(value))
		require.NoError(t, err)
	}
	r := newRegister(store, "me")
	now := time.Now()
	for range firstLooks {
		now = r.begin(t.Context(), now)
	}
	require.True(t, r.settled)
	require.NotZero(t, store.beatOf(t, "me"), "the own record is written anew")
	require.EqualValues(t, 1, r.centers.Load())
	require.Equal(t, 4, r.census.Count(time.Now()), "what can't be read counts: the share of the bound errs on the small side")
}
