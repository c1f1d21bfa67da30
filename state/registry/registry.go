// SPDX-License-Identifier: Apache-2.0

// Package registry holds the live endpoints of all services as an entry knows them. Each
// endpoint registers itself in the platform.
//
// A Registry applies whole lists and single changes. From them it derives a fleet.View, in
// which request paths are chosen. The engines of a service in one data center form a model;
// an endpoint of a plain service is a runner of a model with one layer:
//
//	r.SetServices(table.Services())
//	gone := r.Replace(endpoints, now)
//	m := r.View().Model(registry.ModelName("fares-llm", "jhb-a"))
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

// anyDataCenter is the data center in the name of a model whose runners may be chosen from
// all data centers.
const anyDataCenter = ""

// ModelName returns the name under which the view holds the runners of a service in a data
// center. A plain service has one model for all data centers, with the data center "".
func ModelName(service, dataCenter string) string { return service + "@" + dataCenter }

// ServiceOf returns the service in the name of a model.
func ServiceOf(model string) string {
	service, _, _ := strings.Cut(model, "@")
	return service
}

// Registry holds the live endpoints. The exported fields must be set before use.
type Registry struct {
	// Entry is the local entry.
	Entry fleet.Entry
	// DataCenters are the valid data centers of endpoints; empty if they are not known.
	DataCenters []string

	mutex           sync.Mutex
	endpoints       map[string]protocol.Endpoint
	vanished        map[string]time.Time // endpoints gone from the list, and until when they are kept
	kept            []KeptEndpoint       // not yet returned by TakeKept
	outage          outage               // the last one of the platform
	services        []protocol.RoutedService
	hasList         atomic.Bool
	stale           atomic.Bool // the derived values do not include the latest changes
	owners          addrowner.Tracker
	engineStates    map[string]engineState // of endpoints whose record alone does not describe them
	recordChangedAt map[string]time.Time   // when a record last had new content
	unusedRecords   map[string]bool        // records out of use at the last rebuild
	useChanges      []RecordUse            // not yet returned by TakeUseChanges
	unrecorded      map[string]unrecorded  // by ID: endpoints that answered at an address and have no record
	lateRecords     map[string]lateRecord  // the latest record of its endpoint, ignored for now
	gone            map[string]goneEndpoint
	restarted       []protocol.Endpoint // endpoints not yet returned by TakeRestarted
	revision        atomic.Uint64
	rebuilds        atomic.Uint64
	view            atomic.Pointer[fleet.View]
	list            atomic.Pointer[[]protocol.Endpoint]
	unusable        atomic.Pointer[[]UnusableEndpoint]
}

// View returns the runners of all models, or nil before the first list.
func (r *Registry) View() *fleet.View {
	r.refresh()
	return r.view.Load()
}

// Revision returns a number that grows with each change of the endpoints.
func (r *Registry) Revision() uint64 { return r.revision.Load() }

// Rebuilds returns how often the derived values were rebuilt.
func (r *Registry) Rebuilds() uint64 { return r.rebuilds.Load() }

// HasList reports whether a whole list has ever been applied.
func (r *Registry) HasList() bool { return r.hasList.Load() }

// Endpoints returns all usable endpoints, at most one per address, in order of ID and with the
// layers that they are known to hold. The caller must not change the slice.
func (r *Registry) Endpoints() []protocol.Endpoint {
	r.refresh()
	if l := r.list.Load(); l != nil {
		return *l
	}
	return nil
}

// SetServices sets the services that routes refer to.
func (r *Registry) SetServices(services []protocol.RoutedService) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.services = services
	r.markChanged()
}

// Count returns how many endpoints were usable at the last rebuild. It does not rebuild:
// that takes 8 ms for 4,900 endpoints, and reports come in bursts.
func (r *Registry) Count() int {
	if l := r.list.Load(); l != nil {
		return len(*l)
	}
	return 0
}

// Replace applies a whole list and returns the endpoints that are gone.
func (r *Registry) Replace(list []protocol.Endpoint, now time.Time) []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.endpoints
	r.endpoints = make(map[string]protocol.Endpoint, len(list))
	r.owners.NextBatch()
	for _, e := range list {
		if old, ok := before[e.ID]; ok {
			r.endpoints[e.ID] = old
		}
		if r.putLocked(e, now) == Restarted {
			r.restarted = append(r.restarted, e)
		}
	}
	r.pruneLateRecords(list)
	var gone []protocol.Endpoint
	for id, e := range before {
		if _, kept := r.endpoints[id]; kept || r.keepVanished(e, now) {
			continue
		}
		r.forget(id, now)
		r.rememberGone(e, now)
		gone = append(gone, e)
	}
	r.hasList.Store(true)
	r.markChanged()
	return gone
}

// Add applies one new or changed endpoint, and reports whether it was unknown.
func (r *Registry) Add(e protocol.Endpoint) bool { return r.Update(e, clock.Now()) == Joined }

// Update applies one new or changed endpoint.
func (r *Registry) Update(e protocol.Endpoint, now time.Time) UpdateResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owners.NextBatch()
	result := r.putLocked(e, now)
	if result != Stale {
		r.markChanged()
	}
	return result
}

// Has reports whether the record of an endpoint is known, in use or not.
func (r *Registry) Has(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, ok := r.endpoints[id]
	return ok
}

// Remove handles the removal of an endpoint's record. It reports whether the endpoint now
// counts as gone.
func (r *Registry) Remove(id string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.lateRecords, id)
	e, ok := r.endpoints[id]
	if !ok || r.keepVanished(e, now) {
		return false
	}
	delete(r.endpoints, id)
	r.forget(id, now)
	r.rememberGone(e, now)
	r.markChanged()
	return true
}

// Sweep drops the endpoints that vanished in an outage and did not come back in time, and
// returns them.
func (r *Registry) Sweep(now time.Time) []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var gone []protocol.Endpoint
	for id, until := range r.vanished {
		if now.Before(until) {
			continue
		}
		gone = append(gone, r.endpoints[id])
		r.rememberGone(r.endpoints[id], now)
		delete(r.vanished, id)
		delete(r.endpoints, id)
		r.forget(id, now)
	}
	r.owners.Sweep(now)
	r.sweepUnrecorded(now)
	r.sweepGone(now)
	r.acceptLateRecords(now)
	if len(gone) > 0 {
		r.markChanged()
	}
	return gone
}

// markChanged marks the derived values as stale. Changes come in bursts, thousands of them
// when a fleet starts, and a rebuild takes time proportional to the number of endpoints. So
// the rebuild waits for the next read. The caller holds the mutex.
func (r *Registry) markChanged() {
	r.revision.Add(1)
	r.stale.Store(true)
}

// refresh rebuilds the derived values if they are stale.
func (r *Registry) refresh() {
	if !r.stale.Load() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stale.Load() {
		r.rebuild()
		r.rebuilds.Add(1)
		r.stale.Store(false)
	}
}

// rebuild derives the view and the lists from scratch. It keeps the measurements of runners
// that did not change.
func (r *Registry) rebuild() {
	list, unusable := r.selectUsable()
	slices.SortFunc(list, func(a, b protocol.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	r.list.Store(&list)
	r.unusable.Store(&unusable)
	centers := make(map[string][]string)
	var models []protocol.Model
	var runners []protocol.Runner
	for i := range r.services {
		s := &r.services[i]
		for _, e := range list {
			spec, ok := runnerSpec(s, e, r.Entry.DataCenter)
			if !ok {
				continue
			}
			spec.Restarts = r.engineStates[e.ID].restarts
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
	view := fleet.NewView(r.view.Load(), models, runners, r.Entry)
	view.SetEngineDataCenters(centers)
	r.view.Store(view)
}
