// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
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
)

// wake acts when the deadline has come or an event is overdue.
func (x *exchange) wake(now time.Time) {
	if x.held != nil {
		if !now.Before(x.held.till) {
			x.endHold(now)
		}
		return
	}
	if !now.Before(x.deadline) {
		x.finish(expired())
		return
	}
	if now.Before(x.rhythm.overdueAt()) {
		return
	}
	x.rhythm.askAgain(now)
	if len(x.live) == 0 {
		return
	}
	silent := x.live[0]
	quiet := x.forwarder.suspects.silent(silent, x.rhythm.last, now)
	action := x.hedge(quiet, now)
	if action == x.silence {
		return // one line for each turn of a silence, not for each look at it
	}
	x.silence = action
	x.forwarder.log(event.SilenceSuspected, x.id(), slog.Int("attempt", silent.number), slog.String("endpoint", silent.endpoint.Name()),
		slog.Int64("silent_ms", now.Sub(x.rhythm.last).Milliseconds()), slog.Int("quiet", len(quiet)), slog.String("action", string(action)))
}

// hedge asks for the answer elsewhere, without the runners that have fallen
// silent, while the silent attempt stays open. It returns what was done.
func (x *exchange) hedge(quiet []*fleet.Runner, now time.Time) silenceAction {
	switch {
	case len(x.live) >= liveMost:
		return silenceAsked
	case len(quiet) == 0:
		return silenceBusy
	case !x.route.MayRepeat():
		return silenceOnce
	}
	before := x.avoid
	x.avoid = append(x.avoid, quiet...)
	p, found := x.pick(now)
	action := silenceElsewhere
	switch {
	case !found || !sound(&p, now, x.avoid):
		action = silenceNoPath
	case !x.mayReach(&p):
		action = silenceSends
	case !x.forwarder.takeSend():
		action = silenceNoBudget
	}
	if action != silenceElsewhere {
		x.avoid = before
		return action
	}
	x.forwarder.Counters.Retried(metric.Silence)
	x.forwarder.Counters.Took(metric.Detection, now.Sub(x.rhythm.last))
	x.send(&p)
	return action
}
