// SPDX-License-Identifier: Apache-2.0

package director_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/director"
)

// TestFollowerLeavesOrdersToItsPeer runs a director that follows a peer, first beside one that does
// not, then alone.
func TestFollowerLeavesOrdersToItsPeer(t *testing.T) {
	for _, alone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(2)
			follower := f.director(t, "follower")
			follower.Following = func() bool { return true }
			peer := f.director(t, "first")
			follower.Start()
			if !alone {
				peer.Start()
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			follower.Close()
			peer.Close()
			synctest.Wait()
			require.Equal(t, alone, follower.Counters.Value(string(metric.OrdersGiven)) > 0)
			for _, e := range f.engines {
				require.NotEmpty(t, e.orders)
			}
			var r lease.Record
			require.NoError(t, json.Unmarshal(f.object.Value, &r))
			require.Empty(t, r.Holder, "the lease is released when there is no more work")
		})
	}
}

// TestPlanSkipsUnansweringEmptyEngine has uncovered layers that either of two empty engines could
// load. The first one by name is dead.
func TestPlanSkipsUnansweringEmptyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(3)
		f.engines["e1"].silent = true
		d := f.director(t, "d")
		d.Registry.Replace([]protocol.Endpoint{
			record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{}), record("e2", protocol.Span{}),
		}, time.Now())
		d.Start()
		time.Sleep(4 * time.Second)
		d.Close()
		synctest.Wait()
		require.NotEmpty(t, f.engines["e2"].orders)
		require.Equal(t, 10, f.engines["e2"].orders[0].Layers.To, "the gap is filled first")
		require.LessOrEqual(t, f.engines["e1"].reports, 2)
	})
}

func TestUnansweringEngineDoesNotDelayOthers(t *testing.T) {
	f := newFixture(4)
	f.engines["e1"].silent = true
	runDirectors(t, f, 1, 6*time.Second)
	require.Equal(t, 3, f.orders())
	require.LessOrEqual(t, f.engines["e1"].reports, 6, "it is called at most once a second")
}

func TestLateOrderIsNotRepeated(t *testing.T) {
	f := newFixture(2)
	f.engines["e0"].delay = 4 * time.Second
	runDirectors(t, f, 2, 20*time.Second)
	require.Len(t, f.engines["e0"].orders, 1)
	require.Len(t, f.engines["e1"].orders, 1)
}

func TestLostOrderIsRepeated(t *testing.T) {
	f := newFixture(2)
	f.engines["e0"].ordersToLose = 2
	runDirectors(t, f, 2, 30*time.Second)
	require.Len(t, f.engines["e0"].orders, 1)
	require.Zero(t, f.engines["e0"].ordersToLose)
}

// TestOrderWithStaleCountIsRefused uses an engine that has accepted orders from another entry.
func TestOrderWithStaleCountIsRefused(t *testing.T) {
	f := newFixture(2)
	f.engines["e0"].orders = make([]protocol.PlacementOrder, 3)
	_, err := f.Place(context.Background(), protocol.PlacementOrder{Address: "e0", PriorOrders: 2})
	require.Error(t, err)
	runDirectors(t, f, 1, 5*time.Second)
	require.Len(t, f.engines["e0"].orders, 4)
	require.Equal(t, 3, f.engines["e0"].orders[3].PriorOrders, "the director reads the count from the engine's report")
}

// TestIncompleteListAfterStartMovesNoLayers starts an entry just after an outage of the platform.
// One engine's record expired during the outage and returns after 1.5 s.
func TestIncompleteListAfterStartMovesNoLayers(t *testing.T) {
	for _, missing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(3)
			d := f.director(t, "d")
			d.Registry.Replace([]protocol.Endpoint{
				record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{To: 6}),
			}, time.Now())
			d.Start()
			time.Sleep(1500 * time.Millisecond)
			if !missing {
				d.Registry.Add(record("e2", protocol.Span{From: 6, To: 10}))
			}
			time.Sleep(5 * time.Second)
			d.Close()
			synctest.Wait()
			require.Equal(t, missing, f.orders() > 0, "an engine that stays missing is lost")
		})
	}
}

// TestEngineWithFewLayersIsGivenMore checks that one of several entries improves a layout that has
// no gap.
func TestEngineWithFewLayersIsGivenMore(t *testing.T) {
	for _, following := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(3)
			var all []*director.Director
			for i := range 3 {
				d := f.director(t, fmt.Sprint("d", i))
				d.Following = func() bool { return following }
				d.Registry.Replace([]protocol.Endpoint{
					record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{From: 5, To: 10}), record("e2", protocol.Span{From: 5, To: 6}),
				}, time.Now())
				all = append(all, d)
			}
			for _, d := range all {
				d.Start()
			}
			time.Sleep(15 * time.Second)
			for _, d := range all {
				d.Close()
			}
			synctest.Wait()
			require.Equal(t, !following, len(f.engines["e2"].orders) > 0, "followers leave improvements to their peers")
		})
	}
}

// TestUnfollowedFollowerSeldomPlans changes an engine every 100 ms. An entry that follows no peer
// plans for each change. A follower without followers plans once every two seconds.
func TestUnfollowedFollowerSeldomPlans(t *testing.T) {
	plans := map[bool]int64{}
	for _, following := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(3)
			d := f.director(t, "one")
			d.Following = func() bool { return following }
			initial := protocol.Span{From: 0, To: 5}
			d.Registry.Add(record("e0", initial))
			d.Registry.Add(record("e1", protocol.Span{From: 5, To: 10}))
			d.Start()
			time.Sleep(50 * time.Millisecond) // changes come between checks
			for i := range 100 {
				time.Sleep(100 * time.Millisecond)
				span := initial
				span.To += i % 2
				d.Registry.Add(record("e2", span))
			}
			d.Close()
			synctest.Wait()
			plans[following] = d.Counters.Value(string(metric.PlansComputed))
		})
	}
	require.Greater(t, plans[false], int64(50))
	require.LessOrEqual(t, plans[true], int64(7))
}

// TestReportedLayersOverrideRecord uses an engine that reports, before its order, that it holds
// none of the layers in its record. It gets no order until a plan is computed without those layers.
func TestReportedLayersOverrideRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		f.engines["e1"].reportsLayers = true
		d := f.director(t, "one")
		d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
		d.Registry.Add(record("e1", protocol.Span{From: 5, To: 7})) // no engine has [7,10)
		time.Sleep(time.Second)
		d.Start()
		time.Sleep(5 * time.Second)
		d.Close()
		synctest.Wait()
		f.mutex.Lock()
		defer f.mutex.Unlock()
		require.NotEmpty(t, f.engines["e1"].orders)
		require.Equal(t, 1+len(f.engines["e1"].orders), f.engines["e1"].reports, "the first report led to another plan")
		require.Equal(t, protocol.Span{From: 5, To: 10}, f.engines["e1"].orders[0].Layers)
	})
}

// TestMisdirectedOrderIsReported has another process answer the order to an engine.
func TestMisdirectedOrderIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		f.engines["e1"].owner = "next"
		d := f.director(t, "one")
		var reported []string
		d.OnMisdirected = func(endpoint string, by *director.Misdirected) {
			reported = append(reported, endpoint+" "+by.Owner)
			d.Registry.OwnerAnswered(endpoint, by.Owner, 0, time.Now())
		}
		d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
		d.Registry.Add(record("e1", protocol.Span{}))
		d.Start()
		time.Sleep(10 * time.Second)
		d.Close()
		synctest.Wait()
		require.Equal(t, []string{"e1 next"}, reported, "the order is not repeated")
	})
}

// TestRestartedEngineIsOrderedAtOnce restarts an engine while its order is pending. The new process
// does not know the order, and the next order must not wait for its effect.
func TestRestartedEngineIsOrderedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		f.engines["e1"].loadTime = time.Hour
		d := f.director(t, "one")
		d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
		d.Registry.Add(record("e1", protocol.Span{}))
		d.Start()
		time.Sleep(4 * time.Second) // the list of engines is complete by then
		require.Equal(t, 1, f.orders())
		f.mutex.Lock()
		f.engines["e1"].orders = nil
		f.mutex.Unlock()
		d.RecordRestart("e1")
		d.Wake()
		time.Sleep(time.Second)
		require.Equal(t, 1, f.orders())
		d.Close()
		synctest.Wait()
	})
}

// TestUnrecordedEngineIsOrderedIfItMatches has an engine without a record answer at the address of
// a dead one. It gets the layers only if it reports the same accelerator and holds no layers.
func TestUnrecordedEngineIsOrderedIfItMatches(t *testing.T) {
	for _, c := range []struct {
		accelerator string
		layers      protocol.Span
		orders      int
	}{
		{accelerator: "t4", orders: 1},
		{accelerator: "l4"},
		{accelerator: ""},
		{accelerator: "t4", layers: protocol.Span{From: 0, To: 5}}, // other entries may have its record and use it
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(2)
			f.engines["e1"].reportsLayers, f.engines["e1"].accelerator, f.engines["e1"].layers = true, c.accelerator, c.layers
			f.engines["e1"].loadTime = time.Hour
			d := f.director(t, "one")
			d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
			d.Registry.Add(record("e1", protocol.Span{From: 5, To: 10}))
			d.Start()
			time.Sleep(4 * time.Second) // the list of engines is complete by then
			require.Zero(t, f.orders())
			d.Registry.OwnerAnswered("e1", "next", 0, time.Now())
			time.Sleep(time.Second)
			d.Close()
			synctest.Wait()
			f.mutex.Lock()
			defer f.mutex.Unlock()
			require.Len(t, f.engines["e1"].orders, c.orders, c)
			for _, o := range f.engines["e1"].orders {
				require.Equal(t, "next", o.EndpointID)
				require.Equal(t, protocol.Span{From: 5, To: 10}, o.Layers)
			}
		})
	}
}

// TestSilentEngineKeepsItsLayers lets the only engine of some layers be silent: orders to others would cut their streams.
func TestSilentEngineKeepsItsLayers(t *testing.T) {
	for _, c := range []struct {
		name           string
		silent         time.Duration
		refused, moved bool
	}{
		{"for as long as a sound one", 1200 * time.Millisecond, false, false},
		{"for longer", 4 * time.Second, false, true},
		{"and refuses a connection", 1200 * time.Millisecond, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(3)
				d := f.director(t, "d")
				d.Registry.Replace([]protocol.Endpoint{
					record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{To: 6}), record("e2", protocol.Span{From: 6, To: 10}),
				}, time.Now())
				d.Start()
				time.Sleep(5 * time.Second)
				before := f.orders()
				began := time.Now()
				e := d.Registry.View().Runner("e2")
				time.Sleep(400 * time.Millisecond) // until two entries have found it silent
				e.MarkLost(time.Now(), time.Now().Add(4*time.Second))
				if c.refused {
					e.MarkRefused()
				}
				d.Wake()
				time.Sleep(time.Until(began.Add(c.silent)))
				e.ClearLost()
				d.Wake()
				time.Sleep(3 * time.Second)
				d.Close()
				synctest.Wait()
				require.Equal(t, c.moved, f.orders() > before)
			})
		})
	}
}
