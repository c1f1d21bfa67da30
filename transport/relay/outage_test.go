// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// Callers were sent to engines that other entries knew to be lost, and a request that ends engines
// was run again and again, while the platform was down: an entry had lost the connection to the entry
// that it followed, or had not found one before the outage, and nobody took it as a follower, since what
// all knew was old by then. So it heard no news from others until the platform was back.
//
// Evidence: the log of a run with six ends of engines where five are allowed; its third entry was refused by
// both others ("what the platform holds is not known here") from the outage's first second on. Cause: news that
// entries have of their own was tied to how fresh the platform's objects are, with which it has nothing to do.

// TestInAnOutageWhoLostItsPeerHearsNews resets the connections of an entry's followers while the
// platform is down, for longer than any peer is left out for.
func TestInAnOutageWhoLostItsPeerHearsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		living(all, 1)
		s.setDown(true)
		for n := range 4 {
			time.Sleep(20 * time.Second)
			all[0].server.reset()
			time.Sleep(4 * time.Second)
			for _, e := range all[1:] {
				require.True(t, e.source.Following(), "%s follows after reset %d", e.outside.name, n)
			}
		}
		endUnder(all[0], "engine")
		time.Sleep(time.Second)
		for _, e := range all {
			require.False(t, e.source.Quarantine().Empty(), "%s heard of it", e.outside.name)
		}
		s.setDown(false)
		s.put(table, "two")
		for _, e := range all {
			eventually(t, "the news came", func() bool { return e.believes.value(table) == "two" })
		}
	})
}

// TestInAnOutageWhoKnowsNothingIsNotTaken starts an entry while the platform is down. It
// could not serve by what is old, and would go on believing it.
func TestInAnOutageWhoKnowsNothingIsNotTaken(t *testing.T) {
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

// TestWhoReachesThePlatformFollowsNobodyWhoDoesNot cuts the first entry off from the platform alone:
// the second, which reaches it, does not go back to the first one.
func TestWhoReachesThePlatformFollowsNobodyWhoDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].outside.cutOff()
		eventually(t, "it is left", func() bool { return !all[1].source.Following() })
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			require.False(t, all[1].source.Following())
		}
	})
}

// Callers were still sent to lost engines in an outage of the platform where the entry that others
// follow had fallen silent with its connections open, as after a reset that never came: who left it
// took it up again in the same moment, since every peer that had been left out was tried for news,
// the first in rank first, and heard nothing till the platform was back.
//
// Evidence: 45 of 200 turns of TestAPeerThatFallsSilentIsLeft, which saw nobody followed only if it
// looked between the two; with the cause, this test fails always. Cause: one reason for leaving a peer
// out stood for another. One that can't confirm what the platform holds has news, a mute one has not.

// TestInAnOutageASilentPeerDoesNotKeepNewsAway follows a peer that falls silent while the platform is
// down; the next one in rank tells of work that ended an engine.
func TestInAnOutageASilentPeerDoesNotKeepNewsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		silent := newSilent(t, s, kind, protocol.Object{Kind: kind, Name: table, Version: 2, Value: []byte("one")})
		next := newEntry(t, s, rankedAfter(silent), "next")
		next.start(t, nil)
		peers := []protocol.EntryRecord{silent, next.source.Self}
		last := newEntry(t, s, rankedAfter(peers...), "last")
		last.source.Start()
		last.source.Learn(peers, true)
		last.watcher.Start()
		last.confirmer.Start()
		eventually(t, "the silent one is followed", last.source.Following)
		living([]*entry{next, last}, 1)
		s.setDown(true)
		time.Sleep(20 * time.Second)
		endUnder(next, "engine")
		time.Sleep(4 * time.Second) // the silent one is tried anew now and then
		require.False(t, last.source.Quarantine().Empty())
	})
}

// steady is how long a peer has been followed for what was before with it to count no more.
const steady = 12 * time.Second

// Calls to the platform in an outage grew with entries, each of which asked for itself: 985 of them
// call 350 times a second, for as long as it lasts, and each call has its price.

// TestInAnOutageCallsDoNotGrowWithEntries has the platform down for twelve seconds: a fleet more than twice
// as large calls it hardly more often, and all are in touch soon after.
func TestInAnOutageCallsDoNotGrowWithEntries(t *testing.T) {
	calls := func(n int) (during int) {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			s.put(table, "one")
			all := newEntries(t, s, n)
			before := callsOf(all)
			s.setDown(true)
			time.Sleep(12 * time.Second)
			during = callsOf(all) - before
			s.setDown(false)
			s.put(table, "two")
			back := time.Now()
			allHear(t, all, "two", back)
			require.LessOrEqual(t, time.Since(back), 4*time.Second)
		})
		return during
	}
	few, many := calls(60), calls(150)
	require.LessOrEqual(t, many, few*3/2, "%d calls of 60 entries", few)
	t.Logf("%d calls of 60 entries, %d of 150", few, many)
}

// TestWhoCantConfirmFindsAPeerThatCan has the platform turn the first entry away and serve all others: most
// of many entries find a peer that it serves without a call of their own.
func TestWhoCantConfirmFindsAPeerThatCan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 120)
		time.Sleep(steady)
		before := callsOf(all[10:])
		all[0].outside.cutOff()
		time.Sleep(5 * time.Second)
		s.put(table, "two")
		began := time.Now()
		allHear(t, all[1:], "two", began)
		require.LessOrEqual(t, callsOf(all[10:])-before, len(all)/2)
	})
}

// callsOf returns how often entries have called the platform.
func callsOf(all []*entry) (n int) {
	for _, e := range all {
		n += e.calls()
	}
	return n
}

// TestWhoseFirstEntryIsTurnedAwayIsInTouchSoon has the platform turn away the entry that all follow, in a
// fleet of several data centers: nobody else is out of touch for as long as keys are trusted.
func TestWhoseFirstEntryIsTurnedAwayIsInTouchSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newSpread(t, s, 150, 3)
		time.Sleep(steady)
		began := time.Now()
		all[0].outside.cutOff()
		oldest := map[string]time.Duration{}
		for time.Since(began) < 8*time.Second {
			time.Sleep(50 * time.Millisecond)
			for _, e := range all[1:] {
				oldest[e.outside.name] = max(oldest[e.outside.name], time.Since(e.believes.confirmedAt()))
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
