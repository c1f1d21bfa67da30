// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	transport "pinerun.example/pinerun/transport/relay"
)

func TestFollowersHearAndConfirmWithoutCallingThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 4)
		require.False(t, all[0].source.Following())
		for _, e := range all[1:] {
			began := time.Now()
			eventually(t, "confirmed through the peer", func() bool { return e.believes.confirmedAt().After(began) })
		}
		before := make([]int, len(all))
		for i, e := range all {
			before[i] = e.calls()
		}
		for i := range 20 {
			value := fmt.Sprint("value-", i)
			s.put(table, value)
			s.put(fmt.Sprint("other-", i), value)
			if i > 0 {
				s.remove(fmt.Sprint("other-", i-1))
			}
			for _, e := range all {
				eventually(t, "the news came", func() bool { return e.believes.value(table) == value })
			}
		}
		for i, e := range all[1:] {
			eventually(t, "what went is gone", func() bool { return e.believes.value("other-18") == "" && e.believes.value("other-19") != "" })
			require.Equal(t, before[i+1], e.calls(), "%s called the platform", e.outside.name)
		}
		require.Greater(t, all[0].calls(), before[0])
	})
}

// TestAFollowerPassesOnWhatItHears has a third entry know only the second, which follows
// the first: it has the news and their confirmation, and neither calls the platform.
func TestAFollowerPassesOnWhatItHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		before := all[1].calls()
		third := follow(t, s, all[1])
		eventually(t, "the third follows", third.source.Following)
		for i := range 5 {
			value := fmt.Sprint("value-", i)
			s.put(table, value)
			eventually(t, "the news came", func() bool { return third.believes.value(table) == value })
			began := time.Now()
			eventually(t, "and was confirmed", func() bool { return third.believes.confirmedAt().After(began) })
		}
		require.True(t, all[1].source.Following())
		require.Equal(t, before, all[1].calls())
		require.Zero(t, third.calls(), "it did not even list")
	})
}

// TestATableThatNoWatchTellsIsPassedOn changes the table while the platform's watches are
// deaf: only the first entry's readings tell of it.
func TestATableThatNoWatchTellsIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		third := follow(t, s, all[1])
		before := all[1].calls()
		s.mutex.Lock()
		s.deaf = true
		s.mutex.Unlock()
		long := strings.Repeat("xyz", 100<<10)
		for _, value := range []string{"two", "three", long} {
			s.put(table, value)
			began := time.Now()
			for _, e := range append(all, third) {
				eventually(t, "the news came and was confirmed", func() bool {
					return e.believes.value(table) == value && e.believes.confirmedAt().After(began)
				})
			}
		}
		require.Equal(t, before, all[1].calls())
		require.Zero(t, third.calls())
	})
}

// TestTheNewsGoOnWhenTheFirstOfThreeEnds has the second ask the platform for the third.
func TestTheNewsGoOnWhenTheFirstOfThreeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		third := follow(t, s, all[1])
		all[0].close()
		s.put(table, "two")
		eventually(t, "the news came", func() bool { return third.believes.value(table) == "two" })
		began := time.Now()
		eventually(t, "and was confirmed", func() bool { return third.believes.confirmedAt().After(began) })
		require.True(t, third.source.Following())
	})
}

// TestAPeerThatFallsSilentIsLeft follows one whose connection takes what is sent and
// answers nothing, as after a reset that never came, also while the platform is away.
func TestAPeerThatFallsSilentIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		silent := newSilent(t, s, kind, protocol.Object{Kind: kind, Name: table, Version: 2, Value: []byte("one")})
		e := newEntry(t, s, rankedAfter(silent), "key")
		e.source.Start()
		e.source.Learn([]protocol.EntryRecord{silent}, true)
		e.watcher.Start()
		e.confirmer.Start()
		eventually(t, "it was followed", e.source.Following)
		s.setDown(true)
		eventually(t, "it is left", func() bool { return !e.source.Following() })
		s.setDown(false)
		s.put(table, "two")
		eventually(t, "the news came", func() bool { return e.believes.value(table) == "two" })
	})
}

// TestAFleetThatStartsAtOnceListsOnce starts every entry at the same moment.
func TestAFleetThatStartsAtOnceListsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		var all []*entry
		var records []protocol.EntryRecord
		for i := range 12 {
			e := newEntry(t, s, fmt.Sprint("e-", i), fmt.Sprint("key-", i))
			e.source.Self.DataCenter = fmt.Sprint("dc-", i%3)
			records = append(records, e.source.Self)
			all = append(all, e)
		}
		for _, e := range all {
			e.source.Start()
			e.watcher.Start()
			e.confirmer.Start()
		}
		for _, e := range all {
			e.source.Learn(records, true)
		}
		calling := 0
		for _, e := range all {
			eventually(t, "it knows and has it confirmed", func() bool {
				return e.believes.value(table) == "one" && !e.believes.confirmedAt().IsZero()
			})
			if e.calls() > 0 {
				calling++
			}
		}
		require.Equal(t, 1, calling)
	})
}

func TestTheNextPeerIsFollowedWhenOneEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		all[0].close()
		eventually(t, "the last follows the second", func() bool { return all[2].source.Following() && !all[1].source.Following() })
		s.put(table, "two")
		for _, e := range all[1:] {
			eventually(t, "the news came", func() bool { return e.believes.value(table) == "two" })
		}
	})
}

func TestAPeerThatIsCutOffFromThePlatformIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].outside.cutOff()
		s.put(table, "two")
		eventually(t, "the follower finds out", func() bool { return all[1].believes.value(table) == "two" })
		eventually(t, "and leaves the peer", func() bool { return !all[1].source.Following() })
		began := time.Now()
		eventually(t, "and confirms by itself", func() bool { return all[1].believes.confirmedAt().After(began) })
	})
}

func TestInAnOutageFollowersStayAndLearnOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		s.setDown(true)
		before := all[1].calls()
		select {
		case <-all[1].outages:
		case <-time.After(soon):
			t.Fatal("the follower was not told")
		}
		eventually(t, "it asks the platform itself", func() bool { return all[1].calls() > before })
		require.True(t, all[1].source.Following())
		s.setDown(false)
		s.put(table, "two")
		eventually(t, "the news came", func() bool { return all[1].believes.value(table) == "two" })
	})
}

// TestInAnOutageNobodyCallsForOthers: in an outage of all, followers look for a peer that
// knows more, and none of those that they ask gives up following for them.
func TestInAnOutageNobodyCallsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 4)
		s.setDown(true)
		before := all[3].calls()
		eventually(t, "the last asks the platform, and then its peers", func() bool { return all[3].calls() >= before+2 })
		for _, e := range all[1:] {
			require.True(t, e.source.Following(), "%s went off on its own", e.outside.name)
		}
	})
}

func TestAForgottenHistoryIsMadeGoodForFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		s.put("goes", "x")
		all := newEntries(t, s, 2)
		before := all[1].calls()
		s.removeUnheard("goes")
		for _, e := range all {
			eventually(t, "what went is gone", func() bool { return e.believes.value("goes") == "" })
		}
		require.Equal(t, before, all[1].calls())
	})
}

func TestLongValuesComeThroughThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		before := all[1].calls()
		long := strings.Repeat("xyz", 100<<10)
		s.put(table, long)
		eventually(t, "the news came", func() bool { return all[1].believes.value(table) == long })
		require.Equal(t, before, all[1].calls())
	})
}

// TestWhoCantBeToldListsAndFollowsAgain takes a follower that knows a moment between
// two lists of the entry that it follows.
func TestWhoCantBeToldListsAndFollowsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		first := all[0].source.Self
		// Another life of the first entry, which lists when the second knows more.
		all[0].close()
		eventually(t, "it asks the platform itself", func() bool { return !all[1].source.Following() })
		next := newNamed(t, s, first.Name)[0]
		all[1].source.Learn([]protocol.EntryRecord{next.source.Self}, true)
		eventually(t, "it follows again", all[1].source.Following)
		for i := range 5 {
			value := fmt.Sprint("later-", i)
			s.put(table, value)
			eventually(t, "the news came", func() bool { return all[1].believes.value(table) == value })
		}
	})
}

func TestWhoDoesNotReachThePlatformTakesNoFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		all[0].outside.cutOff()
		eventually(t, "the others follow the second", func() bool { return all[2].source.Following() && !all[1].source.Following() })
		s.put(table, "two")
		eventually(t, "the news came", func() bool { return all[2].believes.value(table) == "two" })
	})
}

// TestMoreThanAFrameHoldsIsListed lets more come than one frame may hold, while the
// history is forgotten: the follower lists for itself and follows on.
func TestMoreThanAFrameHoldsIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		const objects, long = 2500, 1900 // 4.75 MB together, which can't be packed
		noise := rand.NewChaCha8([32]byte{})
		s.mutex.Lock()
		for i := range objects {
			s.now++
			name := fmt.Sprint("many-", i)
			s.objects[name] = protocol.Object{Kind: kind, Name: name, Version: s.now, Value: make([]byte, long)}
			_, _ = noise.Read(s.objects[name].Value)
		}
		s.mutex.Unlock()
		s.forget()
		eventually(t, "all came", func() bool { return all[1].believes.value("many-2499") != "" })
		eventually(t, "it follows again", all[1].source.Following)
		s.put(table, "two")
		eventually(t, "the news came", func() bool { return all[1].believes.value(table) == "two" })
	})
}

func TestAClosedSourceFollowsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 1)
		peer := all[0].source.Self
		for range 20 {
			next := newNamed(t, s, rankedAfter(peer))[0]
			next.source.Learn([]protocol.EntryRecord{peer}, true)
			next.close()
			eventually(t, "nobody follows", func() bool { return !next.source.Following() })
		}
		eventually(t, "nobody is followed", func() bool { return !all[0].source.Followed() })
	})
}

func TestAWrongKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		e := newEntries(t, s, 1)[0]
		c := http.Client{Transport: &http.Transport{DialContext: s.network.dial, DisableKeepAlives: true}}
		res, err := c.Get("http://" + e.source.Self.Peers + transport.Path)
		require.NoError(t, err)
		defer res.Body.Close()
		require.Equal(t, http.StatusUnauthorized, res.StatusCode)
	})
}

// TestWhatNobodyHasWrittenYetIsKnownThroughThePeer follows before the operator has written
// the first table.
func TestWhatNobodyHasWrittenYetIsKnownThroughThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		first := newEntry(t, s, "e-0", "key")
		next := newEntry(t, s, rankedAfter(first.source.Self), "key")
		for _, e := range []*entry{first, next} {
			e.source.Start()
			e.source.Learn([]protocol.EntryRecord{first.source.Self}, true)
			e.watcher.Start()
			e.confirmer.Start()
		}
		eventually(t, "it follows", next.source.Following)
		time.Sleep(5 * time.Second)
		require.Zero(t, next.calls())
		s.put(table, "one")
		eventually(t, "the news came", func() bool { return next.believes.value(table) == "one" })
		require.Zero(t, next.calls())
	})
}

func TestAnUnwrittenObjectConfirmsNothing(t *testing.T) {
	s := newStore()
	source := &transport.Source{Platform: &outside{store: s, name: "e"}, Counters: &metric.Set{}}
	r, err := source.Read(t.Context(), kind, table)
	require.NoError(t, err)
	require.True(t, r.At().IsZero())
}

// TestWhoLosesItsPeerLooksForAnotherBeforeItCalls ends the entry that many follow: the next one in rank
// calls the platform for all, and hardly anybody does beside it.
func TestWhoLosesItsPeerLooksForAnotherBeforeItCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 60)
		before := callsOf(all[2:])
		all[0].close()
		s.put(table, "two")
		began := time.Now()
		allHear(t, all[1:], "two", began)
		require.LessOrEqual(t, callsOf(all[2:])-before, len(all)/10)
	})
}

// TestWhoMovesToABetterPeerAsksNobodyElse has an entry learn of a peer that ranks before the one that it
// follows, while a question to that one is open.
func TestWhoMovesToABetterPeerAsksNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		third := follow(t, s, all[1])
		eventually(t, "it follows", third.source.Following)
		time.Sleep(2*time.Second + 100*time.Millisecond) // a question is held back for news
		third.source.Learn([]protocol.EntryRecord{all[0].source.Self, all[1].source.Self}, true)
		began := time.Now()
		eventually(t, "it has it confirmed", func() bool { return third.believes.confirmedAt().After(began) })
		time.Sleep(2 * time.Second)
		require.Zero(t, third.calls())
	})
}
