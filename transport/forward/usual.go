// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// usualSmoothing is the weight of an answer in the usual time of a plain service, and
	// usualMost how many times that time it counts at most: one that hangs says nothing of
	// what is usual.
	usualSmoothing = 0.1
	usualMost      = 2
	// openLate is how many times the usual time a call is open before that says anything.
	openLate = 3
)

// waits takes it that a call to a plain service has no answer yet. It says so once, before
// the call ends: of 20 calls a second that take 30 ms, three endpoints get the next one
// long before a slow one has answered.
func (x *exchange) waits(a *attempt, now time.Time) {
	if x.service.Engine != nil || a.overdue {
		return
	}
	if x.paceOf(a, now) >= openLate {
		a.overdue = true
		x.forwarder.seen(a, openLate, now) // at least; its answer may be lost, and tell nothing more
	}
}

// answeredAfter takes it that a call to a plain service was answered.
func (x *exchange) answeredAfter(a *attempt, now time.Time) {
	if x.service.Engine != nil {
		return
	}
	x.forwarder.seen(a, x.paceOf(a, now), now)
	x.forwarder.paces.learn(x.service.Name, now.Sub(a.sentAt), x.guess())
}

// paceOf returns how many times as long as usual a call to a plain service has taken.
func (x *exchange) paceOf(a *attempt, now time.Time) float64 {
	usual := x.forwarder.paces.usualOf(x.service.Name, x.guess())
	return float64(now.Sub(a.sentAt)) / float64(usual)
}

// guess returns what is taken as usual before any answer came: a third of the time from
// which an answer is overdue.
func (x *exchange) guess() time.Duration { return max(time.Millisecond, x.rhythm.firstBy/openLate) }

// seen tells the pace that an answer, or the wait for one, showed.
func (f *Forwarder) seen(a *attempt, pace float64, now time.Time) {
	if f.TellPace == nil || pace <= 0 {
		return
	}
	f.TellPace(protocol.RelaySlow{Endpoint: a.endpoint.Name(), Sign: protocol.SlowSeen, Pace: min(pace, protocol.MaxPace)}, now)
}

// usualOf returns how long an answer of a plain service usually takes.
func (p *paces) usualOf(service string, guess time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if usual, known := p.usual[service]; known {
		return max(time.Millisecond, usual)
	}
	return guess
}

// learn takes the time of an answer into the usual time of a plain service. The first may
// be that of a slow endpoint, so it counts as what was guessed at most.
func (p *paces) learn(service string, took, guess time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.usual == nil {
		p.usual = make(map[string]time.Duration)
	}
	usual, known := p.usual[service]
	if !known {
		p.usual[service] = min(took, guess)
		return
	}
	p.usual[service] = usual + time.Duration(usualSmoothing*float64(min(took, usualMost*usual)-usual))
}
