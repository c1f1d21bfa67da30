// SPDX-License-Identifier: Apache-2.0

package director

import (
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/placement"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// settleQuiet is how long no engine has joined before the first layers are
	// ordered in an empty fleet, so that a copy is laid out over all of it; engines
	// start within a heartbeat or so of each other. settleMost bounds the wait.
	settleQuiet = 900 * time.Millisecond
	settleMost  = 4 * time.Second
	// listTrust is how long after an entry has its first list of endpoints an engine that
	// is missing may be alive: records lapse while the platform is away, and a live engine
	// is back in the list within two seconds of the platform's return. An entry that has
	// followed the list keeps what it knew (see roster); one that has just started would
	// take every such engine as lost and move the others.
	listTrust = 2500 * time.Millisecond
)

// move is a wanted move with the engine's address.
type move struct {
	placement.Reassignment

	address    string
	unrecorded bool   // the engine has no record yet
	kind       string // accelerator that it has to have then
}

// fits reports whether an engine is as the move counts on. One without a record that holds
// layers already may have one that this entry has not seen, and work for others.
func (m *move) fits(report *protocol.EngineReport) bool {
	return !m.unrecorded || report.LayersKnown && report.Layers.Layers() == 0 && report.Accelerator == m.kind
}

// moves returns the wanted moves of all services whose endpoints are engines, with those
// that only improve a layout or without.
func (d *Director) moves(now time.Time, improving bool) []move {
	table := d.Routing.Current()
	if table == nil || !d.Registry.HasList() {
		return nil
	}
	if d.knownAt.IsZero() {
		d.knownAt = now
	}
	endpoints := d.Registry.Endpoints()
	unrecorded := d.unrecorded(table.Services(), now)
	d.forget(slices.Concat(endpoints, unrecorded), now)
	var moves []move
	services := table.Services()
	for i := range services {
		if services[i].Engine != nil {
			moves = append(moves, d.movesOf(&services[i], endpoints, unrecorded, now, improving)...)
		}
	}
	return moves
}

// unrecorded returns the engines that live but have no record yet, none where several services
// have engines: it is not known whose they are.
func (d *Director) unrecorded(services []protocol.RoutedService, now time.Time) []protocol.Endpoint {
	engines := 0
	for i := range services {
		if services[i].Engine != nil {
			engines++
		}
	}
	if engines != 1 {
		return nil
	}
	return d.Registry.Unrecorded(now)
}

// movesOf returns the wanted moves of one service, but none of engines that rest.
func (d *Director) movesOf(s *protocol.RoutedService, endpoints, unrecorded []protocol.Endpoint, now time.Time, improving bool) []move {
	q := placement.Query{Facts: s.Engine, Urgent: !improving}
	addresses := make(map[string]string)
	kinds := make(map[string]string) // accelerators of the unrecorded
	for _, e := range unrecorded {
		kinds[e.ID] = e.Accelerator
	}
	view := d.Registry.View()
	for _, e := range slices.Concat(endpoints, unrecorded) {
		if e.Service != s.Name {
			continue
		}
		held := d.heldBy(e)
		if held.Layers() == 0 && now.Before(d.restOf(e.ID)) {
			// A layout that counts on it would keep a hole for as long as it is dead: nine
			// engines lost right after they joined held up mending a data center for 1.5 to 3 s
			// (logs of 40 engines over 50 s).
			continue
		}
		addresses[e.ID] = e.Address
		q.Engines = append(q.Engines, engineOf(&e, view.Runner(e.ID), s.Engine, held, now))
	}
	if len(q.Engines) == 0 || d.starting(s.Name, q.Engines, now) || d.incomplete(q.Engines, now) {
		return nil
	}
	var moves []move
	for _, m := range d.plan(s.Name, q) {
		if now.Before(d.restOf(m.Engine())) {
			continue
		}
		kind, unrecorded := kinds[m.Engine()]
		moves = append(moves, move{Reassignment: m, address: addresses[m.Engine()], unrecorded: unrecorded, kind: kind})
	}
	return moves
}

// engineOf describes an endpoint that holds layers, with its runner or nil, to the decision on
// where layers go.
func engineOf(e *protocol.Endpoint, r *fleet.Runner, f *protocol.EngineSpec, held protocol.Span, now time.Time) placement.Engine {
	return placement.Engine{
		ID: e.ID, DataCenter: e.DataCenter, Accelerator: e.Accelerator, Held: held, Serving: e.Layers,
		Leaving: e.Leaving || r != nil && r.Lost(now),
		Slow:    slowForLong(f, r, held, now),
	}
}

// slowForLong reports whether an engine has been slow for as long as another takes to load
// its layers. How much longer it stays slow is not known; the guess is as long again, so that
// a load pays from then on, and a shorter slowness moves nothing.
func slowForLong(f *protocol.EngineSpec, r *fleet.Runner, held protocol.Span, now time.Time) bool {
	if r == nil || !r.IsSlow(now) || f.Layers <= 0 {
		return false
	}
	load := time.Duration(f.LoadMS * float64(held.Layers()) / float64(f.Layers) * float64(time.Millisecond))
	return now.Sub(r.SlowSince(now)) >= load
}

// incomplete reports whether engines that live may be missing from the list. In an empty
// fleet, which is only starting, nothing can go wrong by it.
func (d *Director) incomplete(engines []placement.Engine, now time.Time) bool {
	if d.listTrusted(now) {
		return false
	}
	return slices.ContainsFunc(engines, func(e placement.Engine) bool { return e.Serving.Layers() > 0 })
}

// listTrusted reports whether every live engine is in the list by now.
func (d *Director) listTrusted(now time.Time) bool {
	return !d.knownAt.IsZero() && !now.Before(d.knownAt.Add(listTrust))
}

// start is when the engines of an empty fleet were first seen, and when their
// number last rose.
type start struct {
	first   time.Time
	joined  time.Time
	engines int
}

// starting reports whether the engines of a service hold nothing yet and more of
// them are still coming.
func (d *Director) starting(service string, engines []placement.Engine, now time.Time) bool {
	for _, e := range engines {
		if e.Held.Layers() > 0 {
			delete(d.starts, service)
			return false
		}
	}
	s := d.starts[service]
	if s == nil {
		s = &start{first: now}
		d.starts[service] = s
	}
	if len(engines) > s.engines {
		s.joined = now
		s.engines = len(engines)
	}
	return now.Sub(s.joined) < settleQuiet && now.Sub(s.first) < settleMost
}

// planned is what was asked of placement last for a service, and its answer.
type planned struct {
	query placement.Query
	moves []placement.Reassignment
}

// plan returns the moves that are wanted, without working them out again where nothing has
// changed: the answer depends on the query alone. Each entry asks twice a second, since an
// engine may have been found lost, and with 195 engines of a data center, some of them
// empty, an answer takes 2.3 ms; comparing the queries takes 1.2 us.
func (d *Director) plan(service string, q placement.Query) []placement.Reassignment {
	if last, ok := d.plans[service]; ok && last.query.Equal(&q) {
		return last.moves
	}
	moves := placement.Plan(q)
	d.Counters.Add(metric.PlansComputed, 1)
	if d.plans == nil {
		d.plans = make(map[string]planned)
	}
	d.plans[service] = planned{query: q, moves: moves}
	return moves
}

// restOf returns until when an engine gets no order.
func (d *Director) restOf(id string) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.resting[id].till
}

// heldBy returns what an engine holds, or what it was lately ordered to hold.
func (d *Director) heldBy(e protocol.Endpoint) protocol.Span {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if o, ok := d.ordered[e.ID]; ok {
		return o.span
	}
	return e.Layers
}

// forget drops orders whose effect was seen, that took too long, or whose engine
// is gone.
func (d *Director) forget(endpoints []protocol.Endpoint, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.ordered) == 0 {
		return
	}
	there := make(map[string]protocol.Span, len(endpoints))
	for _, e := range endpoints {
		there[e.ID] = e.Layers
	}
	for id, o := range d.ordered {
		span, known := there[id]
		if !known || span == o.span || now.After(o.till) {
			delete(d.ordered, id)
		}
	}
}
