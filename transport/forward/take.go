// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"slices"

	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/metric"
)

// take acts on what an attempt tells, as long as the attempt is open.
func (x *exchange) take(m message) {
	if !slices.Contains(x.live, m.from()) {
		return
	}
	switch m := m.(type) {
	case headCame:
		x.takeHead(m)
	case eventCame:
		x.takeEvent(m)
	case wholeCame:
		x.takeWhole(m)
	case attemptEnded:
		x.takeEnd(m)
	case pathAnswered:
		x.takePathAnswer(m, clock.Now())
	case waitReported:
		x.takeWaitReport(m, clock.Now())
	}
}

func (x *exchange) takeHead(m headCame) {
	// The head waits for the first event: until then the request may still go
	// elsewhere.
	m.attempt.answer = m.head
}

// takeEvent passes an event on. The attempt that speaks first stays; another one
// that was started because it was silent ends.
func (x *exchange) takeEvent(m eventCame) {
	x.keepOnly(m.attempt)
	now := clock.Now()
	x.endChange(m.attempt, now)
	x.heard(m.attempt, now)
	if slept := x.noteSleep(now); x.rhythm.first && !slept {
		x.checkPace(m.attempt, now.Sub(x.rhythm.last), now)
	}
	x.rhythm.event(now)
	x.runsOn(m.attempt, now)
	if m.attempt.first() {
		m.attempt.accepted()
	}
	if !x.headSent {
		x.writeStreamHead(m.attempt.answer)
		x.forwarder.Counters.Took(metric.FirstEvent, now.Sub(x.begun))
	}
	x.events++
	if m.event.id != "" {
		x.lastEvent = m.event.id
	}
	if _, err := x.writer.Write(m.event.content); err != nil {
		x.writeFailed()
		return
	}
	if n := len(m.event.content); n > smallBytes {
		x.reserved.take(int64(-n))
	}
	if len(x.messages) == 0 {
		x.flush()
	}
	if x.caller != nil && x.caller.Held() > 0 {
		x.heed(now)
	}
}

// keepOnly ends all open attempts but one.
func (x *exchange) keepOnly(a *attempt) {
	for len(x.live) > 1 {
		other := x.live[0]
		if other == a {
			other = x.live[1]
		}
		x.drop(other)
	}
}

func (x *exchange) takeWhole(m wholeCame) {
	now := clock.Now()
	a := m.attempt
	x.drop(a)
	switch {
	case m.head.StatusCode == http.StatusMisdirectedRequest:
		x.misplaced(&m, now)
		x.decide(a, retry.NotRun, &m)
	case m.terms.NotRun:
		x.refused(&m, now)
		x.leaveRoom(a, m.terms.AtFault, now)
		x.decide(a, retry.NotRun, &m)
	case x.headSent:
		// The caller has the head of a stream, and this is no part of one, whether
		// it is a success or the endpoint's own failure.
		x.decide(a, retry.Broken, &m)
	case m.head.StatusCode >= http.StatusInternalServerError:
		x.decide(a, retry.Failed, &m)
	case promises(m.head.StatusCode) && !x.route.MayRepeat():
		// Only the endpoint's own word says that a request did not run.
		x.decide(a, retry.Broken, &m)
	default:
		x.ran(a, now)
		x.heard(a, now)
		x.noteAnswer(a, now)
		x.deliver(&m)
	}
}

func (x *exchange) takeEnd(m attemptEnded) {
	a := m.attempt
	now := clock.Now()
	a.fell = m.cause != nil && !m.unsent && !m.stale
	x.drop(a)
	if !m.unsent && brokeOff(m.cause) {
		x.broke(a, now)
	}
	switch {
	case m.cause == nil:
		x.ran(a, now)
		x.heard(a, now)
		x.endStream()
	case m.unsent:
		x.notReached(a)
		x.forwarder.met(a.endpoint, m.cause, a.sentAt, now)
		x.blame(a, a.endpoint.Spec().Address, metric.EjectedConnection, now)
		x.ended(a, retry.NeverSent, m.cause)
	case m.stale:
		// A connection that had rested ended before the answer. The endpoint may
		// have run the request all the same, but is hardly at fault.
		x.ended(a, retry.Broken, m.cause)
	default:
		x.blame(a, "", metric.EjectedFailed, now)
		x.ended(a, retry.Broken, m.cause)
	}
}

// promises reports whether a status tells the caller that the request did not
// run.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
