// SPDX-License-Identifier: Apache-2.0

// Package detect decides whether a runner that has not replied is dead, too
// slow, or merely busy.
//
// The bound on a step follows what the runner has shown: the expected time of
// the step times its running slowness and several deviations of that. Beyond
// the bound, a runner that has sent nothing at all since the step left is dead.
// One that still talks is given a few times longer, since its reply may be
// stuck behind others; then the step is lost all the same.
//
//	switch d := detect.Judge(runner, step, now).(type) {
//	case detect.Busy: // look again at d.Till()
//	case detect.Lost: // give the step up
//	}
package detect

import (
	"time"

	"pinerun.example/pinerun/state/fleet"
)

const (
	// deviations is how far beyond the mean a step may take.
	deviations = 6
	// slack allows for pauses of this process and of the engine's timers.
	slack = 40 * time.Millisecond
	// patience is how many times the bound a runner that still talks may take.
	patience = 6
)

// Step is a step in flight: when it left and how many seconds it was then
// expected to take.
type Step struct {
	SentAt          time.Time
	ExpectedSeconds float64
}

// Verdict is Busy or Lost.
type Verdict interface{ verdict() }

// Busy says until when to wait before looking again.
type Busy struct{ till time.Time }

// Until returns the time to look again.
func (b Busy) Until() time.Time { return b.till }

// Lost says that the step is to be given up. Dead tells a runner that has
// fallen silent from one that is slow or has lost the reply.
type Lost struct{ dead bool }

// Dead reports whether the runner has sent nothing since the step left.
func (l Lost) Dead() bool { return l.dead }

func (Busy) verdict() {}
func (Lost) verdict() {}

// ReplyDeadline returns the time by which the step's reply is normally there.
func ReplyDeadline(r *fleet.Runner, s Step) time.Time {
	mean, deviation := r.Slowdown(s.SentAt)
	seconds := s.ExpectedSeconds * (max(1, mean) + deviations*deviation)
	return s.SentAt.Add(slack + time.Duration(seconds*float64(time.Second)))
}

// Classify returns the verdict on a step in flight.
func Classify(r *fleet.Runner, s Step, now time.Time) Verdict {
	bound := ReplyDeadline(r, s)
	if now.Before(bound) {
		return Busy{till: bound}
	}
	if !r.HeardAt().After(s.SentAt) {
		return Lost{dead: true}
	}
	last := s.SentAt.Add(patience * bound.Sub(s.SentAt))
	if now.Before(last) {
		return Busy{till: last}
	}
	return Lost{}
}
