// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// endpoint is a stand-in endpoint behind a proxy.
type endpoint struct {
	*platformtest.Endpoint
	link       *proxy
	service    string
	dataCenter string
	engine     bool

	mutex       sync.Mutex
	incarnation int64 // start time in Unix milliseconds, 0 if the record does not contain it
	layers      [2]int
	leaving     time.Time // when the store accepted that it is leaving, zero before
	removed     bool
}

// addEndpoint starts a new endpoint and writes its record.
func (tb *testbed) addEndpoint(engine bool, dataCenter string) {
	tb.startEndpoint(&endpoint{dataCenter: dataCenter, engine: engine}, tb.nextID())
}

// nextID returns the ID for a new endpoint.
func (tb *testbed) nextID() string {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.endpointCount++
	return fmt.Sprint("p-", tb.endpointCount)
}

// restart starts a new process for an endpoint that has crashed, at the same address, without
// its previous state and under the given ID.
func (tb *testbed) restart(old *endpoint, id string) {
	tb.startEndpoint(&endpoint{dataCenter: old.dataCenter, engine: old.engine, link: old.link, incarnation: time.Now().UnixMilli()}, id)
}

// startEndpoint starts the process of an endpoint and writes its record.
func (tb *testbed) startEndpoint(e *endpoint, id string) {
	e.service = cmp.Or(e.service, "plain")
	if e.engine {
		e.service = "llm"
		e.Endpoint = platformtest.NewEngine(tb.t, id)
	} else {
		e.Endpoint = platformtest.NewService(tb.t, id)
	}
	e.SetResponseSizeFor(longSuffix, longEvents, longPadding)
	e.VaryEvents()
	if e.link == nil {
		e.link = newProxy(tb.t, e.Address())
		e.link.setEntryBehind(tb.entryBehind)
	} else {
		e.link.setTarget(e.Address())
	}
	if e.engine {
		tb.crashOnWork(e)
	}
	e.OnLayersChange(func(from, to int) { tb.setLayers(e, from, to) })
	tb.writeRecord(e, "ready")
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.endpoints = append(tb.endpoints, e)
}

// setLayers carries out an order to load other layers. It reports a problem if they don't fit.
func (tb *testbed) setLayers(e *endpoint, from, to int) {
	if mb := (to - from) * platformtest.TableLayerMB; mb > platformtest.TableEngineMB || from < 0 || to > platformtest.TableLayers {
		tb.reportProblem("%s was ordered to load layers %d-%d, %d MB", e.ID, from, to, mb)
	}
	e.mutex.Lock()
	e.layers = [2]int{from, to}
	e.mutex.Unlock()
	tb.updateRecord(e)
}

// updateRecord writes the current record of an endpoint, or deletes the record, even if another
// program wrote it, if the endpoint is removed.
func (tb *testbed) updateRecord(e *endpoint) {
	e.mutex.Lock()
	state := "ready"
	if !e.leaving.IsZero() {
		state = "draining"
	}
	removed := e.removed
	e.mutex.Unlock()
	if removed {
		tb.store.Delete("servers", e.ID)
		return
	}
	tb.writeRecord(e, state)
}

// writeRecord writes the record that an endpoint publishes about itself.
func (tb *testbed) writeRecord(e *endpoint, state string) {
	e.mutex.Lock()
	layers, incarnation := e.layers, e.incarnation
	e.mutex.Unlock()
	record := map[string]any{
		"service": e.service, "address": e.link.address(), "zone": e.dataCenter, "slots": 8, "state": state, "route_type": "t4",
		"layers": map[string]int{"from": layers[0], "target_version": layers[1]},
	}
	if incarnation > 0 {
		record["born"] = incarnation
	}
	tb.store.Put("servers", e.ID, record)
}

// markLeaving writes to the record of an endpoint that it is leaving.
func (tb *testbed) markLeaving(e *endpoint) {
	tb.writeRecord(e, "draining")
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = time.Now()
}

// remove deletes the record of an endpoint and stops it.
func (tb *testbed) remove(e *endpoint) {
	e.mutex.Lock()
	e.removed = true
	e.mutex.Unlock()
	tb.store.Delete("servers", e.ID)
	e.Stop()
	e.link.reset()
}

// live returns the engines or the plain endpoints that are neither leaving nor removed.
func (tb *testbed) live(engine bool) []*endpoint {
	var list []*endpoint
	for _, e := range tb.allEndpoints() {
		e.mutex.Lock()
		if e.engine == engine && e.leaving.IsZero() && !e.removed {
			list = append(list, e)
		}
		e.mutex.Unlock()
	}
	return list
}

func (tb *testbed) allEndpoints() []*endpoint {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	return slices.Clone(tb.endpoints)
}
