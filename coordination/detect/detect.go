// SPDX-License-Identifier: Apache-2.0

// Package detect decides whether a runner that has not replied to a step is dead, too slow
// or merely busy.
//
// The deadline of a reply follows what the runner has shown so far: the expected time of
// the step, times the runner's mean slowdown plus several deviations of it. A runner that
// has sent nothing since the step was sent is dead once the deadline has passed. A runner
// that has sent other messages gets a few times longer, because its reply may be queued
// behind others. After that the step is lost as well.
//
//	switch d := detect.Classify(runner, step, now).(type) {
//	case detect.Busy: // check again at d.Until()
//	case detect.Lost: // give the step up
//	}
package detect

import (
	"time"

	"pinerun.example/pinerun/state/fleet"
)

const (
	// maxDeviations is how many deviations beyond the mean a step may take.
	maxDeviations = 6
	// slack allows for pauses of this process and for the timers of the engine.
	slack = 40 * time.Millisecond
	// activeFactor is how many times longer a runner may take if it still sends other
	// messages.
	activeFactor = 6
)

// Step is a step in flight: when it was sent and the seconds that it was expected to take.
type Step struct {
	SentAt          time.Time
	ExpectedSeconds float64
}

// Verdict is a Busy or a Lost.
type Verdict interface{ verdict() }

// Busy says that the reply may still come.
type Busy struct{ until time.Time }

// Until returns when to check again.
func (b Busy) Until() time.Time { return b.until }

// Lost says that the step has failed. A runner that has been silent since the step was sent
// is dead; any other is too slow or has lost the reply.
type Lost struct{ dead bool }

// Dead reports whether the runner has sent nothing since the step was sent.
func (l Lost) Dead() bool { return l.dead }

func (Busy) verdict() {}
func (Lost) verdict() {}

// ReplyDeadline returns the time by which the reply to the step normally arrives.
func ReplyDeadline(r *fleet.Runner, s Step) time.Time {
	mean, deviation := r.Slowdown(s.SentAt)
	seconds := s.ExpectedSeconds * (max(1, mean) + maxDeviations*deviation)
	return s.SentAt.Add(slack + time.Duration(seconds*float64(time.Second)))
}

// Classify returns the verdict on a step in flight.
func Classify(r *fleet.Runner, s Step, now time.Time) Verdict {
	deadline := ReplyDeadline(r, s)
	if now.Before(deadline) {
		return Busy{until: deadline}
	}
	if !r.HeardAt().After(s.SentAt) {
		return Lost{dead: true}
	}
	final := s.SentAt.Add(activeFactor * deadline.Sub(s.SentAt))
	if now.Before(final) {
		return Busy{until: final}
	}
	return Lost{}
}
