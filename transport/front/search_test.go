// SPDX-License-Identifier: Apache-2.0

package front

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/protocol"
)

// pagedStore serves records page by page, and counts the pages.
type pagedStore struct {
	lateStore

	records []protocol.Object // sorted by name
	size    int
	pages   int
	lists   int
}

func (s *pagedStore) List(ctx context.Context, kind string) (protocol.Listing, error) {
	s.lists++
	return s.lateStore.List(ctx, kind)
}

func (s *pagedStore) ListStale(ctx context.Context, kind string) (protocol.Listing, error) {
	return s.List(ctx, kind)
}

func (s *pagedStore) PageStale(_ context.Context, _, after string) (protocol.Page, error) {
	s.pages++
	p := protocol.Page{Listing: protocol.Listing{Revision: protocol.Revision{Number: uint64(100 - s.pages)}}}
	for _, o := range s.records {
		switch {
		case o.Name <= after:
		case len(p.Objects) < s.size:
			p.Objects = append(p.Objects, o)
		default:
			p.More = true
		}
	}
	return p, nil
}

// put adds the record of an entry.
func (s *pagedStore) put(t require.TestingT, r protocol.EntryRecord) {
	value, err := json.Marshal(r)
	require.NoError(t, err)
	s.records = append(s.records, protocol.Object{Name: r.Name, Version: protocol.Revision{Number: 1}, Value: value})
	slices.SortFunc(s.records, func(a, b protocol.Object) int { return cmp.Compare(a.Name, b.Name) })
}

// TestSearchReadsEachRecordOnce generates random records, a page size and a searching entry, and
// runs the search until it has read all records: no record may be missing or read twice, whatever
// each run returns.
func TestSearchReadsEachRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &pagedStore{size: rapid.IntRange(1, 4).Draw(t, "size")}
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-c0-2~-]{1,3}`), 0, 12, rapid.ID[string]).Draw(t, "names")
		for _, n := range names {
			s.put(t, protocol.EntryRecord{Name: n, DataCenter: "a", PeerAddress: n, MemoryMB: float64(rapid.IntRange(1, 3).Draw(t, "memory"))})
		}
		self := protocol.EntryRecord{Name: rapid.StringMatching(`[a-c0-2~-]{0,3}`).Draw(t, "self"), DataCenter: "a", MemoryMB: 2}
		var search peerSearch
		for runs := 0; ; runs++ {
			require.LessOrEqual(t, runs, len(names))
			list, all, err := search.run(context.Background(), s, self)
			require.NoError(t, err)
			if !all {
				require.NotEmpty(t, peersAmong(list.Objects, self))
				continue
			}
			require.ElementsMatch(t, s.records, list.Objects)
			require.Equal(t, protocol.Revision{Number: uint64(100 - s.pages)}, list.Revision, "the list is as old as its oldest page")
			return
		}
	})
}

// TestSearchStartsWithOwnRecord checks that the first record is that of the searching entry, which
// an entry needs after a restart.
func TestSearchStartsWithOwnRecord(t *testing.T) {
	s := &pagedStore{size: 5}
	for i := range 200 {
		s.put(t, protocol.EntryRecord{Name: fmt.Sprint("entry-", i), DataCenter: "a", PeerAddress: "p", MemoryMB: 1})
	}
	for _, name := range []string{"entry-0", "entry-99", "entry-100", "entry-57"} {
		var search peerSearch
		s.pages = 0
		list, _, err := search.run(t.Context(), s, protocol.EntryRecord{Name: name, DataCenter: "a"})
		require.NoError(t, err)
		require.Equal(t, name, list.Objects[0].Name)
		require.LessOrEqual(t, s.pages, 2, "every other entry can be followed, so few pages are enough")
	}
}

// TestStartWithPeersNeverListsAllRecords has an entry find peers that can't be followed yet, as
// when all entries start at once: each read continues the search, and none reads the records of the
// whole fleet.
func TestStartWithPeersNeverListsAllRecords(t *testing.T) {
	s := &pagedStore{lateStore: *newLateStore(), size: 20}
	for i := range 400 {
		s.put(t, protocol.EntryRecord{Name: fmt.Sprint("entry-", i), DataCenter: "a", PeerAddress: "p", MemoryMB: 1})
	}
	r := newRegistration(&s.lateStore, "entry-57")
	r.front.Dependencies.Objects = s
	now := time.Now()
	for range 2 * maxStartupReads {
		before := s.pages
		now = r.start(t.Context(), now)
		require.LessOrEqual(t, s.pages, before+2)
	}
	require.Zero(t, s.lists)
}

// TestStartWaitsForSeedEntriesBeforePaging has an entry start with all others: it knows the seed
// entries, which take a second to be ready, and must not read pages meanwhile.
func TestStartWaitsForSeedEntriesBeforePaging(t *testing.T) {
	s := &pagedStore{lateStore: *newLateStore(), size: 20}
	var all []protocol.EntryRecord
	for i := range 100 {
		all = append(all, protocol.EntryRecord{Name: fmt.Sprint("entry-", i), DataCenter: "a", PeerAddress: "p", MemoryMB: 1})
		s.put(t, all[i])
	}
	first := newRegistration(&s.lateStore, "first")
	first.front.Dependencies.Objects = s
	first.writeSeedEntries(t.Context(), relay.SeedEntries(all))

	r := newRegistration(&s.lateStore, "late") // on a smaller VM than all others
	r.front.Dependencies.Objects = s
	begun := time.Now()
	next := r.start(t.Context(), begun)
	require.Greater(t, next.Sub(begun), time.Second)
	next = r.start(t.Context(), begun.Add(time.Second))
	require.Zero(t, s.pages)
	_ = r.start(t.Context(), next)
	require.Positive(t, s.pages, "now it searches for other peers")
}
