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

// singleEndpointTime is how long a request that was at one end is open at a single endpoint before its first
// event. Where it was seen a request ended its endpoint 0.1 to 0.25 s after it was sent; after that
// another send costs less than what a slow endpoint does.
const singleEndpointTime = 400 * time.Millisecond

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

// isolationWait is a request that waits until its work may run alone.
type isolationWait struct {
	deadline  time.Time // until when waiting is of use
	recheckAt time.Time
	failed    *attempt // the last send, nil if there was none
	result    retry.Result
	response  *responseReceived
}

// quarantineStatus returns what the request's work may do now.
func (x *exchange) quarantineStatus(now time.Time) quarantine.Status {
	q := x.forwarder.Quarantine
	if q == nil || q.Empty() {
		return quarantine.Unrestricted{}
	}
	return q.Status(x.workFingerprint(), now)
}

// checkQuarantine refuses a request whose work is known to end what runs it, and returns nil for
// any other.
func (x *exchange) checkQuarantine(now time.Time) *protocol.Refusal {
	if r, refused := x.quarantineStatus(now).(quarantine.Refused); refused {
		return x.quarantineRefusal(r)
	}
	return nil
}

// quarantineRefusal returns what the caller of refused work is told.
func (x *exchange) quarantineRefusal(r quarantine.Refused) *protocol.Refusal {
	if x.mayHaveRun {
		return protocol.Uncertain(protocol.StageFailed, fmt.Sprintf("%d endpoints ended when they ran this request", r.Crashes()))
	}
	return protocol.Refuse(protocol.EndsEndpoints, fmt.Sprintf("%d endpoints ended when they ran the same request", r.Crashes())).Again(r.Until())
}

// cancelRefused ends a request that is under way while its work is found to end endpoints,
// unless it runs well, which proves the contrary.
func (x *exchange) cancelRefused(now time.Time) {
	r, refused := x.quarantineStatus(now).(quarantine.Refused)
	if !refused {
		return
	}
	for _, a := range x.open {
		if !a.firstEventAt.IsZero() && now.Sub(a.firstEventAt) >= quarantine.SafeAfter {
			a.reportedRan = false
			x.reportRan(a, now)
			return
		}
	}
	x.mayHaveRun = x.mayHaveRun || len(x.open) > 0
	x.dequeue()
	x.isolation = nil
	x.closeAttempts()
	x.fail(x.quarantineRefusal(r))
}

// applyQuarantine keeps a request back whose work must not run now, after its last send or before
// the first, and reports whether it does. It is refused, or waits for its trial. Forgotten with
// its try and at each entry, such a request was sent on until half of the endpoints had ended.
func (x *exchange) applyQuarantine(a *attempt, r retry.Result, whole *responseReceived, now time.Time) bool {
	switch s := x.quarantineStatus(now).(type) {
	case quarantine.Refused:
		x.fail(x.quarantineRefusal(s))
		return true
	case quarantine.RequireIsolation, quarantine.Waiting:
		x.isolation = &isolationWait{deadline: x.isolationDeadline(now), recheckAt: now, failed: a, result: r, response: whole}
		x.forwarder.Counters.Add(metric.RequestsTried, 1)
		x.forwarder.log(event.TrialAwaited, x.requestAttr(), slog.String("fingerprint", x.workFingerprint().String()),
			slog.Int64("till_ms", x.isolation.deadline.Sub(now).Milliseconds()))
		return true
	default:
		return false
	}
}

// isolationDeadline returns until when it is of use to wait for a trial.
func (x *exchange) isolationDeadline(now time.Time) time.Time {
	if till := x.queueDeadline(); !till.IsZero() {
		return till
	}
	if till := now.Add(quarantine.IsolationTimeout); till.Before(x.deadline) {
		return till
	}
	return x.deadline
}

// checkIsolation looks whether a request that waits for its trial may run.
func (x *exchange) checkIsolation(now time.Time) {
	t := x.isolation
	t.recheckAt = now.Add(quarantine.IsolationPollInterval)
	switch s := x.quarantineStatus(now).(type) {
	case quarantine.Refused:
		x.isolation = nil
		x.fail(x.quarantineRefusal(s))
		return
	case quarantine.Waiting:
		if s.Until().Before(t.recheckAt) {
			t.recheckAt = s.Until()
		}
	case quarantine.RequireIsolation:
		if x.startIsolated(now) {
			return
		}
	default:
		x.isolation = nil
		if t.failed == nil {
			x.start(now)
			return
		}
		x.retryOrFinish(t.failed, t.result, t.response, now)
		return
	}
	if !now.Before(t.deadline) {
		x.expireIsolation()
	}
}

// startIsolated sends a request whose turn has come to an endpoint where no other such work is, and
// reports whether it did.
func (x *exchange) startIsolated(now time.Time) bool {
	t, f := x.isolation, x.forwarder
	p, ready := x.pickNext(now)
	if !ready || !pathHealthy(&p, now, nil) || !x.mayReach(&p) || slices.Contains(f.Quarantine.ReservedEndpoints(x.workFingerprint(), now), p.Runner(0).Name()) || !f.Quarantine.MayStartIsolatedRun(now) {
		return false
	}
	again := t.failed != nil && t.result != retry.NeverSent
	if again && !f.retryBudgets.takeRetry(x.service.Name, now) {
		return false
	}
	if t.failed != nil {
		f.Counters.Retried(retryReason(t.result))
	}
	x.isolation = nil
	x.startAttempt(&p)
	x.timing.restart(now)
	return true
}

// expireIsolation ends a request that has waited for its trial in vain.
func (x *exchange) expireIsolation() {
	t := x.isolation
	x.isolation = nil
	again := clock.Now().Add(quarantine.IsolationRetryAfter)
	if t.failed == nil {
		x.fail(protocol.Refuse(protocol.QueueFull, "endpoints ended when they ran this request, and none is free to run it alone").Again(again))
		return
	}
	x.endWith(retry.FinalAction(t.result, x.mayHaveRun), t.response, again)
}

// avoidReserved adds to the runners that a request avoids those at which work is on trial that must
// not meet it.
func (x *exchange) avoidReserved(avoid []*fleet.Runner, now time.Time) []*fleet.Runner {
	if _, free := x.quarantineStatus(now).(quarantine.Unrestricted); free {
		return avoid
	}
	avoid = slices.Clip(avoid)
	view := x.forwarder.Registry.View()
	for _, id := range x.forwarder.Quarantine.ReservedEndpoints(x.workFingerprint(), now) {
		if r := view.Runner(id); r != nil && !slices.Contains(avoid, r) {
			avoid = append(avoid, r)
		}
	}
	return avoid
}

// markIsolated notes the trial that an attempt is, if its work is not free: other such work keeps
// away from its endpoint.
func (x *exchange) markIsolated(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	a.incarnation = x.forwarder.Registry.Incarnation(a.endpoint.Name())
	if _, free := x.quarantineStatus(now).(quarantine.Unrestricted); !free {
		a.isolated = true
		q.Report(x.workReport(a, protocol.WorkTried), now)
	}
}

// clearIsolated ends the trial that an attempt is.
func (x *exchange) clearIsolated(a *attempt, now time.Time) {
	if a.isolated {
		a.isolated = false
		x.forwarder.Quarantine.Report(x.workReport(a, protocol.WorkTrialOver), now)
	}
}

// reportBroken tells that an attempt's answer reportBroken off, or that its endpoint is lost, soon after the
// work began there. It is told once for each attempt.
func (x *exchange) reportBroken(a *attempt, now time.Time) {
	f := x.forwarder
	if f.Quarantine == nil || a.reportedBroken || !a.firstEventAt.IsZero() && now.Sub(a.firstEventAt) > quarantine.SafeAfter {
		return
	}
	a.reportedBroken = true
	f.Quarantine.Report(x.workReport(a, protocol.WorkBroke), now)
	if !a.endpoint.Lost(now) {
		f.startCrashProbe(a, x.service.Engine != nil, now)
	}
}

// reportRan tells that the work reportRan well on an attempt, if anything is known against it.
func (x *exchange) reportRan(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	if a.reportedRan || q == nil || q.Empty() || !q.IsSuspected(x.workFingerprint()) {
		return
	}
	a.reportedRan = true
	q.Report(x.workReport(a, protocol.WorkRan), now)
}

// recordProgress notes an event of an attempt: work that runs on proves that it does not end its endpoint.
func (x *exchange) recordProgress(a *attempt, now time.Time) {
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	if now.Sub(a.firstEventAt) >= quarantine.SafeAfter {
		x.clearIsolated(a, now)
		x.reportRan(a, now)
	}
}

// workReport returns what to tell of the request's work at an attempt's endpoint.
func (x *exchange) workReport(a *attempt, sign protocol.WorkObservation) protocol.RelayWork {
	return protocol.RelayWork{Work: x.workFingerprint(), Endpoint: a.endpoint.Name(), Incarnation: a.incarnation, Observation: sign}
}

// reportLostEndpoints tells of open attempts whose endpoint is lost before their connection breaks, or
// that wait for a later stage of their path.
func (x *exchange) reportLostEndpoints(now time.Time) {
	for _, a := range x.open {
		if a.endpoint.Lost(now) {
			x.reportBroken(a, now)
		}
		x.reportLostStages(a, now)
	}
}

// reportLostStages tells that later stages of an attempt's path are lost, if the work had not run for
// long by then. The answer does not break off then, and a change of path would have the next
// engine run the work.
func (x *exchange) reportLostStages(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	if q == nil || !a.firstEventAt.IsZero() && x.timing.lastEvent.Sub(a.firstEventAt) >= quarantine.SafeAfter {
		return
	}
	for i := 1; i < a.path.Len(); i++ {
		r := a.path.Runner(i)
		if !r.Lost(now) || slices.Contains(a.reportedLost, r) {
			continue
		}
		a.reportedLost = append(a.reportedLost, r)
		x.forwarder.log(event.StageLost, x.requestAttr(), slog.Int("attempt", a.number), slog.String("endpoint", r.Name()),
			slog.String("fingerprint", x.workFingerprint().String()))
		q.Report(protocol.RelayWork{
			Work: x.workFingerprint(), Endpoint: r.Name(), Incarnation: x.forwarder.Registry.Incarnation(r.Name()), Observation: protocol.WorkBrokeBehind,
		}, now)
	}
}

// mayChangeEndpoints reports whether the request may be put on other engines while it is open: not if
// those may end under it.
func (x *exchange) mayChangeEndpoints(now time.Time) bool {
	switch x.quarantineStatus(now).(type) {
	case quarantine.Unrestricted, quarantine.PreferIsolation:
		return true
	default:
		return false
	}
}

// mayHedge reports whether a request may be open at two endpoints: not if it may end both.
func (x *exchange) mayHedge(silent *attempt, now time.Time) bool {
	switch x.quarantineStatus(now).(type) {
	case quarantine.Unrestricted:
		return true
	case quarantine.PreferIsolation:
		return !silent.firstEventAt.IsZero() || now.Sub(silent.sentAt) >= singleEndpointTime
	default:
		return false
	}
}

// abandonLost gives up an attempt that waits for a lost endpoint, for a request that may not be open
// at two. It reports whether it did.
func (x *exchange) abandonLost(a *attempt, now time.Time) bool {
	if len(lostRunners(a, now)) == 0 || len(x.open) != 1 || x.open[0] != a {
		return false
	}
	if a.endpoint.Lost(now) {
		x.reportBroken(a, now)
	}
	x.closeAttempt(a)
	x.decideRetry(a, retry.Broken, nil)
	return true
}

// isDisconnect reports whether an attempt ended as it does when its endpoint ends, and not
// because the endpoint sent something wrong.
func isDisconnect(cause error) bool {
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
