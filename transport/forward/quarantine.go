// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/crashcheck"
)

// apartFor is how long a request that was at one end is open at a single endpoint before its first
// event. Where it was seen a request ended its endpoint 0.1 to 0.25 s after it was sent; after that
// another send costs less than what a slow endpoint does.
const apartFor = 400 * time.Millisecond

// Quarantine knows which work may end what runs it, from this entry and the others.
type Quarantine interface {
	// Empty reports whether nothing is known against any work.
	Empty() bool
	Status(work protocol.Fingerprint, now time.Time) quarantine.Status
	// IsSuspected reports whether anything was met of some work that running well would clear.
	IsSuspected(work protocol.Fingerprint) bool
	// ReservedEndpoints returns the endpoints at which other such work is on trial.
	ReservedEndpoints(work protocol.Fingerprint, now time.Time) []string
	// MayStartIsolatedRun reports whether a trial begins that may begin at this look.
	MayStartIsolatedRun(now time.Time) bool
	// Report notes what this entry met, and tells the others.
	Report(news protocol.RelayWork, at time.Time)
	// RecordUnresolved notes that it may turn out soon whether a life of an endpoint has ended.
	RecordUnresolved(endpoint string, life protocol.Incarnation, now time.Time)
	crashcheck.Recorder
}

// trialWait is a request that waits until its work may run alone.
type trialWait struct {
	till   time.Time // until when waiting is of use
	lookAt time.Time
	failed *attempt // the last send, nil if there was none
	result retry.Result
	whole  *wholeCame
}

// standing returns what the request's work may do now.
func (x *exchange) standing(now time.Time) quarantine.Status {
	q := x.forwarder.Quarantine
	if q == nil || q.Empty() {
		return quarantine.Unrestricted{}
	}
	return q.Status(x.work(), now)
}

// endsEndpoints refuses a request whose work is known to end what runs it, and returns nil for
// any other.
func (x *exchange) endsEndpoints(now time.Time) *protocol.Refusal {
	if r, refused := x.standing(now).(quarantine.Refused); refused {
		return x.refusal(r)
	}
	return nil
}

// refusal returns what the caller of refused work is told.
func (x *exchange) refusal(r quarantine.Refused) *protocol.Refusal {
	if x.mayHave {
		return protocol.Uncertain(protocol.StageFailed, fmt.Sprintf("%d endpoints ended when they ran this request", r.Crashes()))
	}
	return protocol.Refuse(protocol.EndsEndpoints, fmt.Sprintf("%d endpoints ended when they ran the same request", r.Crashes())).Again(r.Until())
}

// refusedMeanwhile ends a request that is under way while its work is found to end endpoints,
// unless it runs well, which proves the contrary.
func (x *exchange) refusedMeanwhile(now time.Time) {
	r, refused := x.standing(now).(quarantine.Refused)
	if !refused {
		return
	}
	for _, a := range x.live {
		if !a.firstAt.IsZero() && now.Sub(a.firstAt) >= quarantine.SafeAfter {
			a.proven = false
			x.ran(a, now)
			return
		}
	}
	x.mayHave = x.mayHave || len(x.live) > 0
	x.unhold()
	x.trial = nil
	x.stopAll()
	x.finish(x.refusal(r))
}

// restrain keeps a request back whose work must not run now, after its last send or before
// the first, and reports whether it does. It is refused, or waits for its trial. Forgotten with
// its try and at each entry, such a request was sent on until half of the endpoints had ended.
func (x *exchange) restrain(a *attempt, r retry.Result, whole *wholeCame, now time.Time) bool {
	switch s := x.standing(now).(type) {
	case quarantine.Refused:
		x.finish(x.refusal(s))
		return true
	case quarantine.RequireIsolation, quarantine.Waiting:
		x.trial = &trialWait{till: x.trialTill(now), lookAt: now, failed: a, result: r, whole: whole}
		x.forwarder.Counters.Add(metric.RequestsTried, 1)
		x.forwarder.log(event.TrialAwaited, x.id(), slog.String("fingerprint", x.work().String()),
			slog.Int64("till_ms", x.trial.till.Sub(now).Milliseconds()))
		return true
	default:
		return false
	}
}

// trialTill returns until when it is of use to wait for a trial.
func (x *exchange) trialTill(now time.Time) time.Time {
	if till := x.hopeTill(); !till.IsZero() {
		return till
	}
	if till := now.Add(quarantine.IsolationTimeout); till.Before(x.deadline) {
		return till
	}
	return x.deadline
}

// wakeTrial looks whether a request that waits for its trial may run.
func (x *exchange) wakeTrial(now time.Time) {
	t := x.trial
	t.lookAt = now.Add(quarantine.IsolationPollInterval)
	switch s := x.standing(now).(type) {
	case quarantine.Refused:
		x.trial = nil
		x.finish(x.refusal(s))
		return
	case quarantine.Waiting:
		if s.Until().Before(t.lookAt) {
			t.lookAt = s.Until()
		}
	case quarantine.RequireIsolation:
		if x.tryAlone(now) {
			return
		}
	default:
		x.trial = nil
		if t.failed == nil {
			x.begin(now)
			return
		}
		x.goOn(t.failed, t.result, t.whole, now)
		return
	}
	if !now.Before(t.till) {
		x.endTrialWait()
	}
}

// tryAlone sends a request whose turn has come to an endpoint where no other such work is, and
// reports whether it did.
func (x *exchange) tryAlone(now time.Time) bool {
	t, f := x.trial, x.forwarder
	p, ready := x.pickNext(now)
	if !ready || !sound(&p, now, nil) || !x.mayReach(&p) || slices.Contains(f.Quarantine.ReservedEndpoints(x.work(), now), p.Runner(0).Name()) || !f.Quarantine.MayStartIsolatedRun(now) {
		return false
	}
	again := t.failed != nil && t.result != retry.NeverSent
	if again && !f.budgets.take(x.service.Name, now) {
		return false
	}
	if t.failed != nil {
		f.Counters.Retried(reasonOf(t.result))
	}
	x.trial = nil
	x.send(&p)
	x.rhythm.restart(now)
	return true
}

// endTrialWait ends a request that has waited for its trial in vain.
func (x *exchange) endTrialWait() {
	t := x.trial
	x.trial = nil
	again := clock.Now().Add(quarantine.IsolationRetryAfter)
	if t.failed == nil {
		x.finish(protocol.Refuse(protocol.QueueFull, "endpoints ended when they ran this request, and none is free to run it alone").Again(again))
		return
	}
	x.end(retry.FinalAction(t.result, x.mayHave), t.whole, again)
}

// takenBy adds to the runners that a request avoids those at which work is on trial that must
// not meet it.
func (x *exchange) takenBy(avoid []*fleet.Runner, now time.Time) []*fleet.Runner {
	if _, free := x.standing(now).(quarantine.Unrestricted); free {
		return avoid
	}
	avoid = slices.Clip(avoid)
	view := x.forwarder.Roster.View()
	for _, id := range x.forwarder.Quarantine.ReservedEndpoints(x.work(), now) {
		if r := view.Runner(id); r != nil && !slices.Contains(avoid, r) {
			avoid = append(avoid, r)
		}
	}
	return avoid
}

// enrol notes the trial that an attempt is, if its work is not free: other such work keeps
// away from its endpoint.
func (x *exchange) enrol(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	a.life = x.forwarder.Roster.Incarnation(a.endpoint.Name())
	if _, free := x.standing(now).(quarantine.Unrestricted); !free {
		a.trial = true
		q.Report(x.news(a, protocol.WorkTried), now)
	}
}

// dismiss ends the trial that an attempt is.
func (x *exchange) dismiss(a *attempt, now time.Time) {
	if a.trial {
		a.trial = false
		x.forwarder.Quarantine.Report(x.news(a, protocol.WorkTrialOver), now)
	}
}

// broke tells that an attempt's answer broke off, or that its endpoint is lost, soon after the
// work began there. It is told once for each attempt.
func (x *exchange) broke(a *attempt, now time.Time) {
	f := x.forwarder
	if f.Quarantine == nil || a.broken || !a.firstAt.IsZero() && now.Sub(a.firstAt) > quarantine.SafeAfter {
		return
	}
	a.broken = true
	f.Quarantine.Report(x.news(a, protocol.WorkBroke), now)
	if !a.endpoint.Lost(now) {
		f.checkEnd(a, x.service.Engine != nil, now)
	}
}

// ran tells that the work ran well on an attempt, if anything is known against it.
func (x *exchange) ran(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	if a.proven || q == nil || q.Empty() || !q.IsSuspected(x.work()) {
		return
	}
	a.proven = true
	q.Report(x.news(a, protocol.WorkRan), now)
}

// runsOn notes an event of an attempt: work that runs on proves that it does not end its endpoint.
func (x *exchange) runsOn(a *attempt, now time.Time) {
	if a.firstAt.IsZero() {
		a.firstAt = now
	}
	if now.Sub(a.firstAt) >= quarantine.SafeAfter {
		x.dismiss(a, now)
		x.ran(a, now)
	}
}

// news returns what to tell of the request's work at an attempt's endpoint.
func (x *exchange) news(a *attempt, sign protocol.WorkObservation) protocol.RelayWork {
	return protocol.RelayWork{Work: x.work(), Endpoint: a.endpoint.Name(), Incarnation: a.life, Observation: sign}
}

// lostUnder tells of open attempts whose endpoint is lost before their connection breaks, or
// that wait for a later stage of their path.
func (x *exchange) lostUnder(now time.Time) {
	for _, a := range x.live {
		if a.endpoint.Lost(now) {
			x.broke(a, now)
		}
		x.brokeBehind(a, now)
	}
}

// brokeBehind tells that later stages of an attempt's path are lost, if the work had not run for
// long by then. The answer does not break off then, and a change of path would have the next
// engine run the work.
func (x *exchange) brokeBehind(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	if q == nil || !a.firstAt.IsZero() && x.rhythm.last.Sub(a.firstAt) >= quarantine.SafeAfter {
		return
	}
	for i := 1; i < a.path.Len(); i++ {
		r := a.path.Runner(i)
		if !r.Lost(now) || slices.Contains(a.lost, r) {
			continue
		}
		a.lost = append(a.lost, r)
		x.forwarder.log(event.StageLost, x.id(), slog.Int("attempt", a.number), slog.String("endpoint", r.Name()),
			slog.String("fingerprint", x.work().String()))
		q.Report(protocol.RelayWork{
			Work: x.work(), Endpoint: r.Name(), Incarnation: x.forwarder.Roster.Incarnation(r.Name()), Observation: protocol.WorkBrokeBehind,
		}, now)
	}
}

// mayMove reports whether the request may be put on other engines while it is open: not if
// those may end under it.
func (x *exchange) mayMove(now time.Time) bool {
	switch x.standing(now).(type) {
	case quarantine.Unrestricted, quarantine.PreferIsolation:
		return true
	default:
		return false
	}
}

// mayHedge reports whether a request may be open at two endpoints: not if it may end both.
func (x *exchange) mayHedge(silent *attempt, now time.Time) bool {
	switch x.standing(now).(type) {
	case quarantine.Unrestricted:
		return true
	case quarantine.PreferIsolation:
		return !silent.firstAt.IsZero() || now.Sub(silent.sentAt) >= apartFor
	default:
		return false
	}
}

// leaveLost gives up an attempt that waits for a lost endpoint, for a request that may not be open
// at two. It reports whether it did.
func (x *exchange) leaveLost(a *attempt, now time.Time) bool {
	if len(lostOf(a, now)) == 0 || len(x.live) != 1 || x.live[0] != a {
		return false
	}
	if a.endpoint.Lost(now) {
		x.broke(a, now)
	}
	x.drop(a)
	x.decide(a, retry.Broken, nil)
	return true
}

// brokeOff reports whether an attempt ended as it does when its endpoint ends, and not
// because the endpoint sent something wrong.
func brokeOff(cause error) bool {
	return errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) || errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
}

// ApplyRefusal tells requests under way that some work is refused from now on.
func (f *Forwarder) ApplyRefusal(r *quarantine.Refusal) {
	f.Counters.Add(metric.WorkRefused, 1)
	f.log(event.WorkRefused, slog.String("fingerprint", r.Work().String()), slog.Int("ends", len(r.Crashes())),
		slog.Int64("till_ms", clock.Until(r.Until()).Milliseconds()))
	f.RecheckRefusals()
}

// RecheckRefusals has requests under way look whether their work is refused.
func (f *Forwarder) RecheckRefusals() { f.refusals.Tell() }
