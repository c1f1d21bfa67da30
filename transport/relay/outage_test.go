// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// TestFollowersReconnectForReportsInOutage resets the connections of an entry's followers during an
// outage of the platform, for longer than any backoff.
//
// In an outage, callers were sent to engines that other entries knew to be lost, and a request that
// crashes engines ran again and again. An entry without a peer found none until the end of the
// outage: no peer accepted it, since the state of all was old by then. In one run, six engines
// crashed where five are allowed, and both other entries rejected the third one from the first
// second of the outage on. The entries' own reports do not depend on how fresh the platform's
// objects are, so an entry is accepted for reports alone.
func TestFollowersReconnectForReportsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		setIncarnation(all, 1)
		s.setDown(true)
		for n := range 4 {
			time.Sleep(20 * time.Second)
			all[0].server.reset()
			time.Sleep(4 * time.Second)
			for _, e := range all[1:] {
				require.True(t, e.source.Following(), "%s follows after reset %d", e.client.name, n)
			}
		}
		reportCrash(all[0], "engine")
		time.Sleep(time.Second)
		for _, e := range all {
			require.False(t, e.source.Quarantine().Empty(), "%s has the report", e.client.name)
		}
		s.setDown(false)
		s.put(table, "two")
		for _, e := range all {
			eventually(t, "the change arrived", func() bool { return e.state.value(table) == "two" })
		}
	})
}

// TestNewEntryIsNotAcceptedInOutage starts an entry during an outage of the platform. If it were
// accepted, it would treat old state as current, and could not serve with it.
func TestNewEntryIsNotAcceptedInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		s.setDown(true)
		time.Sleep(20 * time.Second)
		late := newEntry(t, s, rankedAfter(all[0].source.Self), "late")
		late.source.Start()
		late.source.Learn([]protocol.EntryRecord{all[0].source.Self}, true)
		late.watcher.Start()
		late.confirmer.Start()
		time.Sleep(20 * time.Second)
		require.False(t, late.source.Following())
	})
}

// TestConnectedEntryDoesNotFollowCutOffPeer cuts only the first entry off from the platform. The
// second one still reaches the platform and does not return to the first.
func TestConnectedEntryDoesNotFollowCutOffPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].client.cutOff()
		eventually(t, "the peer is dropped", func() bool { return !all[1].source.Following() })
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			require.False(t, all[1].source.Following())
		}
	})
}

// TestUnresponsivePeerDoesNotBlockReportsInOutage follows a peer that stops responding during an
// outage of the platform. The next one in rank reports work that crashed an engine.
//
// Callers were still sent to lost engines in an outage where the peer that others follow was
// unresponsive with its connections open, as after a lost reset. A follower that dropped it
// connected to it again at once, because every excluded peer was tried for reports, the first in
// rank first, and got no reports until the end of the outage. Exclusion did not distinguish a peer
// that can't confirm the platform's state, which still sends reports, from an unresponsive one,
// which does not. With that fault this test always fails; TestUnresponsivePeerIsDropped failed in
// 45 of 200 runs, since it saw the moment without a peer only by chance.
func TestUnresponsivePeerDoesNotBlockReportsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		silent := newSilentPeer(t, s, kind, protocol.Object{Kind: kind, Name: table, Version: protocol.Revision{Number: 2}, Value: []byte("one")})
		next := newEntry(t, s, rankedAfter(silent), "next")
		next.start(t, nil)
		peers := []protocol.EntryRecord{silent, next.source.Self}
		last := newEntry(t, s, rankedAfter(peers...), "last")
		last.source.Start()
		last.source.Learn(peers, true)
		last.watcher.Start()
		last.confirmer.Start()
		eventually(t, "the unresponsive peer is followed", last.source.Following)
		setIncarnation([]*entry{next, last}, 1)
		s.setDown(true)
		time.Sleep(20 * time.Second)
		reportCrash(next, "engine")
		time.Sleep(4 * time.Second) // the unresponsive peer is tried again now and then
		require.False(t, last.source.Quarantine().Empty())
	})
}

// backoffResetWait is longer than a peer must be followed for its earlier backoffs to be forgotten.
const backoffResetWait = 12 * time.Second

// TestOutageCallsDoNotGrowWithEntries has the platform down for twelve seconds. A fleet more than
// twice as large calls it hardly more often, and all entries have a confirmation soon after.
//
// Calls in an outage grew with the number of entries, each of which called for itself: 985 entries
// made 350 calls a second for the whole outage, and each call has a cost.
func TestOutageCallsDoNotGrowWithEntries(t *testing.T) {
	calls := func(n int) (during int) {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			s.put(table, "one")
			all := newEntries(t, s, n)
			before := totalCalls(all)
			s.setDown(true)
			time.Sleep(12 * time.Second)
			during = totalCalls(all) - before
			s.setDown(false)
			s.put(table, "two")
			restored := time.Now()
			requireConfirmed(t, all, "two", restored)
			require.LessOrEqual(t, time.Since(restored), 4*time.Second)
		})
		return during
	}
	few, many := calls(60), calls(150)
	require.LessOrEqual(t, many, few*3/2, "%d calls of 60 entries", few)
	t.Logf("%d calls of 60 entries, %d of 150", few, many)
}

// TestFollowersFindPeerThatCanConfirm has the platform reject the first entry and serve all others.
// Most of many entries find a peer that the platform serves without calling it themselves.
func TestFollowersFindPeerThatCanConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 120)
		time.Sleep(backoffResetWait)
		before := totalCalls(all[10:])
		all[0].client.cutOff()
		time.Sleep(5 * time.Second)
		s.put(table, "two")
		began := time.Now()
		requireConfirmed(t, all[1:], "two", began)
		require.LessOrEqual(t, totalCalls(all[10:])-before, len(all)/2)
	})
}

// totalCalls returns how often entries have called the platform.
func totalCalls(all []*entry) (n int) {
	for _, e := range all {
		n += e.calls()
	}
	return n
}

// TestFleetRecoversWhenFirstEntryIsRejected has the platform reject the entry that all follow, in a
// fleet of several data centers. No other entry's confirmation gets as old as the time for which
// keys are trusted.
func TestFleetRecoversWhenFirstEntryIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntriesAcross(t, s, 150, 3)
		time.Sleep(backoffResetWait)
		began := time.Now()
		all[0].client.cutOff()
		oldest := map[string]time.Duration{}
		for time.Since(began) < 8*time.Second {
			time.Sleep(50 * time.Millisecond)
			for _, e := range all[1:] {
				oldest[e.client.name] = max(oldest[e.client.name], time.Since(e.state.confirmedAt()))
			}
		}
		late := 0
		for _, age := range oldest {
			if age > 2500*time.Millisecond {
				late++
			}
		}
		require.Zero(t, late, "%v", oldest)
	})
}
