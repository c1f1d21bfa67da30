// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// usualSmoothing is the weight of a new answer in the mean of a plain service's times.
	usualSmoothing = 0.1
	// usualMost is how many times the usual time an answer counts at most: one that hangs says
	// nothing of what is usual.
	usualMost = 2
	// openLate is how many times the usual time a call must be open for its endpoint to be
	// told as slow.
	openLate = 3
)

// noteWait tells, once a call and before it ends, that a plain service takes too long to
// answer. Waiting for the answer would be too late: at 20 calls a second that usually take
// 30 ms, a slow endpoint gets its next call long before it has answered the last.
func (x *exchange) noteWait(a *attempt, now time.Time) {
	if x.service.Engine != nil || a.overdue || a.sentAt.Before(x.wokeAt) {
		return
	}
	if x.paceOf(a, now) >= openLate {
		a.overdue = true
		x.forwarder.tellSeen(a, openLate, now) // a lower bound, told now since the answer may never come
	}
}

// noteAnswer learns from the time that a plain service took for an answer.
func (x *exchange) noteAnswer(a *attempt, now time.Time) {
	if x.service.Engine != nil || a.sentAt.Before(x.wokeAt) {
		return
	}
	x.forwarder.tellSeen(a, x.paceOf(a, now), now)
	x.forwarder.paces.learn(x.route.Name, now.Sub(a.sentAt), x.guess())
}

// paceOf returns how many times as long as usual a call to a plain service has taken.
func (x *exchange) paceOf(a *attempt, now time.Time) float64 {
	usual := x.forwarder.paces.usualOf(x.route.Name, x.guess())
	return float64(now.Sub(a.sentAt)) / float64(usual)
}

// guess returns what is taken as usual before any answer came: a third of the time from
// which an answer is overdue.
func (x *exchange) guess() time.Duration { return max(time.Millisecond, x.rhythm.firstBy/openLate) }

// tellSeen tells the pace that an answer, or the wait for one, showed.
func (f *Forwarder) tellSeen(a *attempt, pace float64, now time.Time) {
	if f.ReportPace == nil || pace <= 0 {
		return
	}
	f.ReportPace(protocol.RelaySlow{Endpoint: a.endpoint.Name(), Observation: protocol.SlowSeen, Pace: min(pace, protocol.MaxPace)}, now)
}

// usualOf returns how long an answer on a route to a plain service usually takes. Routes to one service
// ask for different work: an entry that has had a few quick answers on one would take those of another
// for slow.
func (p *paces) usualOf(route string, guess time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if usual, known := p.usual[route]; known {
		return max(time.Millisecond, usual)
	}
	return guess
}

// learn takes the time of an answer into the usual time of its route. The first may
// be that of a slow endpoint, so it counts as what was guessed at most.
func (p *paces) learn(route string, took, guess time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.usual == nil {
		p.usual = make(map[string]time.Duration)
	}
	usual, known := p.usual[route]
	if !known {
		p.usual[route] = min(took, guess)
		return
	}
	p.usual[route] = usual + time.Duration(usualSmoothing*float64(min(took, usualMost*usual)-usual))
}
