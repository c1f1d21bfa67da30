// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// handleMessage handles a message of an attempt. It ignores messages of attempts that are no longer
// open.
func (x *exchange) handleMessage(m message) {
	if !slices.Contains(x.open, m.from()) {
		x.discard(m)
		return
	}
	switch m := m.(type) {
	case headReceived:
		x.handleHead(m)
	case eventReceived:
		x.handleEvent(m)
	case responseReceived:
		x.handleResponse(m)
	case attemptEnded:
		x.handleEnd(m)
	case pathAnswered:
		x.handlePathAnswer(m, clock.Now())
	case stallReported:
		x.handleStallReport(m, clock.Now())
	}
}

func (x *exchange) handleHead(m headReceived) {
	// The head is kept until the first event: until then the request may still be sent to another
	// endpoint.
	m.attempt.head = m.head
}

// handleEvent passes an event on to the caller. The attempt that delivers the first event stays
// open; a second attempt that was started because the first was silent is closed.
func (x *exchange) handleEvent(m eventReceived) {
	now := clock.Now()
	x.resolveDoubt(m.attempt, now)
	x.keepOnly(m.attempt)
	x.recordPathChange(m.attempt, now)
	x.recordHeard(m.attempt, now)
	if suspended := x.checkSuspension(now); x.timing.started && !suspended {
		x.checkSlowdown(m.attempt, now.Sub(x.timing.lastEvent), now)
	}
	x.timing.recordEvent(now)
	x.recordProgress(m.attempt, now)
	if m.attempt.markEvent() {
		m.attempt.markAccepted()
	}
	if !x.headSent {
		x.writeStreamHead(m.attempt.head)
		x.forwarder.Counters.RecordDuration(metric.FirstEvent, now.Sub(x.begun))
	}
	x.recordEvent(&m.event)
	if _, err := x.writer.Write(m.event.content); err != nil {
		x.handleWriteError()
		return
	}
	if n := m.reserved(); n > 0 {
		x.reservation.reserve(-n)
	}
	if len(x.messages) == 0 {
		x.flush()
	}
	if x.caller != nil && x.caller.Held() > 0 {
		x.checkCaller(now)
	}
}

// keepOnly closes all open attempts but one.
func (x *exchange) keepOnly(a *attempt) {
	for len(x.open) > 1 {
		other := x.open[0]
		if other == a {
			other = x.open[1]
		}
		x.closeAttempt(other)
	}
}

// handleResponse delivers a whole response, or applies the retry policy to it.
func (x *exchange) handleResponse(m responseReceived) {
	now := clock.Now()
	a := m.attempt
	x.closeAttempt(a)
	switch {
	case m.head.StatusCode == http.StatusMisdirectedRequest:
		x.handleMisdirected(&m, now)
		x.decideRetry(a, retry.NotRun, &m)
	case m.terms.NotRun:
		x.notRun++
		x.avoidRefusing(&m, now)
		x.markFull(a, m.terms.AtFault, now)
		x.decideRetry(a, retry.NotRun, &m)
	case x.headSent:
		// The caller already has the head of a stream, so no other response can follow, whether it
		// is a success or the endpoint's own failure.
		x.decideRetry(a, retry.Broken, &m)
	case protocol.PromisesNotRun(m.head.StatusCode):
		// The status alone does not prove that the request did not run; only the endpoint's
		// explicit statement does.
		x.decideRetry(a, retry.Unproven, &m)
	case m.head.StatusCode >= http.StatusInternalServerError:
		x.decideRetry(a, retry.Failed, &m)
	default:
		if m.head.StatusCode < http.StatusMultipleChoices {
			x.recordRan(a, now)
		}
		x.recordHeard(a, now)
		x.recordResponseTime(a, now)
		x.deliver(&m)
	}
}

// handleEnd completes the stream of an attempt that ended properly, and handles its failure otherwise.
func (x *exchange) handleEnd(m attemptEnded) {
	a := m.attempt
	now := clock.Now()
	a.disconnected = m.cause != nil && !m.unsent && !m.stale
	x.closeAttempt(a)
	if !m.unsent && isDisconnect(m.cause) {
		x.handleDisconnect(a, now)
	}
	switch {
	case m.cause == nil:
		if !endsWithConnection(a.head) {
			x.recordRan(a, now)
		}
		x.recordHeard(a, now)
		x.endStream()
	case m.unsent:
		x.undoReached(a)
		x.forwarder.reportError(a.endpoint, m.cause, a.sentAt, now)
		x.recordDialFailure(a, m.cause, now)
		if !reachesNone(m.cause) {
			x.ejectFaulty(a, a.endpoint.Spec().Address, metric.EjectedConnection, now)
		}
		if isSilence(m.cause) {
			x.forwarder.silentRunners.watch(a.endpoint, now)
		}
		x.attemptFailed(&m, retry.NeverSent)
	case m.stale:
		// A reused connection closed before the response. The endpoint may have run the request all
		// the same, but is hardly at fault.
		x.attemptFailed(&m, retry.Broken)
	default:
		x.ejectFaulty(a, "", metric.EjectedFailed, now)
		x.attemptFailed(&m, retry.Broken)
	}
}

// handleDisconnect handles a connection that broke off before the end of the response: the endpoint may have
// crashed, or the path of this entry to it is cut. Work is not blamed for a path that is known to be cut.
func (x *exchange) handleDisconnect(a *attempt, now time.Time) {
	if a.throughPeer() == "" {
		if x.forwarder.blocked(a.endpoint) {
			return
		}
		x.forwarder.linkChecks.begin(a.endpoint, now)
	}
	x.reportBroken(a, now)
}
