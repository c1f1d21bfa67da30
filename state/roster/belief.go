// SPDX-License-Identifier: Apache-2.0

package roster

import (
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/occupant"
)

// recordFresh is how long after a record has changed an engine's report says nothing against
// it: reports are some hundred ms old.
const recordFresh = 500 * time.Millisecond

// Patience is how long an entry leaves it to the one that asks for all to clear up a record
// which it does not believe: that one may have missed what this one heard. It bounds, with
// occupant.AskEvery, how long an endpoint that lives is left out.
const Patience = 5 * time.Second

// Taken is what a record told.
type Taken uint8

// The things that a record may tell: a change of an endpoint that is known; one that was
// unknown; that the endpoint has started again and holds nothing of before; a life that is
// over, which changes nothing.
const (
	Changed Taken = iota
	Joined
	Restarted
	Stale
)

// belief is what is believed of an endpoint against its record.
type belief struct {
	restarts int
	// denied says that the engine does not hold the layers of its record, but held.
	denied bool
	held   protocol.Span
	since  time.Time // when it was first denied
	// orders is how many it had taken by its latest report.
	orders int
}

// Notice tells that a record went out of use, or came back into it.
type Notice struct {
	endpoint string
	address  string
	occupant string
	used     bool
}

// Endpoint returns the ID in the record.
func (n Notice) Endpoint() string { return n.endpoint }

// Address returns the address that the record names.
func (n Notice) Address() string { return n.address }

// Occupant returns the ID of the endpoint that has the address.
func (n Notice) Occupant() string { return n.occupant }

// Used reports whether the record is in use now.
func (n Notice) Used() bool { return n.used }

// put takes one record. The mutex is held.
func (r *Roster) put(e protocol.Endpoint, now time.Time) Taken {
	if e.Lifetime.Before(r.occupants.Lifetime(e.ID)) {
		r.late(e, now)
		return Stale // written by an earlier life, and done late
	}
	delete(r.lates, e.ID)
	if r.endpoints == nil {
		r.endpoints = make(map[string]protocol.Endpoint)
	}
	old, there := r.endpoints[e.ID]
	r.endpoints[e.ID] = e
	delete(r.vanished, e.ID)
	delete(r.unrecorded, e.ID)
	r.occupants.Record(occupant.Claim{
		Endpoint: e.ID, Address: e.Address, Lifetime: e.Lifetime, Holds: e.Layers.Layers() > 0,
	}, now)
	switch {
	case !there:
		r.note(e.ID, now)
		return Joined
	case restarted(&old, &e):
		r.restart(e.ID, now)
		return Restarted
	}
	if old.Layers != e.Layers {
		r.settle(e.ID)
		r.note(e.ID, now)
	}
	return Changed
}

// restarted reports whether the later of two records is of a later life. Where it is not
// told, records are counted from none again.
func restarted(before, after *protocol.Endpoint) bool {
	if before.Lifetime.Known() && after.Lifetime.Known() {
		return before.Lifetime.Before(after.Lifetime)
	}
	return after.Beats < before.Beats
}

// restart forgets what is believed and measured of an endpoint's earlier life.
func (r *Roster) restart(id string, now time.Time) {
	r.believe(id, belief{restarts: r.beliefs[id].restarts + 1})
	r.note(id, now)
}

// settle believes the record of an endpoint again.
func (r *Roster) settle(id string) {
	if b, there := r.beliefs[id]; there {
		r.believe(id, belief{restarts: b.restarts, orders: b.orders})
	}
}

func (r *Roster) believe(id string, b belief) {
	if r.beliefs == nil {
		r.beliefs = make(map[string]belief)
	}
	r.beliefs[id] = b
}

// note notes when a record told something new.
func (r *Roster) note(id string, now time.Time) {
	if r.changedAt == nil {
		r.changedAt = make(map[string]time.Time)
	}
	r.changedAt[id] = now
}

// forget forgets what is believed of an endpoint whose record is gone.
func (r *Roster) forget(id string, now time.Time) {
	r.occupants.Gone(id, now)
	delete(r.beliefs, id)
	delete(r.changedAt, id)
	delete(r.unused, id)
}

// inUse reports whether an endpoint has its address, and notes when that has changed.
func (r *Roster) inUse(e protocol.Endpoint) bool {
	used := r.occupants.InUse(e.ID)
	if used == r.unused[e.ID] {
		r.notices = append(r.notices, Notice{endpoint: e.ID, address: e.Address, occupant: r.occupants.Occupant(e.ID), used: used})
		if r.unused == nil {
			r.unused = make(map[string]bool)
		}
		if used {
			delete(r.unused, e.ID)
		} else {
			r.unused[e.ID] = true
		}
	}
	return used
}

// believed returns an endpoint with the layers that it is believed to hold.
func (r *Roster) believed(e protocol.Endpoint) protocol.Endpoint {
	if b := r.beliefs[e.ID]; b.denied {
		e.Layers = b.held
	}
	return e
}

// Notices returns which records went out of use or came back into it since the last call.
func (r *Roster) Notices() []Notice {
	r.derive()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := r.notices
	r.notices = nil
	return all
}

// Superseded returns the records out of use because another endpoint has their address, in
// order of ID.
func (r *Roster) Superseded() []Notice {
	r.derive()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]Notice, 0, len(r.unused))
	for id := range r.unused {
		if e, there := r.endpoints[id]; there {
			all = append(all, Notice{endpoint: id, address: e.Address, occupant: r.occupants.Occupant(id)})
		}
	}
	slices.SortFunc(all, func(a, b Notice) int { return strings.Compare(a.endpoint, b.endpoint) })
	return all
}

// Lifetime returns the latest life of an endpoint that is known.
func (r *Roster) Lifetime(id string) protocol.Lifetime {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.occupants.Lifetime(id)
}

// Located takes it that an endpoint, the occupant, answered at the address of an endpoint's
// record. It reports whether that changes which record is in use.
func (r *Roster) Located(id, occupant string, life protocol.Lifetime, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, there := r.endpoints[id]
	if !there {
		return false
	}
	if occupant != id {
		life = 0 // it is of the endpoint that was asked for
	}
	if occupant != id {
		r.answers(occupant, e, at)
	}
	before := r.occupants.Occupant(id)
	r.occupants.Answered(e.Address, occupant, life, at)
	if r.occupants.Occupant(id) == before {
		return false
	}
	r.changed()
	return true
}

// Denied takes it that an engine said that it does not hold the layers of its record, and
// reports whether that was news. A record that has changed since stands.
func (r *Roster) Denied(id string, life protocol.Lifetime, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, there := r.endpoints[id]
	if !there || e.Layers.Layers() == 0 || at.Before(r.changedAt[id]) || life.Before(e.Lifetime) {
		return false
	}
	return r.deny(id, protocol.Span{}, at)
}

// deny believes that an engine holds a span, whatever its record says.
func (r *Roster) deny(id string, held protocol.Span, now time.Time) bool {
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

// Holds takes it that an engine held what its record says after all when it was asked, and
// reports whether that was news.
func (r *Roster) Holds(id string, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if b := r.beliefs[id]; !b.denied || at.Before(b.since) {
		return false
	}
	r.settle(id)
	r.changed()
	return true
}

// Reported is what an engine's own report says of its record.
type Reported uint8

// The things that a report may say: what the record says; other layers than were believed;
// nothing new, or nothing at all, since it is of an earlier life or the record is newer.
const (
	Agrees Reported = iota
	Differs
	Silent
)

// Report takes an engine's own report.
func (r *Roster) Report(id string, p *protocol.EngineReport, now time.Time) Reported {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, there := r.endpoints[id]
	if !there || p.Lifetime.Before(e.Lifetime) {
		return Silent
	}
	b := r.beliefs[id]
	sameLife := e.Lifetime.Known() && e.Lifetime == p.Lifetime
	switch {
	case p.Orders < b.orders && sameLife:
		return Silent // two were asked for at a time, and this one came last
	case p.Orders < b.orders, e.Lifetime.Before(p.Lifetime):
		return r.startedAgain(e, p, now)
	case p.Orders > b.orders:
		b.orders = p.Orders
		r.believe(id, b)
	}
	switch {
	case !p.LayersKnown:
		return Silent
	case p.Layers == e.Layers:
		if b.denied {
			r.settle(id)
			r.changed()
		}
		return Agrees
	case b.denied && b.held == p.Layers, now.Before(r.changedAt[id].Add(recordFresh)):
		return Silent
	default:
		r.deny(id, p.Layers, now)
		return Differs
	}
}

// startedAgain takes it that an engine has started again since it wrote its record.
func (r *Roster) startedAgain(e protocol.Endpoint, p *protocol.EngineReport, now time.Time) Reported {
	if p.Lifetime.Known() {
		e.Lifetime = p.Lifetime
	}
	r.endpoints[e.ID] = e
	r.occupants.Next()
	r.occupants.Record(occupant.Claim{Endpoint: e.ID, Address: e.Address, Lifetime: e.Lifetime, Holds: p.Layers.Layers() > 0}, now)
	r.restart(e.ID, now)
	if p.LayersKnown {
		r.deny(e.ID, p.Layers, now)
	}
	r.anew = append(r.anew, r.believed(e))
	r.changed()
	return Differs
}

// StartedAgain returns the endpoints of which a report or a list showed since the last call that
// they have started again.
func (r *Roster) StartedAgain() []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := r.anew
	r.anew = nil
	return all
}

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
// or one that is out of use, and what engines hold that deny their records. Others are the
// first to ask if they are said to.
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
