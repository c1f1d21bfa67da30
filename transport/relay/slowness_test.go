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

// slownessRecorder records what slowness reports change at entries.
type slownessRecorder struct {
	mutex   sync.Mutex
	slowAt  map[string]time.Time // when an entry marked the endpoint as slow, by entry
	changes int                  // reports that changed something at any entry
}

func (r *slownessRecorder) observe(all []*entry) {
	r.slowAt = map[string]time.Time{}
	for _, e := range all {
		e.source.OnSlownessChange = func(_ slow.Report, v slow.Change) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.changes++
			switch v.(type) {
			case slow.Slow:
				r.slowAt[e.client.name] = time.Now()
			case slow.Recovered:
				delete(r.slowAt, e.client.name)
			}
		}
	}
}

func (r *slownessRecorder) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.slowAt)
}

func twelvefoldSlowdown() protocol.SlownessReport {
	return protocol.SlownessReport{Endpoint: "engine", Incarnation: 7, Observation: protocol.SlowReported, Slowdown: 12}
}

// TestSlowEndpointReachesAllEntries has one of thirty entries learn of a slowdown of twelve. Within
// 50 ms of virtual time all entries know of it, each receives one report, and the same holds for
// the recovery.
func TestSlowEndpointReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		var recorder slownessRecorder
		recorder.observe(all)
		observedAt := time.Now()
		all[17].source.ReportSlowdown(twelvefoldSlowdown(), observedAt)
		eventually(t, "all entries know of the slowdown", func() bool { return recorder.count() == len(all) })
		for name, at := range recorder.slowAt {
			require.Less(t, at.Sub(observedAt), 50*time.Millisecond, name)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 10 {
			all[i].source.ReportSlowdown(twelvefoldSlowdown(), time.Now())
		}
		time.Sleep(time.Second)
		require.Equal(t, len(all), recorder.changes, "a known slowdown is not reported again")
		recovered := twelvefoldSlowdown()
		recovered.Slowdown = 1
		all[3].source.ReportSlowdown(recovered, time.Now())
		eventually(t, "all entries know of the recovery", func() bool { return recorder.count() == 0 })
	})
}

// TestSlownessNeedsTwoObservers checks that the first late answer is reported everywhere, so that a
// second one at another entry confirms the slowdown everywhere.
func TestSlownessNeedsTwoObservers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 6)
		var recorder slownessRecorder
		recorder.observe(all)
		late := protocol.SlownessReport{Endpoint: "plain", Observation: protocol.SlowMeasured, Slowdown: 5}
		all[2].source.ReportSlowdown(late, time.Now())
		time.Sleep(300 * time.Millisecond)
		require.Zero(t, recorder.count())
		all[5].source.ReportSlowdown(late, time.Now())
		eventually(t, "all entries know of the slowdown", func() bool { return recorder.count() == len(all) })
	})
}

// TestLaterFollowerReceivesRecentSlowness has one entry join while the report is valid, and one
// after it has expired.
func TestLaterFollowerReceivesRecentSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].source.ReportSlowdown(twelvefoldSlowdown(), time.Now())
		var recorder slownessRecorder
		late := newEntry(t, s, rankedAfter(all[0].source.Self), "third")
		recorder.observe([]*entry{late})
		late.start(t, []protocol.EntryRecord{all[0].source.Self})
		eventually(t, "the new entry has the report", func() bool { return recorder.count() == 1 })
		time.Sleep(slow.ReportTTL)
		var lastRecorder slownessRecorder
		last := newEntry(t, s, rankedAfter(all[0].source.Self)+"-last", "fourth")
		lastRecorder.observe([]*entry{last})
		last.start(t, []protocol.EntryRecord{all[0].source.Self})
		time.Sleep(time.Second)
		require.Zero(t, lastRecorder.count(), "an expired report is not sent")
	})
}
