// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// endpoint is a stand-in with the proxy before it.
type endpoint struct {
	*platformtest.Endpoint
	link    *proxy
	service string
	center  string
	engine  bool
	born    int64 // Unix milliseconds of its start, 0 where it does not tell

	mutex   sync.Mutex
	span    [2]int
	leaving time.Time // when the store took that it leaves, zero before
	gone    bool
}

// addEndpoint starts an endpoint and records it.
func (w *world) addEndpoint(engine bool, center string) {
	w.begin(&endpoint{center: center, engine: engine}, w.nextID())
}

// nextID returns the ID of an endpoint that is new.
func (w *world) nextID() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.made++
	return fmt.Sprint("p-", w.made)
}

// startAgain starts the process of an endpoint that has crashed anew, at its address and
// with nothing in its memory, under an ID.
func (w *world) startAgain(old *endpoint, id string) {
	w.begin(&endpoint{center: old.center, engine: old.engine, link: old.link, born: time.Now().UnixMilli()}, id)
}

// begin starts the process of an endpoint and records it.
func (w *world) begin(e *endpoint, id string) {
	e.service = "plain"
	if e.engine {
		e.service = "llm"
		e.Endpoint = platformtest.NewEngine(w.t, id)
	} else {
		e.Endpoint = platformtest.NewService(w.t, id)
	}
	e.SetResponseSizeFor(longEnding, longEvents, longFilling)
	if e.link == nil {
		e.link = newProxy(w.t, e.Address())
	} else {
		e.link.aim(e.Address())
	}
	if e.engine {
		w.endUnder(e)
	}
	e.OnLayersChange(func(from, to int) { w.hold(e, from, to) })
	w.record(e, "ready")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.endpoints = append(w.endpoints, e)
}

// hold takes an order: the engine holds other layers from now on.
func (w *world) hold(e *endpoint, from, to int) {
	if mb := (to - from) * platformtest.TableLayerMB; mb > platformtest.TableEngineMB || from < 0 || to > platformtest.TableLayers {
		w.problem("%s was ordered to hold %d-%d, %d MB", e.ID, from, to, mb)
	}
	e.mutex.Lock()
	e.span = [2]int{from, to}
	e.mutex.Unlock()
	w.rewrite(e)
}

// rewrite writes an endpoint's record as it stands. One that is gone has none, whoever
// wrote it.
func (w *world) rewrite(e *endpoint) {
	e.mutex.Lock()
	state := "ready"
	if !e.leaving.IsZero() {
		state = "draining"
	}
	gone := e.gone
	e.mutex.Unlock()
	if gone {
		w.store.Delete("servers", e.ID)
		return
	}
	w.record(e, state)
}

// record writes what an endpoint says of itself.
func (w *world) record(e *endpoint, state string) {
	e.mutex.Lock()
	span := e.span
	e.mutex.Unlock()
	record := map[string]any{
		"service": e.service, "address": e.link.address(), "zone": e.center, "slots": 8, "state": state, "route_type": "t4",
		"layers": map[string]int{"from": span[0], "target_version": span[1]},
	}
	if e.born > 0 {
		record["born"] = e.born
	}
	w.store.Put("servers", e.ID, record)
}

// leave makes an endpoint say that it is leaving.
func (w *world) leave(e *endpoint) {
	w.record(e, "draining")
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = time.Now()
}

// remove ends an endpoint.
func (w *world) remove(e *endpoint) {
	e.mutex.Lock()
	e.gone = true
	e.mutex.Unlock()
	w.store.Delete("servers", e.ID)
	e.Stop()
	e.link.reset()
}

// live returns the endpoints of a service that neither leave nor are gone.
func (w *world) live(engine bool) []*endpoint {
	var list []*endpoint
	for _, e := range w.all() {
		e.mutex.Lock()
		if e.engine == engine && e.leaving.IsZero() && !e.gone {
			list = append(list, e)
		}
		e.mutex.Unlock()
	}
	return list
}

func (w *world) all() []*endpoint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.endpoints)
}
