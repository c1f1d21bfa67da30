// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/protocol"
)

// told is what entries were told of losses.
type told struct {
	mutex sync.Mutex
	lost  map[string]time.Time // by entry, when it took an endpoint as lost
	times int                  // reports that changed something anywhere
}

func (t *told) listen(all []*entry) {
	t.lost = map[string]time.Time{}
	for _, e := range all {
		e.source.EndpointCount = func() int { return 80 }
		e.source.OnLossChange = func(_ loss.Report, v loss.Change) {
			t.mutex.Lock()
			defer t.mutex.Unlock()
			t.times++
			switch v.(type) {
			case loss.Lost:
				t.lost[e.outside.name] = time.Now()
			case loss.Recovered:
				delete(t.lost, e.outside.name)
			}
		}
	}
}

func (t *told) count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.lost)
}

// TestALossIsKnownToAllAtOnce has one entry of thirty meet a refused connection: it is known
// to all within 50 ms of virtual time, each is told once, and so is the endpoint's return.
func TestALossIsKnownToAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		var heard told
		heard.listen(all)
		met := time.Now()
		all[17].source.ReportLoss("engine", protocol.LossRefused, met)
		eventually(t, "all know", func() bool { return heard.count() == len(all) })
		for name, at := range heard.lost {
			require.Less(t, at.Sub(met), 50*time.Millisecond, name)
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			all[i].source.ReportLoss("engine", protocol.LossRefused, met)
		}
		time.Sleep(time.Second)
		require.Equal(t, len(all), heard.times, "what is known is not told again")
		all[3].source.ReportLoss("engine", protocol.LossAnswered, time.Now())
		eventually(t, "all know that it is back", func() bool { return heard.count() == 0 })
	})
}

// TestSilenceIsBelievedFromTwo: the road tells of the first witness too, so that a second
// one anywhere makes it certain everywhere.
func TestSilenceIsBelievedFromTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 6)
		var heard told
		heard.listen(all)
		all[2].source.ReportLoss("engine", protocol.LossSilent, time.Now())
		time.Sleep(time.Second)
		require.Zero(t, heard.count())
		all[5].source.ReportLoss("engine", protocol.LossSilent, time.Now())
		eventually(t, "all know", func() bool { return heard.count() == len(all) })
	})
}

// TestWhoFollowsLaterIsToldToo has an entry join while the news still count, and one when
// they do not any more.
func TestWhoFollowsLaterIsToldToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].source.ReportLoss("engine", protocol.LossRefused, time.Now())
		var heard told
		late := newEntry(t, s, rankedAfter(all[0].source.Self), "third")
		heard.listen([]*entry{late})
		late.start(t, []protocol.EntryRecord{all[0].source.Self})
		eventually(t, "it is told", func() bool { return heard.count() == 1 })
		time.Sleep(loss.ReportTTL)
		var nothing told
		last := newEntry(t, s, fmt.Sprint(rankedAfter(all[0].source.Self), "-last"), "fourth")
		nothing.listen([]*entry{last})
		last.start(t, []protocol.EntryRecord{all[0].source.Self})
		time.Sleep(time.Second)
		require.Zero(t, nothing.count(), "old news count for nothing")
	})
}

// TestWhoHasAnAddressIsKnownToAllAtOnce has one entry of thirty meet another process at an
// endpoint's address: all are told once, with its ID and the life that the endpoint had.
func TestWhoHasAnAddressIsKnownToAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		var mutex sync.Mutex
		heard := make(map[string][]loss.Report)
		for _, e := range all {
			e.source.Incarnation = func(string) protocol.Incarnation { return 7 }
			e.source.OnLossChange = func(r loss.Report, _ loss.Change) {
				mutex.Lock()
				defer mutex.Unlock()
				heard[e.outside.name] = append(heard[e.outside.name], r)
			}
		}
		met := time.Now()
		all[17].source.ReportOwner("engine", "other", met)
		time.Sleep(50 * time.Millisecond)
		for i := range 10 {
			all[i].source.ReportOwner("engine", "other", time.Now())
		}
		time.Sleep(500 * time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()
		require.Len(t, heard, len(all))
		for name, reports := range heard {
			require.Len(t, reports, 1, name)
			require.Equal(t, "other", reports[0].Occupant())
			require.Equal(t, protocol.LossMisplaced, reports[0].Observation())
			require.Equal(t, protocol.Incarnation(7), reports[0].Incarnation())
		}
	})
}
