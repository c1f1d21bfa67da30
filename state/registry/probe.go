// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"
)

// ProbeGrace is how long an entry leaves probing to the entry that probes for all others.
// It does not wait longer, because that entry may have missed a report that this entry
// received. Together with addrowner.ProbeInterval it bounds how long a running endpoint is
// excluded. It is also how long a late record is ignored.
const ProbeGrace = 5 * time.Second

// Probe is a request to the address of an endpoint's record for the ID of the endpoint there.
type Probe struct {
	endpoint   string
	address    string
	service    string
	asksLayers bool
}

// ProbeOf returns the probe for the address of an endpoint's record, and whether there is such
// a record.
func (r *Registry) ProbeOf(id string) (Probe, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, ok := r.endpoints[id]
	return r.probe(id), ok
}

// probe returns the probe for an endpoint. The caller holds the mutex.
func (r *Registry) probe(id string) Probe {
	e := r.endpoints[id]
	return Probe{endpoint: id, address: e.Address, service: e.Service, asksLayers: r.engineStates[id].denied}
}

// Service returns the service in the record.
func (p Probe) Service() string { return p.service }

// Endpoint returns the ID in the record.
func (p Probe) Endpoint() string { return p.endpoint }

// Address returns the address to probe.
func (p Probe) Address() string { return p.address }

// AsksLayers reports whether the probe also has to find out which layers the engine holds.
func (p Probe) AsksLayers() bool { return p.asksLayers }

// DueProbes returns the probes to send now: for addresses that several records name, for
// addresses whose records are all out of use, and for engines that deny the layers of their
// records. If another entry probes for all, only what is still unclear after ProbeGrace is
// due here.
func (r *Registry) DueProbes(anotherProbes bool, now time.Time) []Probe {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	grace := time.Duration(0)
	if anotherProbes {
		grace = ProbeGrace
	}
	var probes []Probe
	for id := range r.unusedRecords {
		if r.owners.ProbeDue(id, grace, now) {
			probes = append(probes, r.probe(id))
		}
	}
	for id, state := range r.engineStates {
		if state.denied && !r.unusedRecords[id] && !now.Before(state.deniedAt.Add(grace)) && r.owners.MayProbe(id, grace, now) {
			probes = append(probes, r.probe(id))
		}
	}
	return probes
}

// ProbeIfDue returns the probe for the address of an endpoint that may be lost, unless the
// address was probed within the last addrowner.ProbeInterval.
func (r *Registry) ProbeIfDue(id string, now time.Time) (Probe, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, ok := r.endpoints[id]; !ok || !r.owners.MayProbe(id, 0, now) {
		return Probe{}, false
	}
	return r.probe(id), true
}
