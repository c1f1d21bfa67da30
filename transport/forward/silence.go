// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/state/fleet"
)

// maxOpenAttempts is how many attempts of one request are open at once.
const maxOpenAttempts = 2

// silenceAction is what is done about a silence.
type silenceAction string

// The actions on a silence.
const (
	silenceBusy          silenceAction = "other streams hear its runners: wait"
	silenceNotRepeatable silenceAction = "may not run twice: wait"
	silenceHedged        silenceAction = "asked elsewhere already: wait"
	silenceMaxAttempts   silenceAction = "no further send is allowed: wait"
	silenceNoPath        silenceAction = "no sound path elsewhere: wait"
	silenceNoBudget      silenceAction = "retry budget spent: wait"
	silenceElsewhere     silenceAction = "ask elsewhere"
	silenceNoGain        silenceAction = "slow, and no path is enough faster: wait"
	silenceTooLate       silenceAction = "slow, and late already: wait"
	silenceQuarantined   silenceAction = "may end its endpoint: not at two"
	silenceChanging      silenceAction = "change its path"
)

// noRetryPossible reports whether a silence ended in the finding that the request can't be sent
// elsewhere.
func (s silenceAction) noRetryPossible() bool {
	return s == silenceNotRepeatable || s == silenceMaxAttempts || s == silenceNoPath || s == silenceNoBudget
}

// wake acts when the deadline has come or an event is overdue.
func (x *exchange) wake(now time.Time) {
	x.checkSuspension(now)
	if x.queued != nil {
		if !now.Before(x.queued.deadline) {
			x.expireQueued(now)
		}
		return
	}
	if x.isolation != nil {
		x.checkIsolation(now)
		return
	}
	if !now.Before(x.deadline) {
		x.fail(deadlinePassed())
		return
	}
	if x.paused {
		x.checkCaller(now)
		return
	}
	if now.Before(x.timing.overdueAt()) {
		return
	}
	x.timing.recheckLater(now)
	if len(x.open) > 0 {
		x.handleSilence(x.open[0], now)
	}
}

// handleSilence finds out why an attempt is overdue, and acts on it: stages are lost, engines
// are slow, or nothing is known and those that are silent are suspected.
func (x *exchange) handleSilence(silent *attempt, now time.Time) {
	x.reportOpenCall(silent, now)
	if silent.waitsOnReusedConn() {
		x.forwarder.pool.closeIdle(silent.endpoint.Name())
	}
	quiet := lostRunners(silent, now)
	if len(quiet) > 0 {
		x.recoverAttempt(silent, quiet, now)
		return
	}
	if x.service.Engine != nil {
		if slow := slowRunners(&silent.path, now); slowness(&silent.path, now) >= minSpeedup && now.Before(x.deadAt()) {
			x.handleSlow(silent, slow, now)
			return
		}
		x.forwarder.slowdowns.queryStages(&silent.path, x.timing.lastEvent, now)
	}
	x.recoverAttempt(silent, x.forwarder.faultLocator.silentRunners(silent, x.timing.lastEvent, now), now)
}

// handleLosses acts on the news that some runner is lost: what an open attempt waits for won't
// come if its path leads there, so it need not fall silent first.
func (x *exchange) handleLosses(now time.Time) {
	x.reportLostEndpoints(now)
	for _, a := range x.open {
		if lost := lostRunners(a, now); len(lost) > 0 {
			x.recoverAttempt(a, lost, now)
			return
		}
	}
}

// lostRunners returns the runners of an attempt's path that are lost.
func lostRunners(a *attempt, now time.Time) []*fleet.Runner {
	var lost []*fleet.Runner
	for i := range a.path.Len() {
		if r := a.path.Runner(i); r.Lost(now) {
			lost = append(lost, r)
		}
	}
	return lost
}

// recoverAttempt does what can be done about an attempt that waits for some runners.
func (x *exchange) recoverAttempt(silent *attempt, quiet []*fleet.Runner, now time.Time) {
	action := x.replaceLost(silent, now)
	if action == "" {
		action = x.hedge(silent, quiet, now)
	}
	if action.noRetryPossible() {
		action = cmp.Or(x.replaceSilent(silent, quiet, now), action)
	}
	x.logSilence(silent, quiet, action, now)
}

// logSilence logs what was done about a silence.
func (x *exchange) logSilence(silent *attempt, quiet []*fleet.Runner, action silenceAction, now time.Time) {
	if action == x.lastAction {
		return // one line for each turn of a silence, not for each look at it
	}
	x.lastAction = action
	x.forwarder.log(event.SilenceSuspected, x.requestAttr(), slog.Int("attempt", silent.number), slog.String("endpoint", silent.endpoint.Name()),
		slog.Int64("silent_ms", now.Sub(x.timing.lastEvent).Milliseconds()), slog.Int("quiet", len(quiet)), slog.String("action", string(action)))
}

// closeLostAttempts ends the open attempts but one that wait for a lost runner, and reports whether
// another is of use: not while one is open whose runners may all live.
func (x *exchange) closeLostAttempts(now time.Time) bool {
	for _, a := range slices.Clone(x.open) {
		if len(x.open) > 1 && len(lostRunners(a, now)) > 0 {
			x.closeAttempt(a)
		}
	}
	return len(x.open) == 1 && len(lostRunners(x.open[0], now)) > 0
}

// suspectsConn reports whether a silent attempt whose runners others hear is more likely to
// wait on a connection that is dead than on busy runners: nothing has come for a second on one that
// had rested. What is on the way may forget open connections for good, without a reset, while new
// ones work. A stream that has begun is not doubted so: where 2,000 callers read nothing, the
// copies of their streams would take the room of others.
func (x *exchange) suspectsConn(silent *attempt, now time.Time) bool {
	return silent.waitsOnReusedConn() && !now.Before(x.deadAt())
}

// needsNewConn reports whether a further send goes on a new connection: those that rest may all be
// as dead as that of the attempt that is silent.
func (x *exchange) needsNewConn(now time.Time) bool {
	return len(x.open) > 0 && (x.open[0].waitsOnReusedConn() || !now.Before(x.deadAt()))
}

// secondOnReusedConn returns the attempt beside a silent one if it may wait on a dead connection as well, nil
// if it does not.
func (x *exchange) secondOnReusedConn(now time.Time) *attempt {
	if len(x.open) < maxOpenAttempts || now.Before(x.deadAt()) {
		return nil
	}
	if last := x.open[len(x.open)-1]; last.waitsOnReusedConn() {
		return last
	}
	return nil
}

// hedge asks for the answer elsewhere, without the runners that have fallen
// silent, while the silent attempt stays open. It returns what was done.
func (x *exchange) hedge(silent *attempt, quiet []*fleet.Runner, now time.Time) silenceAction {
	switch {
	case len(x.open) >= maxOpenAttempts && !x.closeLostAttempts(now) && x.secondOnReusedConn(now) == nil:
		return silenceHedged
	case len(quiet) == 0 && !x.suspectsConn(silent, now):
		return silenceBusy
	case !x.route.MayRepeat():
		return silenceNotRepeatable
	case !x.mayHedge(x.open[0], now):
		x.abandonLost(x.open[0], now)
		return silenceQuarantined
	}
	before := x.avoid
	x.avoid = append(x.avoid, quiet...)
	if len(quiet) == 0 {
		x.avoid = append(x.avoid, silent.endpoint)
	}
	p, found := x.pickPath(now)
	action := silenceElsewhere
	switch {
	case !found || !pathHealthy(&p, now, x.avoid):
		action = silenceNoPath
	case !x.mayReach(&p):
		action = silenceMaxAttempts
	case !x.forwarder.retryBudgets.takeRetry(x.service.Name, now):
		action = silenceNoBudget
	}
	if action != silenceElsewhere {
		x.avoid = before
		return action
	}
	x.forwarder.Counters.Retried(metric.Silence)
	x.forwarder.Counters.Took(metric.Detection, now.Sub(x.timing.lastEvent))
	x.closeUnresolved()
	if deaf := x.secondOnReusedConn(now); deaf != nil {
		x.forwarder.pool.closeIdle(deaf.endpoint.Name())
		x.closeAttempt(deaf) // only now that another takes its place
	}
	x.startAttempt(&p)
	return action
}
