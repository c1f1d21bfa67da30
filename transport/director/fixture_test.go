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

// fixture simulates the platform and the engines that directors call.
type fixture struct {
	mutex            sync.Mutex
	object           protocol.Object
	calls            int
	down             bool
	loseWriteAnswers bool // writes take effect but their answers are lost
	engines          map[string]*engine
	registries       []*registry.Registry
	observers        []*director.Director // directors that receive each change of the lease
}

// engine simulates one engine.
type engine struct {
	orders        []protocol.PlacementOrder
	reports       int
	silent        bool
	loadTime      time.Duration // time from accepting an order until the record shows it
	ordersToLose  int           // number of next orders that are lost
	delay         time.Duration // if set, orders get no answer and are applied after it
	reportsLayers bool          // whether reports contain the layers
	layers        protocol.Span
	owner         string // endpoint ID of the process that answers instead
	accelerator   string // as reported
}

func (f *fixture) Get(context.Context, string, string) (protocol.Object, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	switch {
	case f.down:
		return protocol.Object{}, platform.NewUnavailable(errors.New("down"))
	case f.object.Version.IsZero():
		return protocol.Object{}, platform.NewNotFound("k", "n")
	}
	return f.object, nil
}

func (f *fixture) Put(_ context.Context, _, _ string, known protocol.Revision, value []byte) (protocol.Revision, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	switch {
	case f.down:
		return protocol.Revision{}, platform.NewUnavailable(errors.New("down"))
	case known != f.object.Version:
		return protocol.Revision{}, platform.NewConflict(f.object.Version)
	}
	next := protocol.Revision{Era: known.Era, Number: known.Number + 1}
	f.object = protocol.Object{Version: next, Value: value}
	for _, d := range f.observers {
		d.ObserveLease(next, value, time.Now())
	}
	if f.loseWriteAnswers {
		return protocol.Revision{}, platform.NewUncertain(errors.New("lost"))
	}
	return next, nil
}

// setDown sets whether every call fails, and returns the number of calls so far.
func (f *fixture) setDown(down bool) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.down = down
	return f.calls
}

// lease returns the lease as the platform stores it.
func (f *fixture) lease(t *testing.T) lease.Record {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var r lease.Record
	require.NoError(t, json.Unmarshal(f.object.Value, &r))
	return r
}

func (f *fixture) Report(_ context.Context, address string) (protocol.EngineReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := f.engines[address]
	e.reports++
	if e.silent {
		return protocol.EngineReport{}, errors.New("silent")
	}
	return protocol.EngineReport{Orders: len(e.orders), Layers: e.layers, LayersKnown: e.reportsLayers, Accelerator: e.accelerator}, nil
}

func (f *fixture) Place(_ context.Context, o protocol.PlacementOrder) (protocol.OrderAnswer, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := f.engines[o.Address]
	switch {
	case e.owner != "":
		return protocol.OrderRefused, &director.Misdirected{Address: o.Address, Owner: e.owner}
	case e.ordersToLose > 0:
		e.ordersToLose--
		return protocol.OrderUnanswered, errors.New("lost")
	case e.delay > 0:
		time.AfterFunc(e.delay, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			_ = f.apply(e, o)
		})
		return protocol.OrderUnanswered, errors.New("no answer")
	}
	if err := f.apply(e, o); err != nil {
		return protocol.OrderRefused, err
	}
	return protocol.OrderStarted, nil
}

// apply applies an order unless another came first.
func (f *fixture) apply(e *engine, o protocol.PlacementOrder) error {
	if o.PriorOrders != len(e.orders) {
		return errors.New("another order came first")
	}
	e.orders = append(e.orders, o)
	time.AfterFunc(e.loadTime, func() {
		for _, r := range f.registries {
			r.Add(record(o.EndpointID, o.Layers))
		}
	})
	return nil
}

// orders returns the number of orders that the engines accepted.
func (f *fixture) orders() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := 0
	for _, e := range f.engines {
		n += len(e.orders)
	}
	return n
}

// record returns an endpoint's record with the given layers.
func record(id string, layers protocol.Span) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Service: "llm", Address: id, DataCenter: "a", Accelerator: "t4", Layers: layers}
}

// newFixture returns a fixture with empty engines. Each has memory for six layers of a model of
// ten.
func newFixture(engines int) *fixture {
	f := &fixture{engines: map[string]*engine{}}
	for i := range engines {
		f.engines[fmt.Sprint("e", i)] = &engine{}
	}
	return f
}

// director returns a director that knows the fixture's engines.
func (f *fixture) director(t *testing.T, name string) *director.Director {
	facts := &protocol.EngineSpec{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.01, TypicalPrompt: 5, TypicalAnswer: 5,
		Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 700, StepFactor: 1, ReadFactor: 1}},
	}
	table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{{Name: "llm", Engine: facts}}})
	require.NoError(t, err)
	d := &director.Director{
		Self: name, LeaseKind: "k", Routing: &routing.Store{}, Registry: &registry.Registry{Entry: fleet.Entry{Name: name, DataCenter: "a"}},
		Engines: f, Objects: f, EntryCount: func() int { return 3 }, Counters: &metric.Set{},
	}
	d.Routing.Offer(table)
	d.Registry.SetServices(table.Services())
	var list []protocol.Endpoint
	for id := range f.engines {
		list = append(list, record(id, protocol.Span{}))
	}
	d.Registry.Replace(list, time.Now())
	f.registries = append(f.registries, d.Registry)
	return d
}

// runDirectors runs some directors for a time.
func runDirectors(t *testing.T, f *fixture, directors int, limit time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		var all []*director.Director
		for i := range directors {
			all = append(all, f.director(t, fmt.Sprint("d", i)))
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
