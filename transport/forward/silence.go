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

// liveMost is how many attempts of one request are open at once.
const liveMost = 2

// silenceAction is what is done about a silence.
type silenceAction string

// The actions on a silence.
const (
	silenceBusy      silenceAction = "other streams hear its runners: wait"
	silenceOnce      silenceAction = "may not run twice: wait"
	silenceAsked     silenceAction = "asked elsewhere already: wait"
	silenceSends     silenceAction = "no further send is allowed: wait"
	silenceNoPath    silenceAction = "no sound path elsewhere: wait"
	silenceNoBudget  silenceAction = "retry budget spent: wait"
	silenceElsewhere silenceAction = "ask elsewhere"
	silenceNoGain    silenceAction = "slow, and no path is enough faster: wait"
	silenceTooLate   silenceAction = "slow, and late already: wait"
	silenceAlone     silenceAction = "may end its endpoint: not at two"
	silenceChanging  silenceAction = "change its path"
)

// inVain reports whether a silence ended in the finding that the request can't be sent
// elsewhere.
func (s silenceAction) inVain() bool {
	return s == silenceOnce || s == silenceSends || s == silenceNoPath || s == silenceNoBudget
}

// wake acts when the deadline has come or an event is overdue.
func (x *exchange) wake(now time.Time) {
	x.noteSleep(now)
	if x.held != nil {
		if !now.Before(x.held.till) {
			x.endHold(now)
		}
		return
	}
	if x.trial != nil {
		x.wakeTrial(now)
		return
	}
	if !now.Before(x.deadline) {
		x.finish(expired())
		return
	}
	if x.paused {
		x.heed(now)
		return
	}
	if now.Before(x.rhythm.overdueAt()) {
		return
	}
	x.rhythm.askAgain(now)
	if len(x.live) > 0 {
		x.actOnSilence(x.live[0], now)
	}
}

// actOnSilence finds out why an attempt is overdue, and acts on it: stages are lost, engines
// are slow, or nothing is known and those that are silent are suspected.
func (x *exchange) actOnSilence(silent *attempt, now time.Time) {
	x.noteWait(silent, now)
	if silent.deaf() {
		x.forwarder.pool.distrust(silent.endpoint.Name())
	}
	quiet := lostOf(silent, now)
	if len(quiet) > 0 {
		x.act(silent, quiet, now)
		return
	}
	if x.service.Engine != nil {
		if slow := slowOf(&silent.path, now); slowness(&silent.path, now) >= enoughFaster && now.Before(x.deadBy()) {
			x.actSlow(silent, slow, now)
			return
		}
		x.forwarder.paces.suspect(&silent.path, x.rhythm.last, now)
	}
	x.act(silent, x.forwarder.suspects.silent(silent, x.rhythm.last, now), now)
}

// lossTold acts on the news that some runner is lost: what an open attempt waits for won't
// come if its path leads there, so it need not fall silent first.
func (x *exchange) lossTold(now time.Time) {
	x.lostUnder(now)
	for _, a := range x.live {
		if lost := lostOf(a, now); len(lost) > 0 {
			x.act(a, lost, now)
			return
		}
	}
}

// lostOf returns the runners of an attempt's path that are lost.
func lostOf(a *attempt, now time.Time) []*fleet.Runner {
	var lost []*fleet.Runner
	for i := range a.path.Len() {
		if r := a.path.Runner(i); r.Lost(now) {
			lost = append(lost, r)
		}
	}
	return lost
}

// act does what can be done about an attempt that waits for some runners.
func (x *exchange) act(silent *attempt, quiet []*fleet.Runner, now time.Time) {
	action := x.replace(silent, now)
	if action == "" {
		action = x.hedge(silent, quiet, now)
	}
	if action.inVain() {
		action = cmp.Or(x.replaceQuiet(silent, quiet, now), action)
	}
	x.noteSilence(silent, quiet, action, now)
}

// noteSilence logs what was done about a silence.
func (x *exchange) noteSilence(silent *attempt, quiet []*fleet.Runner, action silenceAction, now time.Time) {
	if action == x.silence {
		return // one line for each turn of a silence, not for each look at it
	}
	x.silence = action
	x.forwarder.log(event.SilenceSuspected, x.id(), slog.Int("attempt", silent.number), slog.String("endpoint", silent.endpoint.Name()),
		slog.Int64("silent_ms", now.Sub(x.rhythm.last).Milliseconds()), slog.Int("quiet", len(quiet)), slog.String("action", string(action)))
}

// replaces ends the open attempts but one that wait for a lost runner, and reports whether
// another is of use: not while one is open whose runners may all live.
func (x *exchange) replaces(now time.Time) bool {
	for _, a := range slices.Clone(x.live) {
		if len(x.live) > 1 && len(lostOf(a, now)) > 0 {
			x.drop(a)
		}
	}
	return len(x.live) == 1 && len(lostOf(x.live[0], now)) > 0
}

// doubtsConnection reports whether a silent attempt whose runners others hear is more likely to
// wait on a connection that is dead than on busy runners: nothing has come for a second on one that
// had rested. What is on the way may forget open connections for good, without a reset, while new
// ones work. A stream that has begun is not doubted so: where 2,000 callers read nothing, the
// copies of their streams would take the room of others.
func (x *exchange) doubtsConnection(silent *attempt, now time.Time) bool {
	return silent.deaf() && !now.Before(x.deadBy())
}

// doubtsResting reports whether a further send goes on a new connection: those that rest may all be
// as dead as that of the attempt that is silent.
func (x *exchange) doubtsResting(now time.Time) bool {
	return len(x.live) > 0 && (x.live[0].deaf() || !now.Before(x.deadBy()))
}

// deafBeside returns the attempt beside a silent one if it may wait on a dead connection as well, nil
// if it does not.
func (x *exchange) deafBeside(now time.Time) *attempt {
	if len(x.live) < liveMost || now.Before(x.deadBy()) {
		return nil
	}
	if last := x.live[len(x.live)-1]; last.deaf() {
		return last
	}
	return nil
}

// hedge asks for the answer elsewhere, without the runners that have fallen
// silent, while the silent attempt stays open. It returns what was done.
func (x *exchange) hedge(silent *attempt, quiet []*fleet.Runner, now time.Time) silenceAction {
	switch {
	case len(x.live) >= liveMost && !x.replaces(now) && x.deafBeside(now) == nil:
		return silenceAsked
	case len(quiet) == 0 && !x.doubtsConnection(silent, now):
		return silenceBusy
	case !x.route.MayRepeat():
		return silenceOnce
	case !x.mayHedge(x.live[0], now):
		x.leaveLost(x.live[0], now)
		return silenceAlone
	}
	before := x.avoid
	x.avoid = append(x.avoid, quiet...)
	if len(quiet) == 0 {
		x.avoid = append(x.avoid, silent.endpoint)
	}
	p, found := x.pick(now)
	action := silenceElsewhere
	switch {
	case !found || !sound(&p, now, x.avoid):
		action = silenceNoPath
	case !x.mayReach(&p):
		action = silenceSends
	case !x.forwarder.budgets.take(x.service.Name, now):
		action = silenceNoBudget
	}
	if action != silenceElsewhere {
		x.avoid = before
		return action
	}
	x.forwarder.Counters.Retried(metric.Silence)
	x.forwarder.Counters.Took(metric.Detection, now.Sub(x.rhythm.last))
	x.endDoubted()
	if deaf := x.deafBeside(now); deaf != nil {
		x.forwarder.pool.distrust(deaf.endpoint.Name())
		x.drop(deaf) // only now that another takes its place
	}
	x.send(&p)
	return action
}
