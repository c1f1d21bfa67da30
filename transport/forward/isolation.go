// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// isolationWait is the state of a request that waits until its work may run isolated.
type isolationWait struct {
	deadline  time.Time // until when waiting is useful
	recheckAt time.Time
	since     time.Time // from when no other run was in the way
	failed    *attempt  // the last attempt, nil if there was none
	result    retry.Result
	response  *responseReceived
}

// maxIsolationWaits bounds the requests that wait at this entry for an isolated run. One runs at a time, in less than
// half a second, so later ones would wait in vain and hold their bodies meanwhile.
const maxIsolationWaits = 32

// isolationWaits counts the requests that wait for an isolated run.
type isolationWaits struct{ count atomic.Int64 }

// enter counts one more and reports whether it may wait.
func (w *isolationWaits) enter() bool {
	if w.count.Add(1) <= maxIsolationWaits {
		return true
	}
	w.count.Add(-1)
	return false
}

func (w *isolationWaits) leave() { w.count.Add(-1) }

// endIsolationWait ends the wait for an isolated run, if there is one.
func (x *exchange) endIsolationWait() {
	if x.isolation != nil {
		x.isolation = nil
		x.forwarder.isolationWaits.leave()
	}
}

// isolationDeadline returns until when waiting for an isolated run is useful.
func (x *exchange) isolationDeadline(now time.Time) time.Time {
	if deadline := x.queueDeadline(); !deadline.IsZero() {
		return deadline
	}
	if deadline := now.Add(quarantine.IsolationTimeout); deadline.Before(x.deadline) {
		return deadline
	}
	return x.deadline
}

// checkIsolation checks whether a request that waits for an isolated run may start.
func (x *exchange) checkIsolation(now time.Time) {
	wait := x.isolation
	wait.recheckAt = now.Add(quarantine.IsolationPollInterval)
	switch s := x.quarantineStatus(now).(type) {
	case quarantine.Refused:
		x.endIsolationWait()
		x.fail(x.quarantineRefusal(s))
		return
	case quarantine.Waiting:
		wait.since = time.Time{}
		if s.Until().Before(wait.recheckAt) {
			wait.recheckAt = s.Until()
		}
	case quarantine.RequireIsolation:
		if wait.since.IsZero() {
			wait.since = now
		}
		if x.startIsolated(now, s.Shared()) {
			return
		}
	default:
		x.endIsolationWait()
		if wait.failed == nil {
			x.start(now)
			return
		}
		x.retryOrFinish(wait.failed, wait.result, wait.response, now)
		return
	}
	if !now.Before(wait.deadline) {
		x.expireIsolation()
	}
}

// startIsolated sends a request that may run isolated to an endpoint without other quarantined
// work, and reports whether it did. Shared says that requests at other entries may wait for the same run.
func (x *exchange) startIsolated(now time.Time, shared bool) bool {
	wait, f := x.isolation, x.forwarder
	entries := 1
	if shared {
		entries = f.EntryCount()
	}
	p, ready := x.pickNext(now)
	if !ready || !pathHealthy(&p, now, nil) || !x.mayReach(&p) || slices.Contains(f.Quarantine.ReservedEndpoints(x.workContent(), now), p.Runner(0).Name()) || !f.Quarantine.MayStartIsolatedRun(now, wait.since, entries) {
		return false
	}
	isRetry := wait.failed != nil && wait.result != retry.NeverSent
	if isRetry && !f.retryBudgets.takeRetry(x.service.Name, now) {
		return false
	}
	if !x.startAttempt(&p) {
		return false
	}
	if wait.failed != nil {
		f.Counters.CountRetry(retryReason(wait.result))
	}
	x.endIsolationWait()
	x.timing.restart(now)
	return true
}

// expireIsolation ends a request that has waited for an isolated run for too long.
func (x *exchange) expireIsolation() {
	wait := x.isolation
	x.endIsolationWait()
	x.refuseIsolation(wait.failed, wait.result, wait.response)
}

// refuseIsolation ends a request that can't have an isolated run in time, after its last attempt or before the first.
func (x *exchange) refuseIsolation(failed *attempt, r retry.Result, response *responseReceived) {
	retryAt := clock.Now().Add(quarantine.IsolationRetryAfter)
	if failed == nil {
		x.fail(protocol.Refuse(protocol.QueueFull, "endpoints ended when they ran this request, and none is free to run it alone").WithRetryAt(retryAt))
		return
	}
	x.endWith(retry.FinalAction(r, x.mayHaveRun), response, retryAt)
}
