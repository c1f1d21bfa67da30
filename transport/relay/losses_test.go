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

// lossRecorder records what loss reports change at entries.
type lossRecorder struct {
	mutex   sync.Mutex
	lostAt  map[string]time.Time // when an entry marked the endpoint as lost, by entry
	changes int                  // reports that changed something at any entry
}

func (r *lossRecorder) observe(all []*entry) {
	r.lostAt = map[string]time.Time{}
	for _, e := range all {
		e.source.EndpointCount = func() int { return 80 }
		e.source.OnLossChange = func(_ loss.Report, v loss.Change) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.changes++
			switch v.(type) {
			case loss.Lost:
				r.lostAt[e.client.name] = time.Now()
			case loss.Recovered:
				delete(r.lostAt, e.client.name)
			}
		}
	}
}

func (r *lossRecorder) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.lostAt)
}

// TestLossReachesAllEntries has one of thirty entries observe a refused connection. Within 50 ms of
// virtual time all entries know of it, each receives one report, and the same holds for the
// recovery.
func TestLossReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		var recorder lossRecorder
		recorder.observe(all)
		observedAt := time.Now()
		all[17].source.ReportLoss("engine", protocol.LossRefused, observedAt)
		eventually(t, "all entries know of the loss", func() bool { return recorder.count() == len(all) })
		for name, at := range recorder.lostAt {
			require.Less(t, at.Sub(observedAt), 50*time.Millisecond, name)
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			all[i].source.ReportLoss("engine", protocol.LossRefused, observedAt)
		}
		time.Sleep(time.Second)
		require.Equal(t, len(all), recorder.changes, "a known loss is not reported again")
		all[3].source.ReportLoss("engine", protocol.LossAnswered, time.Now())
		eventually(t, "all entries know of the recovery", func() bool { return recorder.count() == 0 })
	})
}

// TestSilenceNeedsTwoObservers checks that the first observer's report reaches all entries too, so
// that a second observer at any entry confirms the loss at all of them.
func TestSilenceNeedsTwoObservers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 6)
		var recorder lossRecorder
		recorder.observe(all)
		all[2].source.ReportLoss("engine", protocol.LossSilent, time.Now())
		time.Sleep(time.Second)
		require.Zero(t, recorder.count())
		all[5].source.ReportLoss("engine", protocol.LossSilent, time.Now())
		eventually(t, "all entries know of the loss", func() bool { return recorder.count() == len(all) })
	})
}

// TestLaterFollowerReceivesRecentLosses has one entry join while the report is valid, and one after
// it has expired.
func TestLaterFollowerReceivesRecentLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		all[0].source.ReportLoss("engine", protocol.LossRefused, time.Now())
		var recorder lossRecorder
		late := newEntry(t, s, rankedAfter(all[0].source.Self), "third")
		recorder.observe([]*entry{late})
		late.start(t, []protocol.EntryRecord{all[0].source.Self})
		eventually(t, "the new entry has the report", func() bool { return recorder.count() == 1 })
		time.Sleep(loss.ReportTTL)
		var lastRecorder lossRecorder
		last := newEntry(t, s, fmt.Sprint(rankedAfter(all[0].source.Self), "-last"), "fourth")
		lastRecorder.observe([]*entry{last})
		last.start(t, []protocol.EntryRecord{all[0].source.Self})
		time.Sleep(time.Second)
		require.Zero(t, lastRecorder.count(), "an expired report is not sent")
	})
}

// TestAddressOwnerReachesAllEntries has one of thirty entries find another process at an endpoint's
// address. Each entry receives one report, with the process's ID and the incarnation that the
// endpoint had.
func TestAddressOwnerReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		var mutex sync.Mutex
		received := make(map[string][]loss.Report)
		for _, e := range all {
			e.source.Incarnation = func(string) protocol.Incarnation { return 7 }
			e.source.OnLossChange = func(r loss.Report, _ loss.Change) {
				mutex.Lock()
				defer mutex.Unlock()
				received[e.client.name] = append(received[e.client.name], r)
			}
		}
		observedAt := time.Now()
		all[17].source.ReportAddressOwner("engine", "other", observedAt)
		time.Sleep(50 * time.Millisecond)
		for i := range 10 {
			all[i].source.ReportAddressOwner("engine", "other", time.Now())
		}
		time.Sleep(500 * time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()
		require.Len(t, received, len(all))
		for name, reports := range received {
			require.Len(t, reports, 1, name)
			require.Equal(t, "other", reports[0].AddressOwner())
			require.Equal(t, protocol.LossMismatch, reports[0].Observation())
			require.Equal(t, protocol.Incarnation(7), reports[0].Incarnation())
		}
	})
}
