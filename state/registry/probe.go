// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"
)

// ProbeGrace is how long an entry leaves asking to the entry that asks for all. It does not wait
// for ever, as that one may have missed what this one heard. With occupant.AskEvery it bounds
// how long an endpoint that lives is left out. A late record is believed after it, too.
const ProbeGrace = 5 * time.Second

// Probe asks who has the address of an endpoint's record.
type Probe struct {
	endpoint string
	address  string
	service  string
	layers   bool
}

// ProbeOf returns the question who has the address of an endpoint's record, if there is one.
func (r *Registry) ProbeOf(id string) (Probe, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, there := r.endpoints[id]
	return r.ask(id), there
}

// ask returns the question about an endpoint. The mutex is held.
func (r *Registry) ask(id string) Probe {
	e := r.endpoints[id]
	return Probe{endpoint: id, address: e.Address, service: e.Service, layers: r.beliefs[id].denied}
}

// Service returns the service that the record names.
func (q Probe) Service() string { return q.service }

// Endpoint returns the ID in the record.
func (q Probe) Endpoint() string { return q.endpoint }

// Address returns the address to ask.
func (q Probe) Address() string { return q.address }

// AsksLayers reports whether it is also in doubt what the engine holds.
func (q Probe) AsksLayers() bool { return q.layers }

// DueProbes returns what should be asked now: who has an address that several records name,
// or whose record is out of use, and what engines hold that deny their records. If another
// entry asks for all, this one asks only what is still unclear after Patience.
func (r *Registry) DueProbes(others bool, now time.Time) []Probe {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	patience := time.Duration(0)
	if others {
		patience = ProbeGrace
	}
	var all []Probe
	for id := range r.unused {
		if r.occupants.ProbeDue(id, patience, now) {
			all = append(all, r.ask(id))
		}
	}
	for id, b := range r.beliefs {
		if b.denied && !r.unused[id] && !now.Before(b.since.Add(patience)) && r.occupants.MayProbe(id, patience, now) {
			all = append(all, r.ask(id))
		}
	}
	return all
}

// ProbeIfDue returns the question who has the address of an endpoint that may be lost, if it was
// not asked lately.
func (r *Registry) ProbeIfDue(id string, now time.Time) (Probe, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, there := r.endpoints[id]; !there || !r.occupants.MayProbe(id, 0, now) {
		return Probe{}, false
	}
	return r.ask(id), true
}
