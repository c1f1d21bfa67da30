// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// stageOverhead is what each stage adds to the time of an event beside its work: the wait for
	// the pass that is running there, and the transfer to the next stage. The median is 1.7 to
	// 2.4 ms on paths of 6 to 17 stages.
	stageOverhead = 2 * time.Millisecond
	// deadTimeout is how long an attempt whose path is known to be slow, or is heard on other
	// streams, must be silent before one of its engines or its connection is suspected to be dead.
	// An engine that is slow by a factor of twelve and prefills other prompts delays a stream by
	// some tenths of a second; callers leave a silent stream after two seconds or more.
	deadTimeout = time.Second
	// typicalFirstEvent is how long the first event takes elsewhere, with a margin: the median is
	// 50 ms on engines with free capacity.
	typicalFirstEvent = 100 * time.Millisecond
	// minSpeedup is the factor by which another path must be faster for the request to be sent
	// there, since its prompt is prefilled again. If a path is slowed down by less than this
	// factor, its silence has another cause.
	minSpeedup = 1.5
)

// expectedEventTime returns how long an event of a path should take: its tokens pass through all
// layers in sequence.
func expectedEventTime(p *path.Path, s *protocol.RoutedService) time.Duration {
	if s.Engine == nil {
		return 0
	}
	seconds := 0.0
	for i := range p.Len() {
		seconds += p.Runner(i).Spec().StepSeconds * float64(p.Span(i).Layers())
	}
	work := time.Duration(seconds * float64(max(1, s.Engine.EventTokens)) * float64(time.Second))
	return work + time.Duration(p.Len())*stageOverhead
}

// pathSlowdown returns how many times its usual time a path takes, by the known slowdown of its
// engines.
func pathSlowdown(p *path.Path, now time.Time) float64 {
	nominal, actual := 0.0, 0.0
	for i := range p.Len() {
		r := p.Runner(i)
		work := r.Spec().StepSeconds * float64(p.Span(i).Layers())
		nominal += work
		actual += work * r.ReportedSlowdown(now)
	}
	if nominal <= 0 {
		return 1
	}
	return actual / nominal
}

// slowRunners returns the runners of a path that are known to be slow.
func slowRunners(p *path.Path, now time.Time) []*fleet.Runner {
	var all []*fleet.Runner
	for i := range p.Len() {
		if r := p.Runner(i); r.IsSlow(now) {
			all = append(all, r)
		}
	}
	return all
}

// deadAt returns when the open attempt is suspected to be dead although it is known to be slow or
// busy.
func (x *exchange) deadAt() time.Time { return x.timing.lastEvent.Add(deadTimeout) }

// canMeetTarget reports whether the response would still be in time if it continued elsewhere.
func (x *exchange) canMeetTarget(now time.Time) bool {
	if !x.timing.started {
		return now.Add(typicalFirstEvent).Before(x.route.FirstEventBy(x.begun))
	}
	target := x.timing.pauseTarget
	return target <= 0 || x.timing.longestPause <= target && now.Add(typicalFirstEvent).Before(x.timing.lastEvent.Add(target))
}

// handleSlow handles an attempt that is overdue because runners of its path are slow. They are not
// suspected: they respond, only later. The request is sent elsewhere only if its response can then
// still be in time.
func (x *exchange) handleSlow(silent *attempt, slow []*fleet.Runner, now time.Time) {
	switch {
	case !x.canMeetTarget(now):
		x.logSilence(silent, slow, silenceTooLate, now)
	case !x.fasterPathExists(silent, slow, now):
		x.logSilence(silent, slow, silenceNoGain, now)
	default:
		x.recoverAttempt(silent, slow, now)
	}
}

// fasterPathExists reports whether a path without the slow runners is faster than that of an
// attempt by minSpeedup.
func (x *exchange) fasterPathExists(silent *attempt, slow []*fleet.Runner, now time.Time) bool {
	avoidBefore := x.avoid
	x.avoid = append(x.avoid[:len(x.avoid):len(x.avoid)], slow...)
	p, found := x.pickPath(now)
	x.avoid = avoidBefore
	return found && pathSlowdown(&p, now)*minSpeedup < pathSlowdown(&silent.path, now)
}
