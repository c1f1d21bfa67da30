// SPDX-License-Identifier: Apache-2.0

package roster

import (
	"time"
)

// Patience is how long an entry leaves asking to the entry that asks for all. It does not wait
// for ever, as that one may have missed what this one heard. With occupant.AskEvery it bounds
// how long an endpoint that lives is left out. A late record is believed after it, too.
const Patience = 5 * time.Second

// Question asks who has the address of an endpoint's record.
type Question struct {
	endpoint string
	address  string
	service  string
	layers   bool
}

// Ask returns the question who has the address of an endpoint's record, if there is one.
func (r *Roster) Ask(id string) (Question, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, there := r.endpoints[id]
	return r.ask(id), there
}

// ask returns the question about an endpoint. The mutex is held.
func (r *Roster) ask(id string) Question {
	e := r.endpoints[id]
	return Question{endpoint: id, address: e.Address, service: e.Service, layers: r.beliefs[id].denied}
}

// Service returns the service that the record names.
func (q Question) Service() string { return q.service }

// Endpoint returns the ID in the record.
func (q Question) Endpoint() string { return q.endpoint }

// Address returns the address to ask.
func (q Question) Address() string { return q.address }

// Layers reports whether it is also in doubt what the engine holds.
func (q Question) Layers() bool { return q.layers }

// Questions returns what should be asked now: who has an address that several records name,
// or whose record is out of use, and what engines hold that deny their records. If another
// entry asks for all, this one asks only what is still unclear after Patience.
func (r *Roster) Questions(others bool, now time.Time) []Question {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	patience := time.Duration(0)
	if others {
		patience = Patience
	}
	var all []Question
	for id := range r.unused {
		if r.occupants.Question(id, patience, now) {
			all = append(all, r.ask(id))
		}
	}
	for id, b := range r.beliefs {
		if b.denied && !r.unused[id] && !now.Before(b.since.Add(patience)) && r.occupants.Due(id, patience, now) {
			all = append(all, r.ask(id))
		}
	}
	return all
}

// Probe returns the question who has the address of an endpoint that may be lost, if it was
// not asked lately.
func (r *Roster) Probe(id string, now time.Time) (Question, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, there := r.endpoints[id]; !there || !r.occupants.Due(id, 0, now) {
		return Question{}, false
	}
	return r.ask(id), true
}
