// SPDX-License-Identifier: Apache-2.0

// Package roster is what an entry believes of the live endpoints of all
// services, as each recorded itself in the platform.
//
// A Roster takes whole lists and single changes, and derives from them a
// fleet.View in which paths are chosen. An engine stands in the model of its
// service and data center; an endpoint of a plain service is a runner of a model
// with one layer:
//
//	r.Services(table.Services())
//	gone := r.Replace(endpoints, now)
//	m := r.View().Model(roster.ModelName("fares-llm", "jhb-a"))
package registry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/addrowner"
	"pinerun.example/pinerun/state/fleet"
)

// settle is how long endpoints that vanish right after an outage of the platform
// are still believed in. Their records lapse while they can't renew them, and a
// live endpoint is back in the list within two seconds of the platform's return;
// the rest is for the way of the news.
const settle = 1500 * time.Millisecond

// everywhere is the data center in the name of a model whose runners may be
// chosen from every data center.
const everywhere = ""

// ModelName returns the name under which the view holds the runners of a service
// in a data center. Plain services have one model for all data centers, "".
func ModelName(service, dataCenter string) string { return service + "@" + dataCenter }

// Registry holds the live endpoints. Set the exported fields before use.
type Registry struct {
	Entry fleet.Entry
	// DataCenters are those in which an endpoint may be; empty when they are not known.
	DataCenters []string

	mutex      sync.Mutex
	endpoints  map[string]protocol.Endpoint
	vanished   map[string]time.Time // gone from the list, until when still believed in
	outage     time.Time            // when the platform was last known not to answer
	services   []protocol.RoutedService
	known      atomic.Bool
	stale      atomic.Bool // what is derived does not hold the latest changes yet
	occupants  addrowner.Tracker
	beliefs    map[string]belief     // of endpoints whose record is not believed as it stands
	changedAt  map[string]time.Time  // when a record last told something new
	unused     map[string]bool       // records out of use when it was last derived
	notices    []RecordUse           // not told yet
	unrecorded map[string]unrecorded // by ID: answered at an address, and have no record
	late       map[string]lateRecord // not believed, but the latest of their endpoints
	anew       []protocol.Endpoint   // that have started again, not told yet
	changes    atomic.Uint64
	derived    atomic.Uint64
	view       atomic.Pointer[fleet.View]
	list       atomic.Pointer[[]protocol.Endpoint]
	misfits    atomic.Pointer[[]UnusableEndpoint]
	centers    atomic.Pointer[map[string][]string] // by service
}

// View returns the runners of all models, or nil before the first list.
func (r *Registry) View() *fleet.View {
	r.derive()
	return r.view.Load()
}

// Revision returns a number that rises with each change of the endpoints.
func (r *Registry) Revision() uint64 { return r.changes.Load() }

// Rebuilds returns how often what follows from the changes was worked out.
func (r *Registry) Rebuilds() uint64 { return r.derived.Load() }

// HasList reports whether a list was ever taken.
func (r *Registry) HasList() bool { return r.known.Load() }

// EngineDataCenters returns the data centers in which engines of a service hold layers, in
// order of name. The caller must not change the slice.
func (r *Registry) EngineDataCenters(service string) []string {
	r.derive()
	if c := r.centers.Load(); c != nil {
		return (*c)[service]
	}
	return nil
}

// Endpoints returns every endpoint that can be used, in order of ID, with the layers that it is
// believed to hold: one an address. The caller must not change the slice.
func (r *Registry) Endpoints() []protocol.Endpoint {
	r.derive()
	if l := r.list.Load(); l != nil {
		return *l
	}
	return nil
}

// SetServices takes the services that routes name.
func (r *Registry) SetServices(services []protocol.RoutedService) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.services = services
	r.changed()
}

// MarkOutage notes that the platform did not answer at that time.
func (r *Registry) MarkOutage(at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if at.After(r.outage) {
		r.outage = at
	}
}

// Count returns how many endpoints could be used when somebody last looked. It derives nothing:
// of 4,900 endpoints that takes 8 ms, and news comes many at a time (a benchmark).
func (r *Registry) Count() int {
	if l := r.list.Load(); l != nil {
		return len(*l)
	}
	return 0
}

// Replace takes a whole list. It returns the endpoints that are gone.
func (r *Registry) Replace(list []protocol.Endpoint, now time.Time) []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.endpoints
	r.endpoints = make(map[string]protocol.Endpoint, len(list))
	r.occupants.NextBatch()
	for _, e := range list {
		if old, there := before[e.ID]; there {
			r.endpoints[e.ID] = old
		}
		if r.put(e, now) == Restarted {
			r.anew = append(r.anew, e)
		}
	}
	r.keepLate(list)
	var gone []protocol.Endpoint
	for id, e := range before {
		if _, there := r.endpoints[id]; there || r.keep(e, now) {
			continue
		}
		r.forget(id, now)
		gone = append(gone, e)
	}
	r.known.Store(true)
	r.changed()
	return gone
}

// Add takes one new or changed endpoint, and reports whether it was unknown.
func (r *Registry) Add(e protocol.Endpoint) bool { return r.Update(e, clock.Now()) == Joined }

// Update takes one new or changed endpoint.
func (r *Registry) Update(e protocol.Endpoint, now time.Time) UpdateResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.occupants.NextBatch()
	t := r.put(e, now)
	if t != Stale {
		r.changed()
	}
	return t
}

// Has reports whether the record of an endpoint is known, in use or not.
func (r *Registry) Has(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, there := r.endpoints[id]
	return there
}

// Remove takes the news that an endpoint's record is gone. It reports whether
// the endpoint is now taken as gone.
func (r *Registry) Remove(id string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.late, id)
	e, there := r.endpoints[id]
	if !there || r.keep(e, now) {
		return false
	}
	delete(r.endpoints, id)
	r.forget(id, now)
	r.changed()
	return true
}

// Sweep drops endpoints that vanished in an outage and did not come back in
// time, and returns them.
func (r *Registry) Sweep(now time.Time) []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var gone []protocol.Endpoint
	for id, till := range r.vanished {
		if now.Before(till) {
			continue
		}
		gone = append(gone, r.endpoints[id])
		delete(r.vanished, id)
		delete(r.endpoints, id)
		r.forget(id, now)
	}
	r.occupants.Sweep(now)
	r.sweepUnrecorded(now)
	r.believeLate(now)
	if len(gone) > 0 {
		r.changed()
	}
	return gone
}

// keep decides whether a vanished endpoint is still believed in, and holds on to
// it. One that said that it is leaving is not.
func (r *Registry) keep(e protocol.Endpoint, now time.Time) bool {
	if e.Leaving || !r.unsettled(now) {
		return false
	}
	if r.vanished == nil {
		r.vanished = make(map[string]time.Time)
	}
	if _, there := r.vanished[e.ID]; !there {
		r.vanished[e.ID] = now.Add(settle)
	}
	r.endpoints[e.ID] = e
	return true
}

// unsettled reports whether the platform did not answer lately.
func (r *Registry) unsettled(now time.Time) bool {
	return !r.outage.IsZero() && now.Sub(r.outage) <= settle
}

// changed notes that what is derived is stale. Changes come many at a time, with the
// start of a fleet thousands of them, and deriving takes as long as there are
// endpoints: so it waits until somebody looks. The mutex is held.
func (r *Registry) changed() {
	r.changes.Add(1)
	r.stale.Store(true)
}

// derive brings what is derived up to date.
func (r *Registry) derive() {
	if !r.stale.Load() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stale.Load() {
		r.rebuild()
		r.derived.Add(1)
		r.stale.Store(false)
	}
}

// rebuild derives the view and the list anew. Measurements of runners that did
// not change are kept.
func (r *Registry) rebuild() {
	list, misfits := r.usable()
	slices.SortFunc(list, func(a, b protocol.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	r.list.Store(&list)
	r.misfits.Store(&misfits)
	centers := make(map[string][]string)
	var models []protocol.Model
	var runners []protocol.Runner
	for i := range r.services {
		s := &r.services[i]
		for _, e := range list {
			spec, ok := runnerOf(s, e, r.Entry.DataCenter)
			if !ok {
				continue
			}
			spec.Restarts = r.beliefs[e.ID].restarts
			runners = append(runners, spec)
			if !hasModel(models, spec.Model) {
				models = append(models, protocol.Model{Name: spec.Model, Layers: layersOf(s)})
				centers[s.Name] = append(centers[s.Name], e.DataCenter)
			}
		}
	}
	for _, c := range centers {
		slices.Sort(c)
	}
	r.centers.Store(&centers)
	r.view.Store(fleet.NewView(r.view.Load(), models, runners, r.Entry))
}
