// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

const (
	// capacityRetryAfter is the Retry-After after an endpoint refused for lack of capacity.
	capacityRetryAfter = 200 * time.Millisecond
	// noPathRetryAfter is the Retry-After while no runner holds some layers: loading them takes one
	// to two seconds.
	noPathRetryAfter = time.Second
)

// decideRetry applies the retry policy after an attempt without a good response, unless another
// attempt is still open.
func (x *exchange) decideRetry(a *attempt, r retry.Result, response *responseReceived) {
	now := clock.Now()
	if r.MayHaveRun() {
		x.mayHaveRun = true
	}
	if len(x.open) > 0 {
		return
	}
	if a.path.Len() == 1 {
		x.avoid = append(x.avoid, a.endpoint)
	}
	x.retryOrFinish(a, r, response, now)
}

// retryOrFinish applies the retry policy once no attempt is open.
func (x *exchange) retryOrFinish(a *attempt, r retry.Result, response *responseReceived, now time.Time) {
	if !r.Answered() && (x.mayRepeat() || !x.mayHaveRun) && x.applyQuarantine(a, r, response, now) {
		return
	}
	p, ready := x.pickNext(now)
	waitUntil := x.queueDeadline()
	next := x.forwarder.retryBudgets.decide(x.service.Name, retry.FailedAttempt{
		Result: r, MayRepeat: x.mayRepeat(), MayHaveRun: x.mayHaveRun,
		EndpointAllowed: x.mayRetry() && !x.stopsTooSoon(now), EndpointReady: ready && x.mayReach(&p), Unreachable: x.unsent, NonReachable: x.unreachable.none, SilentUntil: x.silentUntil(),
		Now: now, Deadline: x.deadline, WaitUntil: waitUntil,
	})
	switch next {
	case retry.Resend:
		if !x.startOn(p, x.pickNext, now) {
			x.waitOrEnd(a, r, response, waitUntil, now)
			return
		}
		x.discardResponse(response)
		x.forwarder.Counters.CountRetry(retryReason(r))
		x.timing.restart(now)
	case retry.Enqueue:
		x.waitOrEnd(a, r, response, waitUntil, now)
	default:
		x.endWith(next, response, x.retryAt(now))
	}
}

// waitOrEnd queues a request for capacity after an attempt without a good response. It ends the
// request if waiting is useless.
func (x *exchange) waitOrEnd(a *attempt, r retry.Result, response *responseReceived, waitUntil, now time.Time) {
	if x.service.Engine == nil {
		x.endWith(retry.FinalAction(r, x.mayHaveRun), response, x.retryAt(now))
		return
	}
	if retryAt, ok := x.enqueue(a, r, response, waitUntil, now); !ok {
		x.endWith(retry.FinalAction(r, x.mayHaveRun), response, retryAt)
	}
}

// pickNext chooses a path for a further attempt and reports whether the path can take it now.
// Endpoints of a plain service can whenever there are any with capacity for the body.
func (x *exchange) pickNext(now time.Time) (path.Path, bool) {
	if x.service.Engine == nil {
		p, found := x.pickPath(now)
		return p, found && x.fits(&p)
	}
	return x.pickReady(now)
}

// endWith ends the request as the retry policy says.
func (x *exchange) endWith(next retry.Action, response *responseReceived, retryAt time.Time) {
	switch next {
	case retry.Deliver:
		x.deliver(response)
	case retry.Refuse:
		x.fail(protocol.Refuse(protocol.RetriesSpent, "no endpoint could take the request").WithRetryAt(retryAt))
	case retry.Expire:
		x.fail(deadlinePassed())
	default:
		x.fail(protocol.Uncertain(protocol.StageFailed, "the endpoint broke the answer off"))
	}
}

// attemptFailed logs the failure of an attempt and applies the retry policy.
func (x *exchange) attemptFailed(m *attemptEnded, r retry.Result) {
	a := m.attempt
	x.forwarder.log(event.AttemptBroken, x.requestAttr(), slog.Int("attempt", a.number), slog.String("endpoint", a.endpoint.Name()),
		slog.Int("events", x.events), slog.String("fingerprint", x.workFingerprint().String()), x.partsAttr(clock.Now()),
		slog.Int("sent_bytes", m.sent), slog.Int("partial_bytes", m.partial), slog.String("last", x.lastEvent), slog.String("cause", m.cause.Error()))
	x.decideRetry(a, r, nil)
}

// retryReason returns the reason under which a retry is counted.
func retryReason(r retry.Result) metric.Reason {
	switch r {
	case retry.NeverSent:
		return metric.NotSent
	case retry.NotRun:
		return metric.Overloaded
	default:
		return metric.StreamError
	}
}

// deadlinePassed is the refusal of a request whose deadline has passed. The request may have run.
func deadlinePassed() *protocol.Refusal {
	return protocol.Uncertain(protocol.DeadlinePassed, "the time of the request is over")
}

// noPath is the refusal of a request that no path can serve.
func noPath() *protocol.Refusal {
	return protocol.Refuse(protocol.NoPath, "no path holds every layer").WithRetryAt(clock.Now().Add(noPathRetryAfter))
}
