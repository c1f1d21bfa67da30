// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// changeBound is the time within which an accepted change is in force at every entry that is
// connected.
const changeBound = 2 * time.Second

// fleetSize is the number of entries of a large fleet.
const fleetSize = 200

// requireWithin waits until entries have a value of the table, and fails if one gets it later than
// changeBound after a time.
func requireWithin(t *testing.T, entries []*entry, value string, since time.Time) {
	t.Helper()
	for _, e := range entries {
		eventually(t, e.client.name+" has "+value, func() bool { return e.state.value(table) == value })
		require.LessOrEqual(t, time.Since(since), changeBound, "%s has %s", e.client.name, value)
	}
}

// putOthers changes objects other than the table.
func (s *store) putOthers(n int) {
	for i := range n {
		s.put(fmt.Sprint("other-", i), "x")
	}
}

// TestChangeAfterRestoreArrivesWhateverItsRevision restores a copy, and then changes the table at a revision
// that is lower than, equal to or higher than the last one before.
func TestChangeAfterRestoreArrivesWhateverItsRevision(t *testing.T) {
	for name, written := range map[string]int{"lower": 1, "equal": 10, "higher": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.put(table, "one")
				all := newEntriesAcross(t, s, 5, 2)
				all = append(all, startFollower(t, s, all[1]))
				earlier := s.copied()
				s.putOthers(9)
				s.put(table, "lost")
				requireWithin(t, all, "lost", time.Now())
				s.restore(earlier)
				s.putOthers(written - 1)
				s.put(table, "after")
				began := time.Now()
				requireWithin(t, all, "after", began)
				requireConfirmed(t, all, "after", began)
			})
		})
	}
}

// TestRevisionGivenOutAgainIsNotTakenForTheSame restores a copy and writes other content at the very
// revision that entries know.
func TestRevisionGivenOutAgainIsNotTakenForTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntriesAcross(t, s, 4, 2)
		earlier := s.copied()
		s.put(table, "lost")
		requireWithin(t, all, "lost", time.Now())
		lost := s.revision
		s.setDown(true)
		s.restore(earlier)
		s.put(table, "two")
		require.Equal(t, lost, s.revision)
		s.setDown(false)
		requireWithin(t, all, "two", time.Now())
	})
}

// TestTwoRestoresWhileCutOff restores twice while an entry reaches neither the platform nor a peer.
func TestTwoRestoresWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		cut := startFollower(t, s, all[1])
		cut.client.cutOff()
		all[1].close()
		for i := range 2 {
			earlier := s.copied()
			s.putOthers(20)
			s.put(table, fmt.Sprint("lost-", i))
			requireWithin(t, []*entry{all[0], all[2]}, fmt.Sprint("lost-", i), time.Now())
			s.restore(earlier)
		}
		s.put(table, "two")
		requireWithin(t, []*entry{all[0], all[2]}, "two", time.Now())
		cut.client.restoreAccess()
		eventually(t, "the entry has the change", func() bool { return cut.state.value(table) == "two" })
	})
}

// TestConfirmationOfEarlierEraIsNotTrusted has an entry learn of a restore that its peer, which is cut off
// from the platform, does not know of.
func TestConfirmationOfEarlierEraIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].client.cutOff()
		earlier := s.copied()
		s.restore(earlier)
		s.put(table, "two")
		requireWithin(t, all[1:], "two", time.Now())
		require.Equal(t, protocol.Revision{Era: 2, Number: s.revision}, all[1].source.Revision(kind))
	})
}

// TestLostTableReachesEveryEntry has one entry know a table that the platform lost: above it and below it,
// entries hear of it, and so does one that connects later.
func TestLostTableReachesEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntriesAcross(t, s, 5, 2)
		all[1].source.ReportTable(7, []byte("lost"))
		all = append(all, startFollower(t, s, all[2]))
		for _, e := range all {
			if e != all[1] {
				eventually(t, e.client.name+" knows the table", func() bool { return e.state.lostTable() == "lost" })
			}
		}
		all[0].source.WithdrawTable(7)
		all[0].source.ReportTable(6, []byte("older"))
		all[0].source.ReportTable(8, []byte("newer"))
		for _, e := range all[1:] {
			eventually(t, e.client.name+" knows the later table", func() bool { return e.state.lostTable() == "newer" })
		}
	})
}

// TestRestoreOfLargeFleetCostsFewCalls restores a copy under hundreds of entries. All have the next change
// within the bound, and hardly any calls the platform for it.
func TestRestoreOfLargeFleetCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntriesAcross(t, s, fleetSize, 9)
		earlier := s.copied()
		s.putOthers(50)
		s.put(table, "lost")
		requireWithin(t, all, "lost", time.Now())
		before := totalCalls(all)
		s.restore(earlier)
		s.put(table, "two")
		requireWithin(t, all, "two", time.Now())
		calls := totalCalls(all) - before
		t.Logf("%d entries: %d calls", len(all), calls)
		require.LessOrEqual(t, calls, 30)
	})
}
