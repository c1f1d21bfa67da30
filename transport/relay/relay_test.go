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

func TestFollowersReceiveChangesAndConfirmationsFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 4)
		require.False(t, all[0].source.Following())
		for _, e := range all[1:] {
			began := time.Now()
			eventually(t, "confirmed through the peer", func() bool { return e.state.confirmedAt().After(began) })
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
				eventually(t, "the change arrived", func() bool { return e.state.value(table) == value })
			}
		}
		for i, e := range all[1:] {
			eventually(t, "the object was removed", func() bool { return e.state.value("other-18") == "" && e.state.value("other-19") != "" })
			require.Equal(t, before[i+1], e.calls(), "%s called the platform", e.client.name)
		}
		require.Greater(t, all[0].calls(), before[0])
	})
}

// TestFollowerRelaysToItsOwnFollower has a third entry know only the second, which follows the
// first. The third gets the changes and their confirmation, and neither calls the platform.
func TestFollowerRelaysToItsOwnFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		before := all[1].calls()
		third := startFollower(t, s, all[1])
		eventually(t, "the third entry follows its peer", third.source.Following)
		for i := range 5 {
			value := fmt.Sprint("value-", i)
			s.put(table, value)
			eventually(t, "the change arrived", func() bool { return third.state.value(table) == value })
			began := time.Now()
			eventually(t, "the change was confirmed", func() bool { return third.state.confirmedAt().After(began) })
		}
		require.True(t, all[1].source.Following())
		require.Equal(t, before, all[1].calls())
		require.Zero(t, third.calls(), "the third entry did not list")
	})
}

// TestChangeMissedByWatchesIsRelayed changes the table while the platform's watches deliver
// nothing. Only the first entry's reads detect the change.
func TestChangeMissedByWatchesIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		third := startFollower(t, s, all[1])
		before := all[1].calls()
		s.mutex.Lock()
		s.watchesStalled = true
		s.mutex.Unlock()
		long := strings.Repeat("xyz", 100<<10)
		for _, value := range []string{"two", "three", long} {
			s.put(table, value)
			began := time.Now()
			for _, e := range append(all, third) {
				eventually(t, "the change arrived and was confirmed", func() bool {
					return e.state.value(table) == value && e.state.confirmedAt().After(began)
				})
			}
		}
		require.Equal(t, before, all[1].calls())
		require.Zero(t, third.calls())
	})
}

// TestChangesContinueAfterFirstOfThreeStops has the second entry call the platform on behalf of the
// third.
func TestChangesContinueAfterFirstOfThreeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		third := startFollower(t, s, all[1])
		all[0].close()
		s.put(table, "two")
		eventually(t, "the change arrived", func() bool { return third.state.value(table) == "two" })
		began := time.Now()
		eventually(t, "the change was confirmed", func() bool { return third.state.confirmedAt().After(began) })
		require.True(t, third.source.Following())
	})
}

// TestUnresponsivePeerIsDropped follows a peer whose connection accepts data but never answers, as
// after a reset that was lost, also during an outage of the platform.
func TestUnresponsivePeerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		silent := newSilentPeer(t, s, kind, protocol.Object{Kind: kind, Name: table, Version: protocol.Revision{Number: 2}, Value: []byte("one")})
		e := newEntry(t, s, rankedAfter(silent), "key")
		e.source.Start()
		e.source.Learn([]protocol.EntryRecord{silent}, true)
		e.watcher.Start()
		e.confirmer.Start()
		eventually(t, "the peer is followed", e.source.Following)
		s.setDown(true)
		eventually(t, "the peer is dropped", func() bool { return !e.source.Following() })
		s.setDown(false)
		s.put(table, "two")
		eventually(t, "the change arrived", func() bool { return e.state.value(table) == "two" })
	})
}

// TestSimultaneousStartListsOnce starts every entry at the same moment.
func TestSimultaneousStartListsOnce(t *testing.T) {
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
			eventually(t, "the entry has the value and a confirmation", func() bool {
				return e.state.value(table) == "one" && !e.state.confirmedAt().IsZero()
			})
			if e.calls() > 0 {
				calling++
			}
		}
		require.Equal(t, 1, calling)
	})
}

func TestNextPeerIsFollowedAfterOneStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		all[0].close()
		eventually(t, "the last follows the second", func() bool { return all[2].source.Following() && !all[1].source.Following() })
		s.put(table, "two")
		for _, e := range all[1:] {
			eventually(t, "the change arrived", func() bool { return e.state.value(table) == "two" })
		}
	})
}

func TestPeerCutOffFromPlatformIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].client.cutOff()
		s.put(table, "two")
		eventually(t, "the follower gets the change", func() bool { return all[1].state.value(table) == "two" })
		eventually(t, "the follower drops the peer", func() bool { return !all[1].source.Following() })
		began := time.Now()
		eventually(t, "the follower confirms with the platform", func() bool { return all[1].state.confirmedAt().After(began) })
	})
}

func TestFollowersStayInOutageAndLearnOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		s.setDown(true)
		before := all[1].calls()
		select {
		case <-all[1].platformFailures:
		case <-time.After(waitTimeout):
			t.Fatal("the follower was not informed of the outage")
		}
		eventually(t, "the follower calls the platform", func() bool { return all[1].calls() > before })
		require.True(t, all[1].source.Following())
		s.setDown(false)
		s.put(table, "two")
		eventually(t, "the change arrived", func() bool { return all[1].state.value(table) == "two" })
	})
}

// TestPeersKeepFollowingWhenAskedInOutage checks that in an outage, where followers look for a
// fresher peer, no peer stops following its own peer to call the platform for them.
func TestPeersKeepFollowingWhenAskedInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 4)
		s.setDown(true)
		before := all[3].calls()
		eventually(t, "the last entry asks the platform, then its peers", func() bool { return all[3].calls() >= before+2 })
		for _, e := range all[1:] {
			require.True(t, e.source.Following(), "%s stopped following", e.client.name)
		}
	})
}

func TestFollowersRecoverFromDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		s.put("goes", "x")
		all := newEntries(t, s, 2)
		before := all[1].calls()
		s.removeWithoutHistory("goes")
		for _, e := range all {
			eventually(t, "the object was removed", func() bool { return e.state.value("goes") == "" })
		}
		require.Equal(t, before, all[1].calls())
	})
}

func TestLongValuesAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		before := all[1].calls()
		long := strings.Repeat("xyz", 100<<10)
		s.put(table, long)
		eventually(t, "the change arrived", func() bool { return all[1].state.value(table) == long })
		require.Equal(t, before, all[1].calls())
	})
}

// TestFollowerListsAgainAfterGap has a follower know a revision between two lists of the entry that
// it follows.
func TestFollowerListsAgainAfterGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		first := all[0].source.Self
		// Restart the first entry, so that it lists when the second one has later revisions.
		all[0].close()
		eventually(t, "the follower drops its peer", func() bool { return !all[1].source.Following() })
		next := newNamed(t, s, first.Name)[0]
		all[1].source.Learn([]protocol.EntryRecord{next.source.Self}, true)
		eventually(t, "the follower follows again", all[1].source.Following)
		for i := range 5 {
			value := fmt.Sprint("later-", i)
			s.put(table, value)
			eventually(t, "the change arrived", func() bool { return all[1].state.value(table) == value })
		}
	})
}

func TestEntryCutOffFromPlatformAcceptsNoFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		all[0].client.cutOff()
		eventually(t, "the others follow the second", func() bool { return all[2].source.Following() && !all[1].source.Following() })
		s.put(table, "two")
		eventually(t, "the change arrived", func() bool { return all[2].state.value(table) == "two" })
	})
}

// TestFollowerListsWhenChangesExceedFrame makes more changes than fit into one frame and drops the
// history. The follower lists for itself and then follows again.
func TestFollowerListsWhenChangesExceedFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		const objects, long = 2500, 1900 // 4.75 MB in total, incompressible
		noise := rand.NewChaCha8([32]byte{})
		s.mutex.Lock()
		for i := range objects {
			s.revision++
			name := fmt.Sprint("many-", i)
			s.objects[name] = protocol.Object{Kind: kind, Name: name, Version: protocol.Revision{Number: s.revision}, Value: make([]byte, long)}
			_, _ = noise.Read(s.objects[name].Value)
		}
		s.mutex.Unlock()
		s.forget()
		eventually(t, "all objects arrived", func() bool { return all[1].state.value("many-2499") != "" })
		eventually(t, "the follower follows again", all[1].source.Following)
		s.put(table, "two")
		eventually(t, "the change arrived", func() bool { return all[1].state.value(table) == "two" })
	})
}

func TestClosedSourceFollowsNoPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 1)
		peer := all[0].source.Self
		for range 20 {
			next := newNamed(t, s, rankedAfter(peer))[0]
			next.source.Learn([]protocol.EntryRecord{peer}, true)
			next.close()
			eventually(t, "the closed source does not follow", func() bool { return !next.source.Following() })
		}
		eventually(t, "the peer has no followers", func() bool { return !all[0].source.Followed() })
	})
}

func TestWrongKeyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		e := newEntries(t, s, 1)[0]
		c := http.Client{Transport: &http.Transport{DialContext: s.network.dial, DisableKeepAlives: true}}
		res, err := c.Get("http://" + e.source.Self.PeerAddress + transport.Path)
		require.NoError(t, err)
		defer res.Body.Close()
		require.Equal(t, http.StatusUnauthorized, res.StatusCode)
	})
}

// TestUnwrittenObjectIsConfirmedThroughPeer follows a peer before the operator has written the
// first table.
func TestUnwrittenObjectIsConfirmedThroughPeer(t *testing.T) {
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
		eventually(t, "the entry follows its peer", next.source.Following)
		time.Sleep(5 * time.Second)
		require.Zero(t, next.calls())
		s.put(table, "one")
		eventually(t, "the change arrived", func() bool { return next.state.value(table) == "one" })
		require.Zero(t, next.calls())
	})
}

func TestUnwrittenObjectHasNoConfirmationTime(t *testing.T) {
	s := newStore()
	source := &transport.Source{Platform: &platformClient{store: s, name: "e"}, Counters: &metric.Set{}}
	r, err := source.Read(t.Context(), kind, table)
	require.NoError(t, err)
	require.True(t, r.At().IsZero())
}

// TestFollowersSearchBeforeCallingPlatform stops the entry that many follow. The next one in rank
// calls the platform for all, and hardly any other entry does.
func TestFollowersSearchBeforeCallingPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 60)
		before := totalCalls(all[2:])
		all[0].close()
		s.put(table, "two")
		began := time.Now()
		requireConfirmed(t, all[1:], "two", began)
		require.LessOrEqual(t, totalCalls(all[2:])-before, len(all)/10)
	})
}

// TestMoveToBetterPeerDoesNotCallPlatform has an entry learn of a peer that ranks before its own
// while a request to its own peer is open.
func TestMoveToBetterPeerDoesNotCallPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		third := startFollower(t, s, all[1])
		eventually(t, "the entry follows its peer", third.source.Following)
		time.Sleep(2*time.Second + 100*time.Millisecond) // the peer delays its answer until the next confirmation
		third.source.Learn([]protocol.EntryRecord{all[0].source.Self, all[1].source.Self}, true)
		began := time.Now()
		eventually(t, "the state is confirmed", func() bool { return third.state.confirmedAt().After(began) })
		time.Sleep(2 * time.Second)
		require.Zero(t, third.calls())
	})
}
