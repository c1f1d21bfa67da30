// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/state/fleet"
)

// maxOpenAttempts is how many attempts of one request may be open at once.
const maxOpenAttempts = 2

// silenceAction is the action taken on a silence.
type silenceAction string

// The actions on a silence. Their texts appear in the log.
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
	silenceDeadConn      silenceAction = "its connection seems dead: ask elsewhere"
)

// noRetryPossible reports whether the action is to wait because the request can't be sent
// elsewhere.
func (s silenceAction) noRetryPossible() bool {
	return s == silenceNotRepeatable || s == silenceMaxAttempts || s == silenceNoPath || s == silenceNoBudget
}

// wake handles a deadline that has passed and an event that is overdue.
func (x *exchange) wake(now time.Time) {
	x.checkSuspension(now)
	if x.endUselessWait(now) {
		return
	}
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
		if !x.takeAnswer() {
			x.fail(deadlinePassed())
		}
		return
	}
	if x.paused {
		x.checkCaller(now)
		return
	}
	x.discountLateness(now)
	x.checkLinks(now)
	if now.Before(x.timing.overdueAt()) {
		return
	}
	x.timing.recheckLater(now)
	if len(x.open) > 0 {
		x.handleSilence(x.open[0], now)
	}
}

// handleSilence finds out why an attempt is overdue and reacts: stages are lost, engines are slow,
// or the cause is unknown and the silent runners are suspected.
func (x *exchange) handleSilence(silent *attempt, now time.Time) {
	x.reportOpenCall(silent, now)
	if x.isDeaf(silent, now) {
		x.recoverAttempt(silent, nil, now)
		return
	}
	if silent.waitsOnReusedConn() {
		x.forwarder.pool.closeIdle(silent.endpoint.Name())
	}
	lost := lostRunners(silent, now)
	if len(lost) > 0 {
		x.recoverAttempt(silent, lost, now)
		return
	}
	if x.service.Engine != nil {
		if slow := slowRunners(&silent.path, now); pathSlowdown(&silent.path, now) >= minSpeedup && now.Before(x.deadAt()) {
			x.handleSlow(silent, slow, now)
			return
		}
		x.forwarder.slowdowns.queryStages(&silent.path, x.timing.lastEvent, now)
	}
	x.recoverAttempt(silent, x.forwarder.faultLocator.silentRunners(silent, x.timing.lastEvent, now), now)
}

// handleLosses handles a change in the set of lost runners. An attempt whose path includes a lost
// runner will receive no further event, so it is handled without waiting for it to fall silent.
func (x *exchange) handleLosses(now time.Time) {
	x.reportLostEndpoints(now)
	for _, a := range x.open {
		if lost := lostRunners(a, now); len(lost) > 0 {
			x.recoverAttempt(a, lost, now)
			return
		}
		if x.isDeaf(a, now) {
			x.recoverAttempt(a, nil, now)
			return
		}
	}
}

// lostRunners returns the lost runners of an attempt's path.
func lostRunners(a *attempt, now time.Time) []*fleet.Runner {
	var lost []*fleet.Runner
	for i := range a.path.Len() {
		if r := a.path.Runner(i); r.Lost(now) {
			lost = append(lost, r)
		}
	}
	return lost
}

// recoverAttempt does what is possible for an attempt that waits for some runners: replace stages,
// hedge, or wait.
func (x *exchange) recoverAttempt(silent *attempt, runners []*fleet.Runner, now time.Time) {
	action := x.replaceLost(silent, now)
	if action == "" {
		action = x.hedge(silent, runners, now)
	}
	if action.noRetryPossible() {
		action = cmp.Or(x.replaceSilent(silent, runners, now), action)
	}
	x.logSilence(silent, runners, action, now)
}

// logSilence logs the action on a silence.
func (x *exchange) logSilence(silent *attempt, runners []*fleet.Runner, action silenceAction, now time.Time) {
	if action == x.lastAction {
		return // logs each change of the action, not each check
	}
	x.lastAction = action
	x.forwarder.log(event.SilenceSuspected, x.requestAttr(), slog.Int("attempt", silent.number), slog.String("endpoint", silent.endpoint.Name()),
		slog.Int64("silent_ms", now.Sub(x.timing.lastEvent).Milliseconds()), slog.Int("quiet", len(runners)), slog.String("action", string(action)))
}

// replaceable returns the open attempt that a further one replaces, nil if there is room for one more, and false for
// neither. An attempt stays open until another one that may be answered has begun: a silent endpoint may go on.
func (x *exchange) replaceable(now time.Time) (*attempt, bool) {
	if len(x.open) < maxOpenAttempts {
		return nil, true
	}
	if second := x.secondOnReusedConn(now); second != nil {
		return second, true
	}
	x.closeRefused(now)
	for _, a := range x.open {
		if len(lostRunners(a, now)) == 0 && !x.isDeaf(a, now) {
			return nil, false
		}
	}
	if len(x.open) < maxOpenAttempts {
		return nil, true
	}
	for _, a := range x.open {
		if !a.hasEvent {
			return a, true
		}
	}
	return nil, false
}

// closeRefused closes the open attempts that wait for a lost runner that refused a connection, except the last open one.
func (x *exchange) closeRefused(now time.Time) {
	for _, a := range slices.Clone(x.open) {
		if len(x.open) > 1 && slices.ContainsFunc(lostRunners(a, now), (*fleet.Runner).RefusedConnection) {
			x.abandonAttempt(a)
		}
	}
}

// mayGoOn reports whether an attempt that a late order may still move to another path is more likely only silent.
func (x *exchange) mayGoOn(a *attempt, now time.Time) bool {
	return a.pathChange.MayApplyLate() && len(lostRunners(a, now)) == 0 && !x.isDeaf(a, now) && now.Before(x.deadAt())
}

// suspectsConn reports whether a silent attempt whose runners are heard on other streams more
// likely waits on a dead connection than on busy runners: nothing was received for a second on a
// reused connection, or a stream in its middle got nothing while later requests were served. Devices
// on the network path may drop the state of open connections for good, without a reset, while new
// ones work.
func (x *exchange) suspectsConn(silent *attempt, now time.Time) bool {
	return silent.waitsOnReusedConn() && !now.Before(x.deadAt()) || x.suspectsDeadConn(silent, now)
}

// needsNewConn reports whether a further attempt must use a new connection: the idle ones may be as
// dead as that of the silent attempt.
func (x *exchange) needsNewConn(now time.Time) bool {
	return len(x.open) > 0 && (x.open[0].waitsOnReusedConn() || !now.Before(x.deadAt()))
}

// secondOnReusedConn returns the attempt beside a silent one if it may also wait on a dead
// connection, nil otherwise.
func (x *exchange) secondOnReusedConn(now time.Time) *attempt {
	if len(x.open) < maxOpenAttempts || now.Before(x.deadAt()) {
		return nil
	}
	if last := x.open[len(x.open)-1]; last.waitsOnReusedConn() {
		return last
	}
	return nil
}

// hedge starts a second attempt that avoids the silent runners, while the silent attempt stays
// open. It returns the action taken.
func (x *exchange) hedge(silent *attempt, runners []*fleet.Runner, now time.Time) silenceAction {
	replaced, hasRoom := x.replaceable(now)
	switch {
	case !hasRoom:
		return silenceHedged
	case x.mayGoOn(x.open[0], now):
		return silenceChanging
	case len(runners) == 0 && !x.isDeaf(silent, now) && !x.suspectsConn(silent, now):
		return silenceBusy
	case !x.mayRepeat():
		return silenceNotRepeatable
	case !x.mayHedge(x.open[0], now):
		x.abandonGone(x.open[0], now)
		return silenceQuarantined
	}
	avoidBefore := x.avoid
	deaf := x.isDeaf(silent, now)
	doubts := len(runners) == 0 && silent.hasEvent && !deaf
	p, action := x.chooseHedge(silent, runners, doubts || deaf, now)
	if action == "" {
		action = x.takeHedge(silent, &p, doubts, now)
	}
	if action == "" && !x.startAttempt(&p) {
		x.endDoubt()
		action = silenceNoPath
	}
	if action != "" {
		x.avoid = avoidBefore
		return action
	}
	x.forwarder.Counters.CountRetry(metric.Silence)
	x.forwarder.Counters.RecordDuration(metric.Detection, now.Sub(x.timing.lastEvent))
	x.closeUnresolved()
	x.closeReplaced(replaced)
	if doubts || deaf {
		return silenceDeadConn
	}
	return silenceElsewhere
}

// closeReplaced closes an attempt once another one has begun in its place, nil for none.
func (x *exchange) closeReplaced(a *attempt) {
	if a == nil {
		return
	}
	if a.waitsOnReusedConn() {
		x.forwarder.pool.closeIdle(a.endpoint.Name())
	}
	x.abandonAttempt(a)
}

// chooseHedge chooses the path of a second attempt. It avoids the silent runners, or the endpoint
// whose connection may be dead. If only the connection is at fault and no other path is healthy, a new
// connection to the same endpoint will do. The action is "" if there is a path.
func (x *exchange) chooseHedge(silent *attempt, runners []*fleet.Runner, onlyConn bool, now time.Time) (path.Path, silenceAction) {
	before := x.avoid
	x.avoid = append(x.avoid, runners...)
	if len(runners) == 0 {
		x.avoid = append(x.avoid, silent.endpoint)
	}
	p, found := x.pickPath(now)
	if onlyConn && (!found || !pathHealthy(&p, now, x.avoid)) {
		x.avoid = before
		p, found = x.pickPath(now)
	}
	if !found || !pathHealthy(&p, now, x.avoid) {
		return p, silenceNoPath
	}
	return p, ""
}

// takeHedge takes what a second attempt needs: an endpoint that the route allows, the doubt of a
// connection, and a part of the retry budget. The action is "" if it has all.
func (x *exchange) takeHedge(silent *attempt, p *path.Path, doubts bool, now time.Time) silenceAction {
	switch {
	case !x.mayReach(p):
		return silenceMaxAttempts
	case doubts && !x.beginDoubt(silent, now):
		return silenceBusy
	case !x.forwarder.retryBudgets.takeRetry(x.service.Name, now):
		x.endDoubt()
		return silenceNoBudget
	}
	return ""
}
