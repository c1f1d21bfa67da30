// SPDX-License-Identifier: Apache-2.0

// Package loss judges news of endpoints that are lost.
//
// The platform's list tells that an endpoint is gone three heartbeats after its death,
// some four seconds in which each entry would run into it for itself. So what one entry
// meets it tells the others, and a Book says what the word of one is worth:
//
//	switch v := book.Take(report, known, now).(type) {
//	case loss.Lost:    // no work for it until v.Till(); tell the others
//	case loss.Doubted: // no work for a moment; tell the others
//	case loss.Back:    // it works after all; tell the others
//	case loss.Located: // who answers at its address; tell the others
//	case loss.Nothing: // known already, or not to be believed
//	}
package loss

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// ReportTTL is how long a report counts: a dead endpoint leaves the platform's list
	// after three heartbeats of 1.2 s, and the news of that takes a moment.
	ReportTTL = 4 * time.Second
	// witnesses is how many entries must have found an endpoint silent for it to be
	// lost. One alone may be cut off from it.
	witnesses = 2
	// partMost is the part of all endpoints that may be lost by reports at the same time.
	// Losses of a fifth of them at once are known; an entry, or a few of them, that reach
	// no endpoint any more must not empty everybody's lists.
	partMost = 0.34
	// fewest is how many may be, in a fleet of few endpoints.
	fewest = 2
)

// Report says that an entry, the witness, met a sign of an endpoint at a time.
type Report struct {
	endpoint string
	witness  string
	sign     protocol.LossObservation
	at       time.Time
	life     protocol.Incarnation
	occupant string
}

// NewReport returns the report of a witness.
func NewReport(endpoint, witness string, sign protocol.LossObservation, at time.Time) Report {
	return Report{endpoint: endpoint, witness: witness, sign: sign, at: at}
}

// Endpoint returns the ID of the endpoint.
func (r Report) Endpoint() string { return r.endpoint }

// Observer returns the name of the entry that met the sign.
func (r Report) Observer() string { return r.witness }

// Observation returns what it met.
func (r Report) Observation() protocol.LossObservation { return r.sign }

// At returns when, by the clock of the entry that holds the report.
func (r Report) At() time.Time { return r.at }

// WithIncarnation returns the report with the life of the endpoint in which the sign was met.
func (r Report) WithIncarnation(life protocol.Incarnation) Report {
	r.life = life
	return r
}

// WithOccupant returns the report with the ID of what answers at the endpoint's address.
func (r Report) WithOccupant(occupant string) Report {
	r.occupant = occupant
	return r
}

// Incarnation returns the life of the endpoint that the sign belongs to, if it is known.
func (r Report) Incarnation() protocol.Incarnation { return r.life }

// Occupant returns the ID of what answers at the endpoint's address, "" if it is not known.
func (r Report) Occupant() string { return r.occupant }

// Change is what a report changes: Lost, Doubted, Back, Located or Nothing.
type Change interface{ verdict() }

// Lost says that the endpoint is lost.
type Lost struct {
	at, till time.Time
}

// At returns when the sign was met: what comes from the endpoint later disproves it.
func (l Lost) At() time.Time { return l.at }

// Until returns until when the reports count.
func (l Lost) Until() time.Time { return l.till }

// Suspected says that one entry found the endpoint silent.
type Suspected struct{}

// Recovered says that an endpoint that was doubted or lost works.
type Recovered struct{}

// NoChange says that the report changes nothing.
type NoChange struct{}

func (Lost) verdict()      {}
func (Suspected) verdict() {}
func (Recovered) verdict() {}
func (NoChange) verdict()  {}

// Tracker keeps the reports that count. The zero value is empty.
type Tracker struct {
	pages map[string]*page // by endpoint ID
}

// page is what is reported of one endpoint.
type page struct {
	lost     bool
	silent   map[string]bool // the witnesses who found it silent
	latest   time.Time       // of the signs
	answered time.Time       // when it last answered: what was met before is disproved
	expires  time.Time
	life     protocol.Incarnation // that the page is of, if it is known
	located  located
}

// believed reports whether the endpoint is doubted or lost.
func (p *page) believed() bool { return p.lost || len(p.silent) > 0 }

// Apply takes a report while so many endpoints are known, and returns what it changes.
func (b *Tracker) Apply(r Report, known int, now time.Time) Change {
	b.expire(now)
	if now.Sub(r.at) > ReportTTL || r.at.After(now) {
		return NoChange{}
	}
	p := b.pageOf(&r)
	if p != nil && r.life.Before(p.life) {
		return NoChange{} // of an earlier life
	}
	if r.locates() {
		return b.locate(r, p, now)
	}
	if r.sign == protocol.LossAnswered {
		return p.back(r, now)
	}
	if (p == nil || !p.believed()) && b.full(known) {
		return NoChange{}
	}
	if p == nil {
		p = b.open(&r)
	}
	return p.take(r, now)
}

// pageOf returns what is reported of the life that a report is of, or nil: what was reported
// of an earlier one is forgotten.
func (b *Tracker) pageOf(r *Report) *page {
	p := b.pages[r.endpoint]
	if p != nil && p.life.Before(r.life) {
		delete(b.pages, r.endpoint)
		return nil
	}
	return p
}

// full reports whether as many of so many endpoints are believed lost as may be.
func (b *Tracker) full(known int) bool {
	n := 0
	for _, p := range b.pages {
		if p.believed() {
			n++
		}
	}
	return float64(n) >= max(fewest, partMost*float64(known))
}

// back takes it that an endpoint answered. Nothing is known of most.
func (p *page) back(r Report, now time.Time) Change {
	if p == nil || !p.believed() || !r.at.After(p.latest) {
		return NoChange{}
	}
	p.lost = false
	clear(p.silent)
	p.answered = r.at
	p.expires = now.Add(ReportTTL)
	return Recovered{}
}

func (b *Tracker) open(r *Report) *page {
	if b.pages == nil {
		b.pages = make(map[string]*page)
	}
	p := &page{silent: make(map[string]bool), life: r.life}
	b.pages[r.endpoint] = p
	return p
}

func (b *Tracker) expire(now time.Time) {
	for id, p := range b.pages {
		if now.After(p.expires) {
			delete(b.pages, id)
		}
	}
}

func (p *page) take(r Report, now time.Time) Change {
	if p.lost || r.sign == protocol.LossSilent && p.silent[r.witness] || !r.at.After(p.answered) {
		return NoChange{}
	}
	if r.at.After(p.latest) {
		p.latest = r.at
	}
	p.expires = now.Add(ReportTTL)
	if r.sign == protocol.LossSilent {
		p.silent[r.witness] = true
	}
	if r.sign == protocol.LossRefused || len(p.silent) >= witnesses {
		p.lost = true
		return Lost{at: p.latest, till: p.expires}
	}
	return Suspected{}
}
