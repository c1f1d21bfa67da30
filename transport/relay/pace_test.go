// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/protocol"
)

// slowNews is what entries were told of the pace of endpoints.
type slowNews struct {
	mutex sync.Mutex
	at    map[string]time.Time // by entry, when it took the endpoint as slow
	times int                  // reports that changed something anywhere
}

func (n *slowNews) listen(all []*entry) {
	n.at = map[string]time.Time{}
	for _, e := range all {
		e.source.OnSlownessChange = func(_ slow.Report, v slow.Change) {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.times++
			switch v.(type) {
			case slow.Slow:
				n.at[e.outside.name] = time.Now()
			case slow.Recovered:
				delete(n.at, e.outside.name)
			}
		}
	}
}

func (n *slowNews) count() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.at)
}

func twelveTimes() protocol.RelaySlow {
	return protocol.RelaySlow{Endpoint: "engine", Incarnation: 7, Observation: protocol.SlowTold, Pace: 12}
}

// TestASlowEngineIsKnownToAllAtOnce has one entry of thirty be told a pace of twelve: it is
// known to all within 50 ms of virtual time, told once, and so is that it is over.
func TestASlowEngineIsKnownToAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		var heard slowNews
		heard.listen(all)
		met := time.Now()
		all[17].source.ReportSlowness(twelveTimes(), met)
		eventually(t, "all know", func() bool { return heard.count() == len(all) })
		for name, at := range heard.at {
			require.Less(t, at.Sub(met), 50*time.Millisecond, name)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 10 {
			all[i].source.ReportSlowness(twelveTimes(), time.Now())
		}
		time.Sleep(time.Second)
		require.Equal(t, len(all), heard.times, "what is known is not told again")
		over := twelveTimes()
		over.Pace = 1
		all[3].source.ReportSlowness(over, time.Now())
		eventually(t, "all know that it is over", func() bool { return heard.count() == 0 })
	})
}

// TestTwoLateAnswersOfTwoEntriesAreEnough: the first is told everywhere, so that the second
// makes it certain everywhere.
func TestTwoLateAnswersOfTwoEntriesAreEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 6)
		var heard slowNews
		heard.listen(all)
		late := protocol.RelaySlow{Endpoint: "plain", Observation: protocol.SlowSeen, Pace: 5}
		all[2].source.ReportSlowness(late, time.Now())
		time.Sleep(300 * time.Millisecond)
		require.Zero(t, heard.count())
		all[5].source.ReportSlowness(late, time.Now())
		eventually(t, "all know", func() bool { return heard.count() == len(all) })
	})
}

// TestWhoFollowsLaterIsToldWhatIsSlow as long as that counts.
func TestWhoFollowsLaterIsToldWhatIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].source.ReportSlowness(twelveTimes(), time.Now())
		var heard slowNews
		late := newEntry(t, s, rankedAfter(all[0].source.Self), "third")
		heard.listen([]*entry{late})
		late.start(t, []protocol.EntryRecord{all[0].source.Self})
		eventually(t, "it is told", func() bool { return heard.count() == 1 })
		time.Sleep(slow.ReportTTL)
		var nothing slowNews
		last := newEntry(t, s, rankedAfter(all[0].source.Self)+"-last", "fourth")
		nothing.listen([]*entry{last})
		last.start(t, []protocol.EntryRecord{all[0].source.Self})
		time.Sleep(time.Second)
		require.Zero(t, nothing.count(), "old news count for nothing")
	})
}
