// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new sample in a running mean.
	smoothing = 0.1
	// initialDeviation is the deviation of the slowdown before any measurement.
	initialDeviation = 0.5
	// maxSlowdown bounds a sample of the slowdown.
	maxSlowdown = 1000
	// slowdownHalfLife is the time in which half of a measured slowdown is forgotten, so that
	// a runner avoided for its slowdown is tried again.
	slowdownHalfLife = 5 * time.Second
)

// Slowdown returns how many times longer than expected the runner's steps take, and the
// mean deviation of that. The mean is the higher of the measured and the reported slowdown;
// a measured mean above 1 decays with its age.
func (r *Runner) Slowdown(now time.Time) (mean, deviation float64) {
	mean, deviation = r.measuredSlowdown(now)
	return max(mean, r.ReportedSlowdown(now)), deviation
}

// MarkSlow notes that the runner's work takes slowdown times as long as typical, since the
// time since, and that this holds until the time until.
func (r *Runner) MarkSlow(slowdown float64, since, until time.Time) {
	r.reportedSlowdown.Store(math.Float64bits(slowdown))
	r.slowSince.Store(since.UnixNano())
	r.slowUntil.Store(until.UnixNano())
}

// ClearSlow withdraws the reported slowdown.
func (r *Runner) ClearSlow() { r.slowUntil.Store(0) }

// IsSlow reports whether the runner is slow by the reports of entries.
func (r *Runner) IsSlow(now time.Time) bool { return now.UnixNano() < r.slowUntil.Load() }

// ReportedSlowdown returns how many times longer than typical the runner's work takes by
// the reports of entries, 1 if it is not slow.
func (r *Runner) ReportedSlowdown(now time.Time) float64 {
	if !r.IsSlow(now) {
		return 1
	}
	return math.Float64frombits(r.reportedSlowdown.Load())
}

// SlowSince returns the time since which the runner is slow, zero if it is not.
func (r *Runner) SlowSince(now time.Time) time.Time {
	if !r.IsSlow(now) {
		return time.Time{}
	}
	return time.Unix(0, r.slowSince.Load())
}

// OnTime notes that an event came through the runner without delay.
func (r *Runner) OnTime(now time.Time) { r.onTimeAt.Store(now.UnixNano()) }

// OnTimeAt returns when an event last came through the runner without delay.
func (r *Runner) OnTimeAt() time.Time { return time.Unix(0, r.onTimeAt.Load()) }

// measuredSlowdown returns the mean and the deviation by this entry's measurements alone.
func (r *Runner) measuredSlowdown(now time.Time) (mean, deviation float64) {
	mean = math.Float64frombits(r.slowdown.Load())
	deviation = math.Float64frombits(r.deviation.Load())
	if mean <= 1 {
		return mean, deviation
	}
	age := now.UnixNano() - r.measuredAt.Load()
	if age <= 0 {
		return mean, deviation
	}
	remaining := math.Exp2(-float64(age) / float64(slowdownHalfLife))
	return 1 + (mean-1)*remaining, deviation
}

// ObserveStep notes how long a step took that was expected to take that many seconds. It
// clears the failures counted so far.
func (r *Runner) ObserveStep(elapsed time.Duration, expected float64, now time.Time) {
	mean, deviation := r.measuredSlowdown(now)
	sample := min(elapsed.Seconds()/expected, maxSlowdown)
	deviation += smoothing * (math.Abs(sample-mean) - deviation)
	mean += smoothing * (sample - mean)
	r.slowdown.Store(math.Float64bits(mean))
	r.deviation.Store(math.Float64bits(deviation))
	r.measuredAt.Store(now.UnixNano())
	r.failures.Store(0)
}

// ObserveTimeout notes that a step expected to take that many seconds was abandoned after
// a time. The next timeout is twice as long. That way a runner slower than configured is
// recognized as slow instead of timing out again and again.
func (r *Runner) ObserveTimeout(elapsed time.Duration, expected float64, now time.Time) {
	mean, _ := r.measuredSlowdown(now)
	r.slowdown.Store(math.Float64bits(min(maxSlowdown, max(mean, 2*elapsed.Seconds()/expected))))
	r.measuredAt.Store(now.UnixNano())
}
