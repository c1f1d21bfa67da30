// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/addrowner"
)

// maxReportAge is how long after a change of a record the engine's reports do not overrule it:
// a report may be several hundred milliseconds old.
const maxReportAge = 500 * time.Millisecond

// UpdateResult is the effect that a record had on the Registry.
type UpdateResult uint8

// The effects of a record.
const (
	// Changed means that the endpoint was already known.
	Changed UpdateResult = iota
	// Joined means that the endpoint was unknown.
	Joined
	// Restarted means that the endpoint has restarted and lost everything it held before.
	Restarted
	// Stale means that the record is of an earlier incarnation, or may be older than what is known since
	// the platform was restored. It changes nothing.
	Stale
	// StaleLeaving means the same, but the record says that its endpoint leaves, which is believed.
	StaleLeaving
)

// engineState is what is known of an endpoint beyond its record.
type engineState struct {
	restarts int
	denied   bool          // the engine does not hold the layers of its record, but those in held
	held     protocol.Span // empty unless denied
	deniedAt time.Time     // when the layers were first denied
	orders   int           // layer orders that the engine has accepted, by its latest report
}

// putLocked applies one record. The caller holds the mutex.
func (r *Registry) putLocked(e protocol.Endpoint, now time.Time) UpdateResult {
	if e.Incarnation.Before(r.owners.Incarnation(e.ID)) {
		r.addLateRecord(e, now)
		return r.believeLeaving(e) // an earlier incarnation wrote it, and the write took effect late
	}
	if r.holdBack(e, now) {
		return r.believeLeaving(e)
	}
	delete(r.lateRecords, e.ID)
	if r.endpoints == nil {
		r.endpoints = make(map[string]protocol.Endpoint)
	}
	old, known := r.endpoints[e.ID]
	r.endpoints[e.ID] = e
	delete(r.vanished, e.ID)
	delete(r.unrecorded, e.ID)
	r.recordClaim(&e, e.Layers, now)
	switch {
	case !known:
		r.markRecordChanged(e.ID, now)
		return Joined
	case hasRestarted(&old, &e):
		r.resetState(e.ID, now)
		return Restarted
	}
	if old.Layers != e.Layers {
		r.trustRecord(e.ID)
		r.markRecordChanged(e.ID, now)
	}
	return Changed
}

// recordClaim records the claim of an endpoint, which holds the given span, to its address.
func (r *Registry) recordClaim(e *protocol.Endpoint, held protocol.Span, now time.Time) {
	r.owners.Record(addrowner.Claim{
		Endpoint: e.ID, Address: e.Address, Incarnation: e.Incarnation, HoldsLayers: held.Layers() > 0,
	}, now)
}

// hasRestarted reports whether the later of two records is of a later incarnation. If either
// record lacks its incarnation, a lower heartbeat count shows the restart, as each process
// counts its heartbeats from zero. A count that falls with a restore of the platform is the copy's.
func hasRestarted(before, after *protocol.Endpoint) bool {
	if before.Incarnation.Known() && after.Incarnation.Known() {
		return before.Incarnation.Before(after.Incarnation)
	}
	return before.Era == after.Era && after.Heartbeats < before.Heartbeats
}

// resetState drops everything that is known about an endpoint's earlier incarnation,
// including its measurements.
func (r *Registry) resetState(id string, now time.Time) {
	r.setState(id, engineState{restarts: r.engineStates[id].restarts + 1})
	r.markRecordChanged(id, now)
}

// trustRecord makes the layers of an endpoint's record count again.
func (r *Registry) trustRecord(id string) {
	if state, ok := r.engineStates[id]; ok {
		r.setState(id, engineState{restarts: state.restarts, orders: state.orders})
	}
}

// setState replaces the state of an endpoint.
func (r *Registry) setState(id string, state engineState) {
	if r.engineStates == nil {
		r.engineStates = make(map[string]engineState)
	}
	r.engineStates[id] = state
}

// markRecordChanged notes when a record last had new content: older reports do not overrule it.
func (r *Registry) markRecordChanged(id string, now time.Time) {
	if r.recordChangedAt == nil {
		r.recordChangedAt = make(map[string]time.Time)
	}
	r.recordChangedAt[id] = now
}

// forget drops the state of an endpoint whose record is gone.
func (r *Registry) forget(id string, now time.Time) {
	r.owners.RecordRemoved(id, now)
	delete(r.engineStates, id)
	delete(r.recordChangedAt, id)
	delete(r.unusedRecords, id)
}

// withHeldLayers returns an endpoint with the layers that its engine is known to hold.
func (r *Registry) withHeldLayers(e protocol.Endpoint) protocol.Endpoint {
	if state := r.engineStates[e.ID]; state.denied {
		e.Layers = state.held
	}
	return e
}

// Incarnation returns the latest known incarnation of an endpoint.
func (r *Registry) Incarnation(id string) protocol.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.owners.Incarnation(id)
}

// LayersDenied handles an engine's statement that it does not hold the layers of its record,
// and reports whether that changes anything. The statement is ignored if it is older than the
// latest change of the record or comes from an earlier incarnation.
func (r *Registry) LayersDenied(id string, incarnation protocol.Incarnation, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.endpoints[id]
	if !ok || e.Layers.Layers() == 0 || at.Before(r.recordChangedAt[id]) || incarnation.Before(e.Incarnation) {
		return false
	}
	return r.denyRecord(id, protocol.Span{}, at)
}

// denyRecord notes that an engine holds the given span, whatever its record says.
func (r *Registry) denyRecord(id string, held protocol.Span, now time.Time) bool {
	state := r.engineStates[id]
	if state.denied && state.held == held {
		return false
	}
	if !state.denied {
		state.deniedAt = now
	}
	state.denied, state.held = true, held
	r.setState(id, state)
	r.markChanged()
	return true
}

// LayersConfirmed handles an answer by which an engine holds the layers of its record after
// all, and reports whether that changes anything. Answers to probes sent before the layers
// were denied are ignored.
func (r *Registry) LayersConfirmed(id string, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.engineStates[id]; !state.denied || at.Before(state.deniedAt) {
		return false
	}
	r.trustRecord(id)
	r.markChanged()
	return true
}

// ReportResult is how an engine's own report compares with its record.
type ReportResult uint8

// The results of comparing a report with a record.
const (
	// ReportMatches means that the report names the layers of the record.
	ReportMatches ReportResult = iota
	// ReportDiffers means that the report names layers other than those known, or is of a later
	// incarnation.
	ReportDiffers
	// ReportIgnored means that the report changes nothing: it names no layers, or only layers
	// already known, it is of an earlier incarnation, or the record may be newer.
	ReportIgnored
)

// Report applies an engine's own report.
func (r *Registry) Report(id string, report *protocol.EngineReport, now time.Time) ReportResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.endpoints[id]
	if !ok || report.Incarnation.Before(e.Incarnation) {
		return ReportIgnored
	}
	state := r.engineStates[id]
	sameIncarnation := e.Incarnation.Known() && e.Incarnation == report.Incarnation
	switch {
	case report.Orders < state.orders && sameIncarnation:
		return ReportIgnored // two reports were requested concurrently, and this is the older one
	case report.Orders < state.orders, e.Incarnation.Before(report.Incarnation):
		return r.handleRestart(e, report, now)
	case report.Orders > state.orders:
		state.orders = report.Orders
		r.setState(id, state)
	}
	switch {
	case !report.LayersKnown:
		return ReportIgnored
	case report.Layers == e.Layers:
		if state.denied {
			r.trustRecord(id)
			r.markChanged()
		}
		return ReportMatches
	case state.denied && state.held == report.Layers, now.Before(r.recordChangedAt[id].Add(maxReportAge)):
		return ReportIgnored
	default:
		r.denyRecord(id, report.Layers, now)
		return ReportDiffers
	}
}

// handleRestart notes that an engine has restarted since it wrote its record.
func (r *Registry) handleRestart(e protocol.Endpoint, report *protocol.EngineReport, now time.Time) ReportResult {
	if report.Incarnation.Known() {
		e.Incarnation = report.Incarnation
	}
	r.endpoints[e.ID] = e
	r.owners.NextBatch()
	r.recordClaim(&e, report.Layers, now)
	r.resetState(e.ID, now)
	if report.LayersKnown {
		r.denyRecord(e.ID, report.Layers, now)
	}
	r.restarted = append(r.restarted, r.withHeldLayers(e))
	r.markChanged()
	return ReportDiffers
}

// TakeRestarted returns the endpoints whose restart was first seen in a report or in a list
// since the last call.
func (r *Registry) TakeRestarted() []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	endpoints := r.restarted
	r.restarted = nil
	return endpoints
}
