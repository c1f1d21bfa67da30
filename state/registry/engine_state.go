// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/addrowner"
)

// recordFresh is how long after a record has changed an engine's report says nothing against
// it: reports are some hundred ms old.
const recordFresh = 500 * time.Millisecond

// UpdateResult is what a record told.
type UpdateResult uint8

// What a record may tell.
const (
	// Changed is a change of an endpoint that is known.
	Changed UpdateResult = iota
	// Joined is an endpoint that was unknown.
	Joined
	// Restarted is an endpoint that has started again and holds nothing of before.
	Restarted
	// Stale is a record of a life that is over, which changes nothing.
	Stale
)

// belief is what is believed of an endpoint against its record.
type belief struct {
	restarts int
	denied   bool          // the engine does not hold the layers of its record, but held
	held     protocol.Span // empty unless denied
	since    time.Time     // when it was first denied
	orders   int           // taken by the engine, by its latest report
}

// put takes one record. The mutex is held.
func (r *Registry) put(e protocol.Endpoint, now time.Time) UpdateResult {
	if e.Incarnation.Before(r.occupants.Incarnation(e.ID)) {
		r.noteLate(e, now)
		return Stale // written by an earlier life, and done late
	}
	delete(r.late, e.ID)
	if r.endpoints == nil {
		r.endpoints = make(map[string]protocol.Endpoint)
	}
	old, there := r.endpoints[e.ID]
	r.endpoints[e.ID] = e
	delete(r.vanished, e.ID)
	delete(r.unrecorded, e.ID)
	r.claim(&e, e.Layers, now)
	switch {
	case !there:
		r.noteChange(e.ID, now)
		return Joined
	case restarted(&old, &e):
		r.restart(e.ID, now)
		return Restarted
	}
	if old.Layers != e.Layers {
		r.trust(e.ID)
		r.noteChange(e.ID, now)
	}
	return Changed
}

// claim enters an endpoint, which holds a span, as one that claims its address.
func (r *Registry) claim(e *protocol.Endpoint, held protocol.Span, now time.Time) {
	r.occupants.Record(addrowner.Claim{
		Endpoint: e.ID, Address: e.Address, Incarnation: e.Incarnation, HoldsLayers: held.Layers() > 0,
	}, now)
}

// restarted reports whether the later of two records is of a later life. Where it is not
// told, records are counted from none again.
func restarted(before, after *protocol.Endpoint) bool {
	if before.Incarnation.Known() && after.Incarnation.Known() {
		return before.Incarnation.Before(after.Incarnation)
	}
	return after.Heartbeats < before.Heartbeats
}

// restart forgets what is believed and measured of an endpoint's earlier life.
func (r *Registry) restart(id string, now time.Time) {
	r.believe(id, belief{restarts: r.beliefs[id].restarts + 1})
	r.noteChange(id, now)
}

// trust believes the record of an endpoint again.
func (r *Registry) trust(id string) {
	if b, there := r.beliefs[id]; there {
		r.believe(id, belief{restarts: b.restarts, orders: b.orders})
	}
}

// believe replaces what is believed of an endpoint.
func (r *Registry) believe(id string, b belief) {
	if r.beliefs == nil {
		r.beliefs = make(map[string]belief)
	}
	r.beliefs[id] = b
}

// noteChange notes when a record told something new: older reports say nothing against it.
func (r *Registry) noteChange(id string, now time.Time) {
	if r.changedAt == nil {
		r.changedAt = make(map[string]time.Time)
	}
	r.changedAt[id] = now
}

// forget forgets what is believed of an endpoint whose record is gone.
func (r *Registry) forget(id string, now time.Time) {
	r.occupants.RecordRemoved(id, now)
	delete(r.beliefs, id)
	delete(r.changedAt, id)
	delete(r.unused, id)
}

// believed returns an endpoint with the layers that it is believed to hold.
func (r *Registry) believed(e protocol.Endpoint) protocol.Endpoint {
	if b := r.beliefs[e.ID]; b.denied {
		e.Layers = b.held
	}
	return e
}

// Incarnation returns the latest life of an endpoint that is known.
func (r *Registry) Incarnation(id string) protocol.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.occupants.Incarnation(id)
}

// LayersDenied notes that an engine said that it does not hold the layers of its record, and
// reports whether that was news. A record that has changed since stands.
func (r *Registry) LayersDenied(id string, life protocol.Incarnation, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, there := r.endpoints[id]
	if !there || e.Layers.Layers() == 0 || at.Before(r.changedAt[id]) || life.Before(e.Incarnation) {
		return false
	}
	return r.deny(id, protocol.Span{}, at)
}

// deny believes that an engine holds a span, whatever its record says.
func (r *Registry) deny(id string, held protocol.Span, now time.Time) bool {
	b := r.beliefs[id]
	if b.denied && b.held == held {
		return false
	}
	if !b.denied {
		b.since = now
	}
	b.denied, b.held = true, held
	r.believe(id, b)
	r.changed()
	return true
}

// LayersConfirmed notes that an engine held what its record says after all when it was asked, and
// reports whether that was news.
func (r *Registry) LayersConfirmed(id string, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if b := r.beliefs[id]; !b.denied || at.Before(b.since) {
		return false
	}
	r.trust(id)
	r.changed()
	return true
}

// ReportResult is what an engine's own report says of its record.
type ReportResult uint8

// What a report may say of a record.
const (
	// ReportMatches is a report of the layers that the record names.
	ReportMatches ReportResult = iota
	// ReportDiffers is a report of other layers than were believed, or of another life.
	ReportDiffers
	// ReportIgnored is a report that changes nothing: it tells no layers, or those believed
	// already, is of an earlier life, or the record may be newer.
	ReportIgnored
)

// Report takes an engine's own report.
func (r *Registry) Report(id string, p *protocol.EngineReport, now time.Time) ReportResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, there := r.endpoints[id]
	if !there || p.Incarnation.Before(e.Incarnation) {
		return ReportIgnored
	}
	b := r.beliefs[id]
	sameLife := e.Incarnation.Known() && e.Incarnation == p.Incarnation
	switch {
	case p.Orders < b.orders && sameLife:
		return ReportIgnored // two were asked for at a time, and this one came last
	case p.Orders < b.orders, e.Incarnation.Before(p.Incarnation):
		return r.startedAgain(e, p, now)
	case p.Orders > b.orders:
		b.orders = p.Orders
		r.believe(id, b)
	}
	switch {
	case !p.LayersKnown:
		return ReportIgnored
	case p.Layers == e.Layers:
		if b.denied {
			r.trust(id)
			r.changed()
		}
		return ReportMatches
	case b.denied && b.held == p.Layers, now.Before(r.changedAt[id].Add(recordFresh)):
		return ReportIgnored
	default:
		r.deny(id, p.Layers, now)
		return ReportDiffers
	}
}

// startedAgain notes that an engine has started again since it wrote its record.
func (r *Registry) startedAgain(e protocol.Endpoint, p *protocol.EngineReport, now time.Time) ReportResult {
	if p.Incarnation.Known() {
		e.Incarnation = p.Incarnation
	}
	r.endpoints[e.ID] = e
	r.occupants.NextBatch()
	r.claim(&e, p.Layers, now)
	r.restart(e.ID, now)
	if p.LayersKnown {
		r.deny(e.ID, p.Layers, now)
	}
	r.anew = append(r.anew, r.believed(e))
	r.changed()
	return ReportDiffers
}

// TakeRestarted returns the endpoints of which a report or a list showed since the last call that
// they have started again.
func (r *Registry) TakeRestarted() []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := r.anew
	r.anew = nil
	return all
}
