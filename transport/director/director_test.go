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

// TestFollowersLeaveOrdersToTheirPeers runs a director that learns through a peer
// beside one that does not, and then alone.
func TestFollowersLeaveOrdersToTheirPeers(t *testing.T) {
	for _, alone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(2)
			follower := w.director(t, "follower")
			follower.Following = func() bool { return true }
			first := w.director(t, "first")
			follower.Start()
			if !alone {
				first.Start()
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			follower.Close()
			first.Close()
			synctest.Wait()
			require.Equal(t, alone, follower.Counters.Value(string(metric.OrdersGiven)) > 0)
			for _, e := range w.engines {
				require.NotEmpty(t, e.orders)
			}
			var r lease.Record
			require.NoError(t, json.Unmarshal(w.object.Value, &r))
			require.Empty(t, r.Holder, "the lease was given up when there was no more work")
		})
	}
}

// TestAnEmptyEngineThatDoesNotAnswerIsNotCountedOn has a hole that either of two engines
// could fill, the one that comes first by its name being dead.
func TestAnEmptyEngineThatDoesNotAnswerIsNotCountedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3)
		w.engines["e1"].silent = true
		d := w.director(t, "d")
		d.Registry.Replace([]protocol.Endpoint{
			record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{}), record("e2", protocol.Span{}),
		}, time.Now())
		d.Start()
		time.Sleep(4 * time.Second)
		d.Close()
		synctest.Wait()
		require.NotEmpty(t, w.engines["e2"].orders)
		require.Equal(t, 10, w.engines["e2"].orders[0].Layers.To, "the hole comes first")
		require.LessOrEqual(t, w.engines["e1"].reports, 2)
	})
}

func TestAnEngineThatDoesNotAnswerHoldsNobodyUp(t *testing.T) {
	w := newWorld(4)
	w.engines["e1"].silent = true
	play(t, w, 1, 6*time.Second)
	require.Equal(t, 3, w.orders())
	require.LessOrEqual(t, w.engines["e1"].reports, 6, "it is asked once a second")
}

func TestAnOrderThatLandsLateIsGivenOnce(t *testing.T) {
	w := newWorld(2)
	w.engines["e0"].late = 4 * time.Second
	play(t, w, 2, 20*time.Second)
	require.Len(t, w.engines["e0"].orders, 1)
	require.Len(t, w.engines["e1"].orders, 1)
}

func TestALostOrderIsGivenAgain(t *testing.T) {
	w := newWorld(2)
	w.engines["e0"].loses = 2
	play(t, w, 2, 30*time.Second)
	require.Len(t, w.engines["e0"].orders, 1)
	require.Zero(t, w.engines["e0"].loses)
}

// TestAnOrderAfterOthersIsRefusedByItsNumber meets an engine that has taken orders of
// somebody else.
func TestAnOrderAfterOthersIsRefusedByItsNumber(t *testing.T) {
	w := newWorld(2)
	w.engines["e0"].orders = make([]protocol.PlacementOrder, 3)
	_, err := w.Place(context.Background(), protocol.PlacementOrder{Address: "e0", PriorOrders: 2})
	require.Error(t, err)
	play(t, w, 1, 5*time.Second)
	require.Len(t, w.engines["e0"].orders, 4)
	require.Equal(t, 3, w.engines["e0"].orders[3].PriorOrders, "the director asks the engine before it orders")
}

// TestAnIncompleteListAfterAStartMovesNobody starts an entry right when the platform is
// back: one engine's record has lapsed meanwhile and comes back a second and a half later.
func TestAnIncompleteListAfterAStartMovesNobody(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3)
			d := w.director(t, "d")
			d.Registry.Replace([]protocol.Endpoint{
				record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{To: 6}),
			}, time.Now())
			d.Start()
			time.Sleep(1500 * time.Millisecond)
			if !lost {
				d.Registry.Add(record("e2", protocol.Span{From: 6, To: 10}))
			}
			time.Sleep(5 * time.Second)
			d.Close()
			synctest.Wait()
			require.Equal(t, lost, w.orders() > 0, "an engine that stays missing is lost")
		})
	}
}

// TestAnEngineWithFewLayersIsGivenMore: without a hole, one of several entries puts a
// layout right that was made in haste.
func TestAnEngineWithFewLayersIsGivenMore(t *testing.T) {
	for _, following := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3)
			var all []*director.Director
			for i := range 3 {
				d := w.director(t, fmt.Sprint("d", i))
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
			require.Equal(t, !following, len(w.engines["e2"].orders) > 0, "followers leave it to their peers")
		})
	}
}

// TestWhoseTurnComesLastSeldomPlans lets engines change each 100 ms: the entry that all
// others follow plans for each change, and one that nobody follows once each two seconds.
func TestWhoseTurnComesLastSeldomPlans(t *testing.T) {
	plans := map[bool]int64{}
	for _, follows := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3)
			d := w.director(t, "one")
			d.Following = func() bool { return follows }
			whole := protocol.Span{From: 0, To: 5}
			d.Registry.Add(record("e0", whole))
			d.Registry.Add(record("e1", protocol.Span{From: 5, To: 10}))
			d.Start()
			time.Sleep(50 * time.Millisecond) // changes come between looks
			for i := range 100 {
				time.Sleep(100 * time.Millisecond)
				span := whole
				span.To += i % 2
				d.Registry.Add(record("e2", span))
			}
			d.Close()
			synctest.Wait()
			plans[follows] = d.Counters.Value(string(metric.PlansComputed))
		})
	}
	require.Greater(t, plans[false], int64(50))
	require.LessOrEqual(t, plans[true], int64(7))
}

// TestNoOrderRestsOnLayersThatAnEngineLacks plans for two engines of which one says, when it
// is asked before its order, that it holds nothing of what its record tells: it gets no order
// until a plan is worked out without those layers.
func TestNoOrderRestsOnLayersThatAnEngineLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		w.engines["e1"].told = true
		d := w.director(t, "one")
		d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
		d.Registry.Add(record("e1", protocol.Span{From: 5, To: 7})) // nobody has [7,10)
		time.Sleep(time.Second)
		d.Start()
		time.Sleep(5 * time.Second)
		d.Close()
		synctest.Wait()
		w.mutex.Lock()
		defer w.mutex.Unlock()
		require.NotEmpty(t, w.engines["e1"].orders)
		require.Equal(t, 1+len(w.engines["e1"].orders), w.engines["e1"].reports, "the first answer led to another plan")
		require.Equal(t, protocol.Span{From: 5, To: 10}, w.engines["e1"].orders[0].Layers)
	})
}

// TestWhoTakesAnOrderInAnEnginesPlaceIsTold: the answer names another process.
func TestWhoTakesAnOrderInAnEnginesPlaceIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		w.engines["e1"].other = "next"
		d := w.director(t, "one")
		var told []string
		d.OnMisdirected = func(endpoint string, by *director.Misdirected) {
			told = append(told, endpoint+" "+by.Owner)
			d.Registry.OwnerAnswered(endpoint, by.Owner, 0, time.Now())
		}
		d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
		d.Registry.Add(record("e1", protocol.Span{}))
		d.Start()
		time.Sleep(10 * time.Second)
		d.Close()
		synctest.Wait()
		require.Equal(t, []string{"e1 next"}, told, "it is not ordered again")
	})
}

// TestAnEngineThatStartedAgainIsOrderedAtOnce lets an engine start again while its order is
// under way: it is forgotten there, and the next one does not wait for its effect.
func TestAnEngineThatStartedAgainIsOrderedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		w.engines["e1"].loads = time.Hour
		d := w.director(t, "one")
		d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
		d.Registry.Add(record("e1", protocol.Span{}))
		d.Start()
		time.Sleep(4 * time.Second) // the list of engines is whole by then
		require.Equal(t, 1, w.orders())
		w.mutex.Lock()
		w.engines["e1"].orders = nil
		w.mutex.Unlock()
		d.RecordRestart("e1")
		d.Wake()
		time.Sleep(time.Second)
		require.Equal(t, 1, w.orders())
		d.Close()
		synctest.Wait()
	})
}

// TestAnEngineWithoutARecordIsGivenLayersIfItIsOne: it answered at the address of a dead one.
func TestAnEngineWithoutARecordIsGivenLayersIfItIsOne(t *testing.T) {
	for _, c := range []struct {
		kind   string
		layers protocol.Span
		orders int
	}{
		{kind: "t4", orders: 1},
		{kind: "l4"},
		{kind: ""},
		{kind: "t4", layers: protocol.Span{From: 0, To: 5}}, // others may use it by its record
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(2)
			w.engines["e1"].told, w.engines["e1"].kind, w.engines["e1"].layers = true, c.kind, c.layers
			w.engines["e1"].loads = time.Hour
			d := w.director(t, "one")
			d.Registry.Add(record("e0", protocol.Span{From: 0, To: 5}))
			d.Registry.Add(record("e1", protocol.Span{From: 5, To: 10}))
			d.Start()
			time.Sleep(4 * time.Second) // the list of engines is whole by then
			require.Zero(t, w.orders())
			d.Registry.OwnerAnswered("e1", "next", 0, time.Now())
			time.Sleep(time.Second)
			d.Close()
			synctest.Wait()
			w.mutex.Lock()
			defer w.mutex.Unlock()
			require.Len(t, w.engines["e1"].orders, c.orders, c)
			for _, o := range w.engines["e1"].orders {
				require.Equal(t, "next", o.EndpointID)
				require.Equal(t, protocol.Span{From: 5, To: 10}, o.Layers)
			}
		})
	}
}
