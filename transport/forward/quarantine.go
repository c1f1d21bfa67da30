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

// singleEndpointTime is how long a request that was running when an endpoint crashed stays at a
// single endpoint before its first event. Requests that crashed their endpoint did so 0.1 to 0.25 s
// after they were sent; after that, a second attempt costs less than waiting for a slow endpoint.
const singleEndpointTime = 400 * time.Millisecond

// Quarantine tracks work that may crash the endpoints that run it, from the observations of all
// entries.
type Quarantine interface {
	// Empty reports whether there are no observations about any work.
	Empty() bool
	// Status returns what a request may do now.
	Status(content *quarantine.Content, now time.Time) quarantine.Status
	// IsSuspected reports whether there are observations about the request's work or parts that a
	// successful run would clear.
	IsSuspected(content *quarantine.Content) bool
	// ReservedEndpoints returns the endpoints that are reserved for isolated runs of other work.
	ReservedEndpoints(content *quarantine.Content, now time.Time) []string
	// MayStartIsolatedRun reports whether an isolated run may start at this check, if its wait began
	// at a time and the given number of entries may start it.
	MayStartIsolatedRun(now, since time.Time, entries int) bool
	// Report records an observation of this entry and passes it to the other entries.
	Report(report protocol.WorkReport, at time.Time)
	// RecordUnresolved records that it may become known soon whether an incarnation of an endpoint
	// has crashed.
	RecordUnresolved(endpoint string, incarnation protocol.Incarnation, now time.Time)
	// RecordLeaving records that an incarnation of an endpoint said that it leaves.
	RecordLeaving(endpoint string, incarnation protocol.Incarnation, at time.Time)
	// RecordParts records that parts of prompts ran well at this entry.
	RecordParts(parts []protocol.Fingerprint, at time.Time)
	// PartRuns returns how often and when a part ran well at this entry.
	PartRuns(part protocol.Fingerprint) quarantine.Runs
	crashcheck.Recorder
}

// quarantineStatus returns what the request's work may do now.
func (x *exchange) quarantineStatus(now time.Time) quarantine.Status {
	q := x.forwarder.Quarantine
	if q == nil || q.Empty() {
		return quarantine.Unrestricted{}
	}
	return q.Status(x.workContent(), now)
}

// checkQuarantine returns the refusal of a request whose work is known to crash endpoints, and nil
// for any other.
func (x *exchange) checkQuarantine(now time.Time) *protocol.Refusal {
	if r, refused := x.quarantineStatus(now).(quarantine.Refused); refused {
		return x.quarantineRefusal(r)
	}
	return nil
}

// quarantineRefusal returns the refusal of quarantined work.
func (x *exchange) quarantineRefusal(r quarantine.Refused) *protocol.Refusal {
	what := "the same request"
	if r.Part() {
		what = "requests with the same part in their prompts"
	}
	x.forwarder.log(event.QuarantineApplied, x.requestAttr(), slog.String("fingerprint", r.Suspect().String()), slog.Bool("part", r.Part()),
		slog.Int("ends", r.Crashes()), slog.Int64("last_ms", clock.Since(r.LastCrash()).Milliseconds()))
	message := fmt.Sprintf("%d endpoints ended when they ran %s", r.Crashes(), what)
	if x.mayHaveRun {
		return protocol.Uncertain(protocol.StageFailed, message)
	}
	return protocol.Refuse(protocol.CrashesEndpoints, message).WithRetryAt(r.Until())
}

// cancelRefused ends an open request whose work has been found to crash endpoints, unless an
// attempt has run long enough to prove the contrary.
func (x *exchange) cancelRefused(now time.Time) {
	r, refused := x.quarantineStatus(now).(quarantine.Refused)
	if !refused {
		return
	}
	for _, a := range x.open {
		if a.firstEventAt.IsZero() {
			continue
		}
		if now.Sub(a.firstEventAt) >= quarantine.SafeAfter {
			a.reportedRan = false
			x.reportRan(a, now)
			return
		}
		if r.Part() {
			return // it has begun without a crash, and may soon clear the part
		}
	}
	x.mayHaveRun = x.mayHaveRun || len(x.open) > 0
	x.dequeue()
	x.endIsolationWait()
	x.closeAttempts()
	x.fail(x.quarantineRefusal(r))
}

// applyQuarantine holds back a request whose work must not run now, after its last attempt or
// before the first, and reports whether it does. The request is refused or waits to run isolated.
// Without this, each entry retried such a request on its own until half of the endpoints had
// crashed.
func (x *exchange) applyQuarantine(a *attempt, r retry.Result, response *responseReceived, now time.Time) bool {
	switch s := x.quarantineStatus(now).(type) {
	case quarantine.Refused:
		x.fail(x.quarantineRefusal(s))
		return true
	case quarantine.RequireIsolation, quarantine.Waiting:
		if !x.forwarder.isolationWaits.enter() {
			x.refuseIsolation(a, r, response)
			return true
		}
		x.isolation = &isolationWait{deadline: x.isolationDeadline(now), recheckAt: now, failed: a, result: r, response: response}
		x.forwarder.Counters.Add(metric.IsolatedRuns, 1)
		x.forwarder.log(event.IsolatedRunAwaited, x.requestAttr(), slog.String("fingerprint", x.workFingerprint().String()),
			slog.Int64("till_ms", x.isolation.deadline.Sub(now).Milliseconds()))
		return true
	default:
		return false
	}
}

// avoidReserved adds to the runners that a request avoids those that are reserved for isolated runs.
func (x *exchange) avoidReserved(avoid []*fleet.Runner, now time.Time) []*fleet.Runner {
	q := x.forwarder.Quarantine
	if q == nil || q.Empty() {
		return avoid
	}
	avoid = slices.Clip(avoid)
	view := x.forwarder.Registry.View()
	for _, id := range q.ReservedEndpoints(x.workContent(), now) {
		if r := view.Runner(id); r != nil && !slices.Contains(avoid, r) {
			avoid = append(avoid, r)
		}
	}
	return avoid
}

// markIsolated reports that an attempt runs quarantined work, so that other such work avoids its
// endpoint.
func (x *exchange) markIsolated(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	a.incarnation = x.forwarder.Registry.Incarnation(a.endpoint.Name())
	if _, unrestricted := x.quarantineStatus(now).(quarantine.Unrestricted); !unrestricted {
		a.isolated = true
		q.Report(x.workReport(a, protocol.WorkIsolatedRun), now)
	}
}

// clearIsolated reports that an attempt no longer runs quarantined work.
func (x *exchange) clearIsolated(a *attempt, now time.Time) {
	if a.isolated {
		a.isolated = false
		x.forwarder.Quarantine.Report(x.workReport(a, protocol.WorkIsolatedRunOver), now)
	}
}

// reportBroken reports that an attempt's response was aborted, or that its endpoint is lost, soon
// after the work began there. It reports that once for each attempt.
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

// reportRan reports that the work ran well on an attempt, if there are observations against it.
func (x *exchange) reportRan(a *attempt, now time.Time) {
	q := x.forwarder.Quarantine
	if a.reportedRan || q == nil || q.Empty() || !q.IsSuspected(x.workContent()) {
		return
	}
	a.reportedRan = true
	q.Report(x.workReport(a, protocol.WorkRan), now)
}

// recordRan records that the work and its parts ran well on an attempt, and reports it if there are observations
// against them.
func (x *exchange) recordRan(a *attempt, now time.Time) {
	x.recordParts(a, now)
	x.reportRan(a, now)
}

// recordProgress records an event of an attempt. Work that keeps running proves that it does not
// crash its endpoint.
func (x *exchange) recordProgress(a *attempt, now time.Time) {
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	if now.Sub(a.firstEventAt) >= quarantine.SafeAfter {
		x.clearIsolated(a, now)
		x.recordRan(a, now)
	}
}

// workReport returns a report about the request's work at an attempt's endpoint.
func (x *exchange) workReport(a *attempt, observation protocol.WorkObservation) protocol.WorkReport {
	return protocol.WorkReport{
		Work: x.workFingerprint(), Parts: x.partFingerprints(), Endpoint: a.endpoint.Name(), Incarnation: a.incarnation, Observation: observation,
	}
}

// reportLostEndpoints reports open attempts whose endpoint is lost before their connection breaks,
// or whose path has lost a later stage.
func (x *exchange) reportLostEndpoints(now time.Time) {
	for _, a := range x.open {
		if a.endpoint.Lost(now) {
			x.reportBroken(a, now)
		}
		x.reportLostStages(a, now)
	}
}

// reportLostStages reports that later stages of an attempt's path are lost, if the work had not run
// for long by then. The response is not aborted in that case, and a path change would make the next
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
		q.Report(protocol.WorkReport{
			Work: x.workFingerprint(), Parts: x.partFingerprints(), Endpoint: r.Name(), Incarnation: x.forwarder.Registry.Incarnation(r.Name()), Observation: protocol.WorkBrokeAtLaterStage,
		}, now)
	}
}

// mayChangeEndpoints reports whether the request may be moved to other engines while it is open. It
// may not if it could crash those.
func (x *exchange) mayChangeEndpoints(now time.Time) bool {
	switch x.quarantineStatus(now).(type) {
	case quarantine.Unrestricted, quarantine.PreferIsolation:
		return true
	default:
		return false
	}
}

// mayHedge reports whether a request may be open at two endpoints. It may not if it could crash
// both.
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

// abandonGone closes an attempt that waits for an endpoint that is gone, for a request that may not be open
// at two endpoints. It reports whether it did.
func (x *exchange) abandonGone(a *attempt, now time.Time) bool {
	if !waitsForGone(a, now) || len(x.open) != 1 || x.open[0] != a {
		return false
	}
	if a.endpoint.Lost(now) {
		x.reportBroken(a, now)
	}
	x.closeAttempt(a)
	x.decideRetry(a, retry.Broken, nil)
	return true
}

// waitsForGone reports whether a runner of an attempt's path is gone.
func waitsForGone(a *attempt, now time.Time) bool {
	return slices.ContainsFunc(lostRunners(a, now), func(r *fleet.Runner) bool { return r.Gone(now) })
}

// isDisconnect reports whether an attempt ended the way it does when its endpoint crashes, and not
// because the endpoint sent something invalid.
func isDisconnect(cause error) bool {
	return errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) || errors.Is(cause, errTruncatedEvent) ||
		errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
}

// ApplyRefusal makes open requests check whether their work is refused from now on.
func (f *Forwarder) ApplyRefusal(r *quarantine.Refusal) {
	f.Counters.Add(metric.WorkRefused, 1)
	f.log(event.WorkRefused, slog.String("fingerprint", r.Suspect().String()), slog.Bool("part", r.Part()), slog.Int("with", len(r.With())),
		slog.Int("ends", len(r.Crashes())), slog.String("crashes", r.CrashesText(time.Now())), slog.Int64("till_ms", clock.Until(r.Until()).Milliseconds()))
	f.RecheckRefusals()
}

// RecheckRefusals makes open requests check whether their work is refused.
func (f *Forwarder) RecheckRefusals() { f.refusals.Broadcast() }
