// SPDX-License-Identifier: Apache-2.0

package director_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/director"
)

func TestOneOfManyGivesEachEngineOneOrder(t *testing.T) {
	w := newWorld(4)
	play(t, w, 5, 10*time.Second)
	for id, e := range w.engines {
		require.Len(t, e.orders, 1, id)
		require.Equal(t, w.engines["e0"].orders[0].Epoch, e.orders[0].Epoch, "all under one lease")
	}
	require.Less(t, w.calls, 30, "a fleet with nothing to do costs the platform nothing")
}

func TestALostAnswerToTheLeasesWriteIsSettledByReading(t *testing.T) {
	w := newWorld(2)
	w.lose = true
	play(t, w, 1, 10*time.Second)
	require.Equal(t, 2, w.orders())
}

// TestALeaseOfAnotherFormHoldsNobodyUpForGood has other writers leave something where the
// lease is kept.
func TestALeaseOfAnotherFormHoldsNobodyUpForGood(t *testing.T) {
	for _, foreign := range []string{`"mine"`, `{}`, `{"holder":7}`, `{"holder":"x","epoch":-1}`, "\xff", `{"holder":"x","epoch":1,"orders":"none"}`} {
		w := newWorld(2)
		w.object = protocol.Object{Version: 7, Value: []byte(foreign)}
		play(t, w, 2, 12*time.Second)
		require.Equal(t, 2, w.orders(), foreign)
		for _, e := range w.engines {
			require.Greater(t, e.orders[0].Epoch, uint64(6), foreign)
		}
	}
}

func TestNobodyGivesOrdersWhileThePlatformIsDown(t *testing.T) {
	w := newWorld(2)
	w.down = true
	play(t, w, 3, 10*time.Second)
	require.Zero(t, w.orders())
	require.NotZero(t, w.calls)
}

// TestAnOutageMeetsFewCallsForTheLease has work that never ends, an engine that does not
// answer, while the platform goes down: its holder, and who would like to be.
func TestAnOutageMeetsFewCallsForTheLease(t *testing.T) {
	for _, confirming := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(4)
			w.engines["e1"].silent = true
			var all []*director.Director
			for i := range 3 {
				d := w.director(t, fmt.Sprint("d", i))
				if confirming {
					d.Routing.Confirm(time.Now().Add(2 * time.Second))
				}
				d.Start()
				all = append(all, d)
			}
			time.Sleep(2 * time.Second)
			before := w.setDown(true)
			time.Sleep(10 * time.Second)
			during := w.setDown(false) - before
			if confirming {
				require.LessOrEqual(t, during, 15, "entries that can't confirm anything stop asking")
			} else {
				require.LessOrEqual(t, during, 3*12, "each asks ever less often")
			}
			require.NotZero(t, during)
			for _, d := range all {
				if confirming {
					d.Routing.Confirm(time.Now())
				}
			}
			before = w.setDown(false)
			time.Sleep(3 * time.Second)
			require.Greater(t, w.setDown(false), before, "and does again when the platform is back")
			for _, d := range all {
				d.Close()
			}
			synctest.Wait()
		})
	}
}

// TestWhoHearsOfTheLeaseDoesNotAskForIt has ten entries see work that never ends: those
// who are told of the lease make less than half as many calls as those who are not, and
// when a holder is gone another takes the lease.
func TestWhoHearsOfTheLeaseDoesNotAskForIt(t *testing.T) {
	calls := map[bool]int{}
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(4)
			w.engines["e1"].silent = true
			var all []*director.Director
			for i := range 10 {
				d := w.director(t, fmt.Sprint("d", i))
				if told {
					d.ObserveLease(0, nil, time.Now())
					w.hearing = append(w.hearing, d)
				}
				all = append(all, d)
			}
			for _, d := range all {
				d.Start()
			}
			time.Sleep(20 * time.Second)
			calls[told] = w.setDown(false)
			first := w.lease(t)
			for _, d := range all {
				if d.Self == first.Holder {
					d.Close()
				}
			}
			time.Sleep(lease.TTL + 3*time.Second)
			require.Greater(t, w.lease(t).Epoch, first.Epoch, "another took it")
			for _, d := range all {
				d.Close()
			}
			synctest.Wait()
		})
	}
	require.Less(t, 2*calls[true], calls[false])
}

// TestOrdersOfAnEarlierHolderAreLeftTheirTime has a hole that an engine is being loaded
// for, as the lease tells; the engine's own record shows nothing of it.
func TestOrdersOfAnEarlierHolderAreLeftTheirTime(t *testing.T) {
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(2)
			d := w.director(t, "d")
			d.Registry.Replace([]protocol.Endpoint{
				record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{}),
			}, time.Now())
			value := `{"holder":"","epoch":3,"nonce":7}`
			if told {
				value = `{"holder":"","epoch":3,"nonce":7,"orders":[{"endpoint":"e1","from":4,"to":10,"left_ms":5000}]}`
			}
			w.object = protocol.Object{Version: 6, Value: []byte(value)}
			d.ObserveLease(5, []byte(`{"holder":"other","epoch":3,"nonce":6}`), time.Now())
			d.Start()
			time.Sleep(200 * time.Millisecond)
			d.ObserveLease(6, []byte(value), time.Now())
			time.Sleep(4500 * time.Millisecond)
			require.Equal(t, told, w.orders() == 0)
			time.Sleep(4 * time.Second)
			require.NotZero(t, w.orders(), "it did not come")
			d.Close()
			synctest.Wait()
		})
	}
}

// TestTheLeaseTellsWhatWasOrdered gives orders to engines that take seconds to load.
func TestTheLeaseTellsWhatWasOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		for _, e := range w.engines {
			e.loads = 4 * time.Second
		}
		d := w.director(t, "d")
		d.Start()
		time.Sleep(2500 * time.Millisecond)
		w.mutex.Lock()
		value := string(w.object.Value)
		w.mutex.Unlock()
		require.Contains(t, value, `"holder":""`, "it was given up for others")
		require.Contains(t, value, `"endpoint":"e0"`)
		require.Contains(t, value, `"endpoint":"e1"`)
		d.Close()
		synctest.Wait()
	})
}

// TestWhatIsOrderedIsToldUntilItsEffectIsSeen has an order carried out late.
func TestWhatIsOrderedIsToldUntilItsEffectIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		w.engines["e0"].late = 4 * time.Second
		d := w.director(t, "d0")
		d.Start()
		time.Sleep(3 * time.Second)
		span, ok := d.OrderedLayers("e0", time.Now())
		require.True(t, ok)
		require.Equal(t, w.engines["e1"].orders[0].Layers, protocol.Span{From: 10 - span.To, To: 10 - span.From}, "each holds a half")
		time.Sleep(20 * time.Second)
		_, ok = d.OrderedLayers("e0", time.Now())
		require.False(t, ok)
		d.Close()
		synctest.Wait()
	})
}
