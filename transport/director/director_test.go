// SPDX-License-Identifier: Apache-2.0

package director_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/roster"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/director"
	"pinerun.example/pinerun/transport/platform"
)

// world is the platform and the engines that directors meet.
type world struct {
	mutex   sync.Mutex
	object  protocol.Object
	calls   int
	down    bool
	lose    bool // writes take effect and the answer is lost
	engines map[string]*engine
	rosters []*roster.Roster
	hearing []*director.Director // who are told of each change of the lease
}

type engine struct {
	orders  []protocol.PlaceOrder
	reports int
	silent  bool
	loads   time.Duration // how long after an order is taken its effect shows
	loses   int           // that many next orders are lost
	late    time.Duration // orders are not answered and are carried out so much later
	told    bool          // whether it tells its layers
	layers  protocol.Span
	other   string // who answers in its place
	kind    string // accelerator that it reports
}

func (w *world) Get(context.Context, string, string) (protocol.Object, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls++
	switch {
	case w.down:
		return protocol.Object{}, platform.Unreached(errors.New("down"))
	case w.object.Version == 0:
		return protocol.Object{}, platform.Missing("k", "n")
	}
	return w.object, nil
}

func (w *world) Put(_ context.Context, _, _ string, known uint64, value []byte) (uint64, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls++
	switch {
	case w.down:
		return 0, platform.Unreached(errors.New("down"))
	case known != w.object.Version:
		return 0, platform.Raced(w.object.Version)
	}
	w.object = protocol.Object{Version: known + 1, Value: value}
	for _, d := range w.hearing {
		d.Heard(known+1, value, time.Now())
	}
	if w.lose {
		return 0, platform.InDoubt(errors.New("lost"))
	}
	return known + 1, nil
}

// setDown makes every call fail, or ends that, and returns how many there were.
func (w *world) setDown(down bool) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.down = down
	return w.calls
}

// lease returns the lease as the platform holds it.
func (w *world) lease(t *testing.T) lease.Record {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var r lease.Record
	require.NoError(t, json.Unmarshal(w.object.Value, &r))
	return r
}

func (w *world) Report(_ context.Context, address string) (protocol.EngineReport, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	e := w.engines[address]
	e.reports++
	if e.silent {
		return protocol.EngineReport{}, errors.New("silent")
	}
	return protocol.EngineReport{Orders: len(e.orders), Layers: e.layers, LayersKnown: e.told, Accelerator: e.kind}, nil
}

func (w *world) Place(_ context.Context, o protocol.PlaceOrder) (protocol.OrderAnswer, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	e := w.engines[o.Address]
	switch {
	case e.other != "":
		return protocol.OrderRefused, &director.Misdirected{Address: o.Address, Occupant: e.other}
	case e.loses > 0:
		e.loses--
		return protocol.OrderUnanswered, errors.New("lost")
	case e.late > 0:
		time.AfterFunc(e.late, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			_ = w.carryOut(e, o)
		})
		return protocol.OrderUnanswered, errors.New("no answer")
	}
	if err := w.carryOut(e, o); err != nil {
		return protocol.OrderRefused, err
	}
	return protocol.OrderBegun, nil
}

// carryOut does what an order says if no other came first.
func (w *world) carryOut(e *engine, o protocol.PlaceOrder) error {
	if o.Orders != len(e.orders) {
		return errors.New("another order came first")
	}
	e.orders = append(e.orders, o)
	time.AfterFunc(e.loads, func() {
		for _, r := range w.rosters {
			r.Put(record(o.EndpointID, o.Layers))
		}
	})
	return nil
}

func (w *world) orders() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n := 0
	for _, e := range w.engines {
		n += len(e.orders)
	}
	return n
}

func record(id string, layers protocol.Span) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Service: "llm", Address: id, DataCenter: "a", Accelerator: "t4", Layers: layers}
}

// newWorld has that many engines of six layers' memory for a model of ten.
func newWorld(engines int) *world {
	w := &world{engines: map[string]*engine{}}
	for i := range engines {
		w.engines[fmt.Sprint("e", i)] = &engine{}
	}
	return w
}

func (w *world) director(t *testing.T, name string) *director.Director {
	facts := &protocol.EngineFacts{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.01, UsualPrompt: 5, UsualAnswer: 5,
		Accelerators: []protocol.AcceleratorFacts{{Name: "t4", MemoryMB: 700, StepFactor: 1, ReadFactor: 1}},
	}
	table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{{Name: "llm", Engine: facts}}})
	require.NoError(t, err)
	d := &director.Director{
		Self: name, LeaseKind: "k", Routing: &routing.Store{}, Roster: &roster.Roster{Home: fleet.Home{Name: name, DataCenter: "a"}},
		Engines: w, Objects: w, Entries: func() int { return 3 }, Counters: &metric.Set{},
	}
	d.Routing.Offer(table)
	d.Roster.Services(table.Services())
	var list []protocol.Endpoint
	for id := range w.engines {
		list = append(list, record(id, protocol.Span{}))
	}
	d.Roster.Replace(list, time.Now())
	w.rosters = append(w.rosters, d.Roster)
	return d
}

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

// play runs that many directors for a time.
func play(t *testing.T, w *world, directors int, limit time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		var all []*director.Director
		for i := range directors {
			all = append(all, w.director(t, fmt.Sprint("d", i)))
		}
		for _, d := range all {
			d.Start()
		}
		time.Sleep(limit)
		for _, d := range all {
			d.Close()
		}
		synctest.Wait()
	})
}

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
					d.Heard(0, nil, time.Now())
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
			time.Sleep(lease.Length + 3*time.Second)
			require.Greater(t, w.lease(t).Epoch, first.Epoch, "another took it")
			for _, d := range all {
				d.Close()
			}
			synctest.Wait()
		})
	}
	require.Less(t, 2*calls[true], calls[false])
}

// TestAnEmptyEngineThatDoesNotAnswerIsNotCountedOn has a hole that either of two engines
// could fill, the one that comes first by its name being dead.
func TestAnEmptyEngineThatDoesNotAnswerIsNotCountedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3)
		w.engines["e1"].silent = true
		d := w.director(t, "d")
		d.Roster.Replace([]protocol.Endpoint{
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

// TestOrdersOfAnEarlierHolderAreLeftTheirTime has a hole that an engine is being loaded
// for, as the lease tells; the engine's own record shows nothing of it.
func TestOrdersOfAnEarlierHolderAreLeftTheirTime(t *testing.T) {
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(2)
			d := w.director(t, "d")
			d.Roster.Replace([]protocol.Endpoint{
				record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{}),
			}, time.Now())
			value := `{"holder":"","epoch":3,"nonce":7}`
			if told {
				value = `{"holder":"","epoch":3,"nonce":7,"orders":[{"endpoint":"e1","from":4,"to":10,"left_ms":5000}]}`
			}
			w.object = protocol.Object{Version: 6, Value: []byte(value)}
			d.Heard(5, []byte(`{"holder":"other","epoch":3,"nonce":6}`), time.Now())
			d.Start()
			time.Sleep(200 * time.Millisecond)
			d.Heard(6, []byte(value), time.Now())
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
	w.engines["e0"].orders = make([]protocol.PlaceOrder, 3)
	_, err := w.Place(context.Background(), protocol.PlaceOrder{Address: "e0", Orders: 2})
	require.Error(t, err)
	play(t, w, 1, 5*time.Second)
	require.Len(t, w.engines["e0"].orders, 4)
	require.Equal(t, 3, w.engines["e0"].orders[3].Orders, "the director asks the engine before it orders")
}

// TestAnIncompleteListAfterAStartMovesNobody starts an entry right when the platform is
// back: one engine's record has lapsed meanwhile and comes back a second and a half later.
func TestAnIncompleteListAfterAStartMovesNobody(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3)
			d := w.director(t, "d")
			d.Roster.Replace([]protocol.Endpoint{
				record("e0", protocol.Span{To: 6}), record("e1", protocol.Span{To: 6}),
			}, time.Now())
			d.Start()
			time.Sleep(1500 * time.Millisecond)
			if !lost {
				d.Roster.Put(record("e2", protocol.Span{From: 6, To: 10}))
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
				d.Roster.Replace([]protocol.Endpoint{
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
			d.Roster.Put(record("e0", whole))
			d.Roster.Put(record("e1", protocol.Span{From: 5, To: 10}))
			d.Start()
			time.Sleep(50 * time.Millisecond) // changes come between looks
			for i := range 100 {
				time.Sleep(100 * time.Millisecond)
				span := whole
				span.To += i % 2
				d.Roster.Put(record("e2", span))
			}
			d.Close()
			synctest.Wait()
			plans[follows] = d.Counters.Value(string(metric.PlansWorkedOut))
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
		d.Roster.Put(record("e0", protocol.Span{From: 0, To: 5}))
		d.Roster.Put(record("e1", protocol.Span{From: 5, To: 7})) // nobody has [7,10)
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
		d.Misdirected = func(endpoint string, by *director.Misdirected) {
			told = append(told, endpoint+" "+by.Occupant)
			d.Roster.Located(endpoint, by.Occupant, 0, time.Now())
		}
		d.Roster.Put(record("e0", protocol.Span{From: 0, To: 5}))
		d.Roster.Put(record("e1", protocol.Span{}))
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
		d.Roster.Put(record("e0", protocol.Span{From: 0, To: 5}))
		d.Roster.Put(record("e1", protocol.Span{}))
		d.Start()
		time.Sleep(4 * time.Second) // the list of engines is whole by then
		require.Equal(t, 1, w.orders())
		w.mutex.Lock()
		w.engines["e1"].orders = nil
		w.mutex.Unlock()
		d.Restarted("e1")
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
			d.Roster.Put(record("e0", protocol.Span{From: 0, To: 5}))
			d.Roster.Put(record("e1", protocol.Span{From: 5, To: 10}))
			d.Start()
			time.Sleep(4 * time.Second) // the list of engines is whole by then
			require.Zero(t, w.orders())
			d.Roster.Located("e1", "next", 0, time.Now())
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
