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
	"pinerun.example/pinerun/state/registry"
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
	rosters []*registry.Registry
	hearing []*director.Director // who are told of each change of the lease
}

type engine struct {
	orders  []protocol.PlacementOrder
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
		return protocol.Object{}, platform.NewUnavailable(errors.New("down"))
	case w.object.Version == 0:
		return protocol.Object{}, platform.NewNotFound("k", "n")
	}
	return w.object, nil
}

func (w *world) Put(_ context.Context, _, _ string, known uint64, value []byte) (uint64, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls++
	switch {
	case w.down:
		return 0, platform.NewUnavailable(errors.New("down"))
	case known != w.object.Version:
		return 0, platform.NewConflict(w.object.Version)
	}
	w.object = protocol.Object{Version: known + 1, Value: value}
	for _, d := range w.hearing {
		d.ObserveLease(known+1, value, time.Now())
	}
	if w.lose {
		return 0, platform.NewUncertain(errors.New("lost"))
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

func (w *world) Place(_ context.Context, o protocol.PlacementOrder) (protocol.OrderAnswer, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	e := w.engines[o.Address]
	switch {
	case e.other != "":
		return protocol.OrderRefused, &director.Misdirected{Address: o.Address, Owner: e.other}
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
	return protocol.OrderStarted, nil
}

// carryOut does what an order says if no other came first.
func (w *world) carryOut(e *engine, o protocol.PlacementOrder) error {
	if o.PriorOrders != len(e.orders) {
		return errors.New("another order came first")
	}
	e.orders = append(e.orders, o)
	time.AfterFunc(e.loads, func() {
		for _, r := range w.rosters {
			r.Add(record(o.EndpointID, o.Layers))
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
	facts := &protocol.EngineSpec{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.01, TypicalPrompt: 5, TypicalAnswer: 5,
		Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 700, StepFactor: 1, ReadFactor: 1}},
	}
	table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{{Name: "llm", Engine: facts}}})
	require.NoError(t, err)
	d := &director.Director{
		Self: name, LeaseKind: "k", Routing: &routing.Store{}, Registry: &registry.Registry{Entry: fleet.Entry{Name: name, DataCenter: "a"}},
		Engines: w, Objects: w, EntryCount: func() int { return 3 }, Counters: &metric.Set{},
	}
	d.Routing.Offer(table)
	d.Registry.SetServices(table.Services())
	var list []protocol.Endpoint
	for id := range w.engines {
		list = append(list, record(id, protocol.Span{}))
	}
	d.Registry.Replace(list, time.Now())
	w.rosters = append(w.rosters, d.Registry)
	return d
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
