// SPDX-License-Identifier: Apache-2.0

// Package slow judges at what pace endpoints work.
//
// Slowness is a state of one life of an endpoint, not a weak form of dead: it answers, and
// work sent there is done, only later. So it costs more, and is never left out. A Book
// weighs what an endpoint tells of itself and what callers' answers show, from this entry
// and from others:
//
//	switch v := book.Take(report, now).(type) {
//	case slow.Slow:    // its work costs v.Pace() times as much until v.Till(); tell the others
//	case slow.Doubted: // one answer took long; tell the others
//	case slow.Fast:    // it works as usual after all; tell the others
//	case slow.Nothing: // known already, or not to be believed
//	}
package slow

import (
	"math"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// ReportTTL is how long a sign counts. Who told it asks again several times within that;
	// when it can't any more, the endpoint gets work again, which shows how it is.
	ReportTTL = 3 * time.Second
	// renewAfter is how old what is known must be for a sign that only confirms it to be
	// passed on: two such signs may be lost before it counts no longer.
	renewAfter = time.Second
	// steadyFor is how long an endpoint is slow at least. It bounds how often all entries
	// turn away from an endpoint and back, all at once.
	steadyFor = time.Second
	// slowFrom and fastBelow are the paces, told by the endpoint itself, from which it
	// becomes slow and below which it becomes fast. What lies between changes nothing, so
	// that a pace near one bound doesn't switch it to and fro.
	slowFrom  = 1.5
	fastBelow = 1.2
	// seenSlow and seenFast are the same for paces seen in answers, which vary more: a call
	// waits behind others, and endpoints of one service differ.
	seenSlow = 3.0
	seenFast = 1.5
	// seenLeast is how many answers must have taken long: a single one may be lost.
	seenLeast = 2
	// paceStep is the factor by which a pace must change for that to be news.
	paceStep = 1.5
	// pagesMost bounds the endpoints of which anything is kept, a few times as many as a
	// large fleet has.
	pagesMost = 4096
)

// Report says that an entry, the witness, met a sign of an endpoint's pace at a time.
type Report struct {
	endpoint string
	lifetime protocol.Incarnation
	witness  string
	number   uint64
	sign     protocol.SlownessObservation
	pace     float64
	at       time.Time
}

// NewReport returns what a witness tells, by the clock of the entry that holds it. AgoMS
// of the news is not used.
func NewReport(s protocol.RelaySlow, at time.Time) Report {
	return Report{
		endpoint: s.Endpoint, lifetime: s.Incarnation, witness: s.Observer, number: s.Number, sign: s.Observation,
		pace: min(s.Pace, protocol.MaxPace), at: at,
	}
}

// Message returns the report as it is told to others at a time.
func (r Report) Message(now time.Time) protocol.RelaySlow {
	return protocol.RelaySlow{
		Endpoint: r.endpoint, Incarnation: r.lifetime, Observer: r.witness, Number: r.number, Observation: r.sign, Pace: r.pace,
		AgoMS: max(0, float64(now.Sub(r.at))/float64(time.Millisecond)),
	}
}

// Endpoint returns the ID of the endpoint.
func (r Report) Endpoint() string { return r.endpoint }

// Observer returns the name of the entry that met the sign.
func (r Report) Observer() string { return r.witness }

// Observation returns what it met.
func (r Report) Observation() protocol.SlownessObservation { return r.sign }

// At returns when, by the clock of the entry that holds the report.
func (r Report) At() time.Time { return r.at }

// slow reports whether the sign makes an endpoint slow.
func (r *Report) slow() bool {
	if r.sign == protocol.SlowSeen {
		return r.pace >= seenSlow
	}
	return r.pace >= slowFrom
}

// fast reports whether the sign makes an endpoint fast.
func (r *Report) fast() bool {
	if r.sign == protocol.SlowSeen {
		return r.pace <= seenFast
	}
	return r.pace < fastBelow
}

// Change is what a report changes: Slow, Doubted, Fast or Nothing.
type Change interface{ verdict() }

// Slow says that the endpoint is slow.
type Slow struct {
	pace        float64
	since, till time.Time
}

// Slowdown returns how many times longer than usual its work takes.
func (s Slow) Slowdown() float64 { return s.pace }

// Since returns when it became slow.
func (s Slow) Since() time.Time { return s.since }

// Until returns until when that counts.
func (s Slow) Until() time.Time { return s.till }

// Suspected says that one answer of the endpoint took long.
type Suspected struct{}

// Recovered says that an endpoint that was slow, or doubted, works as usual.
type Recovered struct{}

// NoChange says that the report changes nothing.
type NoChange struct{}

func (Slow) verdict()      {}
func (Suspected) verdict() {}
func (Recovered) verdict() {}
func (NoChange) verdict()  {}

// Tracker keeps the signs that count. The zero value is empty.
type Tracker struct {
	pages map[string]*page // by endpoint ID
}

// page is what is known of one endpoint.
type page struct {
	lifetime protocol.Incarnation
	pace     float64   // 0 unless it is slow
	since    time.Time // when it became slow
	latest   time.Time // of the signs taken
	expires  time.Time
	seen     int               // answers that took long, while it is not slow
	heard    map[string]uint64 // number of the last report of each witness
}

// Apply takes a report and returns what it changes.
func (b *Tracker) Apply(r Report, now time.Time) Change {
	b.expire(now)
	if now.Sub(r.at) >= ReportTTL || r.at.After(now) || math.IsNaN(r.pace) || r.pace <= 0 {
		return NoChange{}
	}
	p := b.pages[r.endpoint]
	if p == nil {
		if !r.slow() || len(b.pages) >= pagesMost {
			return NoChange{}
		}
		p = b.open(r.endpoint)
	}
	return p.take(&r, now)
}

// expire forgets the endpoints whose signs count no longer.
func (b *Tracker) expire(now time.Time) {
	for id, p := range b.pages {
		if !now.Before(p.expires) {
			delete(b.pages, id)
		}
	}
}

// open begins the page of an endpoint.
func (b *Tracker) open(endpoint string) *page {
	if b.pages == nil {
		b.pages = make(map[string]*page)
	}
	p := &page{heard: make(map[string]uint64)}
	b.pages[endpoint] = p
	return p
}

// take takes a report, unless it is of an earlier life or older than what is known.
func (p *page) take(r *Report, now time.Time) Change {
	if r.lifetime.Before(p.lifetime) || r.number <= p.heard[r.witness] {
		return NoChange{}
	}
	p.heard[r.witness] = r.number
	if p.lifetime.Before(r.lifetime) && p.pace > 0 {
		return p.anew(r, now)
	}
	if r.at.Before(p.latest) {
		return NoChange{}
	}
	p.lifetime = max(p.lifetime, r.lifetime)
	switch {
	case p.pace > 0:
		return p.takeSlow(r, now)
	case !r.slow():
		return p.clear(r)
	case r.sign == protocol.SlowSeen:
		return p.takeSeen(r)
	default:
		return p.begin(r)
	}
}

// anew takes a sign of a later life than the one that was slow.
func (p *page) anew(r *Report, now time.Time) Change {
	p.lifetime = r.lifetime
	if r.slow() {
		return p.begin(r)
	}
	return p.end(r, now)
}

// takeSeen counts answers that took long.
func (p *page) takeSeen(r *Report) Change {
	p.seen++
	if p.seen >= seenLeast {
		return p.begin(r)
	}
	p.latest = r.at
	p.expires = r.at.Add(ReportTTL)
	return Suspected{}
}

// clear takes a sign that isn't slow while the endpoint isn't either. An answer in time ends
// the doubt at all entries: an endpoint that loses some answers gives others in between.
func (p *page) clear(r *Report) Change {
	if p.seen == 0 || !r.fast() {
		return NoChange{}
	}
	p.seen = 0
	p.latest = r.at
	return Recovered{}
}

// begin notes that the endpoint is slow from the sign on.
func (p *page) begin(r *Report) Change {
	p.since = r.at
	p.pace, p.seen = 0, 0
	return p.keep(r)
}

// keep notes that the endpoint is as slow as the sign says. An answer that is awaited
// shows only how slow it is at least.
func (p *page) keep(r *Report) Change {
	if r.sign == protocol.SlowTold || r.pace > p.pace {
		p.pace = max(r.pace, slowFrom)
	}
	p.latest = r.at
	p.expires = r.at.Add(ReportTTL)
	return Slow{pace: p.pace, since: p.since, till: p.expires}
}

// takeSlow takes a sign of an endpoint that is slow.
func (p *page) takeSlow(r *Report, now time.Time) Change {
	switch {
	case r.fast():
		if now.Sub(p.since) < steadyFor {
			return NoChange{}
		}
		return p.end(r, now)
	case r.sign == protocol.SlowSeen && !r.slow():
		return NoChange{}
	case r.at.Sub(p.latest) >= renewAfter, r.pace > p.pace*paceStep, r.sign == protocol.SlowTold && r.pace < p.pace/paceStep:
		return p.keep(r)
	default:
		return NoChange{}
	}
}

// end notes that the endpoint works as usual. The page stays for a while, so that older
// signs that come late change nothing.
func (p *page) end(r *Report, now time.Time) Change {
	p.pace, p.seen = 0, 0
	p.latest = r.at
	p.expires = now.Add(ReportTTL)
	return Recovered{}
}
