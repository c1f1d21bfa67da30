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
	// againFull is when to come back after an endpoint refused for want of room.
	againFull = 200 * time.Millisecond
	// againNoPath is when to come back when layers have no holder: loading them
	// takes one to two seconds.
	againNoPath = time.Second
)

// decide does what the retry policy says after a send without a good answer.
func (x *exchange) decide(a *attempt, r retry.Result, whole *wholeCame) {
	now := clock.Now()
	if r == retry.Failed || r == retry.Broken {
		x.mayHave = true
	}
	if len(x.live) > 0 {
		return
	}
	if a.path.Len() == 1 {
		x.avoid = append(x.avoid, a.endpoint)
	}
	x.goOn(a, r, whole, now)
}

// goOn decides what follows the last of all sends.
func (x *exchange) goOn(a *attempt, r retry.Result, whole *wholeCame, now time.Time) {
	if r != retry.Failed && (x.route.MayRepeat() || !x.mayHave) && x.restrain(a, r, whole, now) {
		return
	}
	p, ready := x.pickNext(now)
	hope := x.hopeTill()
	next := x.forwarder.budgets.resend(x.service.Name, retry.FailedAttempt{
		Result: r, MayRepeat: x.route.MayRepeat(), MayHaveRun: x.mayHave,
		EndpointAllowed: x.mayReachMore(), EndpointReady: ready && x.mayReach(&p), Unreachable: x.unsent, Now: now, Deadline: x.deadline, WaitUntil: hope,
	})
	switch next {
	case retry.Resend:
		x.forwarder.Counters.Retried(reasonOf(r))
		x.send(&p)
		x.rhythm.restart(now)
	case retry.Enqueue:
		if again, ok := x.wait(a, r, whole, hope, now); !ok {
			x.end(retry.FinalAction(r, x.mayHave), whole, again)
		}
	default:
		x.end(next, whole, now.Add(againFull))
	}
}

// pickNext chooses a path for a further send and reports whether it can take it now. A
// plain service's endpoints take it whenever there are any.
func (x *exchange) pickNext(now time.Time) (path.Path, bool) {
	if x.service.Engine == nil {
		p, found := x.pick(now)
		return p, found && x.fits(&p)
	}
	return x.pickReady(now)
}

// end ends the request as the retry policy says.
func (x *exchange) end(next retry.Action, whole *wholeCame, again time.Time) {
	switch next {
	case retry.Deliver:
		x.deliver(whole)
	case retry.Refuse:
		x.finish(protocol.Refuse(protocol.RetriesSpent, "no endpoint could take the request").Again(again))
	case retry.Expire:
		x.finish(expired())
	default:
		x.finish(protocol.Uncertain(protocol.StageFailed, "the endpoint broke the answer off"))
	}
}

// ended logs the end of an attempt and decides what comes next, unless another
// attempt is still open.
func (x *exchange) ended(a *attempt, r retry.Result, cause error) {
	x.forwarder.log(event.AttemptBroken, x.id(), slog.Int("attempt", a.number), slog.String("endpoint", a.endpoint.Name()),
		slog.Int("events", x.events), slog.String("fingerprint", x.work().String()), slog.String("cause", cause.Error()))
	x.decide(a, r, nil)
}

func reasonOf(r retry.Result) metric.Reason {
	switch r {
	case retry.NeverSent:
		return metric.NotSent
	case retry.NotRun:
		return metric.Overloaded
	default:
		return metric.StreamError
	}
}

// expired is the refusal of a request whose time is over: it may have run.
func expired() *protocol.Refusal {
	return protocol.Uncertain(protocol.DeadlinePassed, "the time of the request is over")
}

// noPath is the refusal of a request that no path leads to.
func noPath() *protocol.Refusal {
	return protocol.Refuse(protocol.NoPath, "no path holds every layer").Again(clock.Now().Add(againNoPath))
}
