// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new sample in a running mean.
	smoothing = 0.1
	// initialDeviation is the deviation of slowness before anything is measured.
	initialDeviation = 0.5
	// maxSlowness bounds a sample of slowness.
	maxSlowness = 1000
	// forgetSlowness is the time in which half of what a runner has shown is
	// forgotten, so that one left out for slowness is tried again.
	forgetSlowness = 5 * time.Second
)

// Slowdown returns how many times longer than expected the runner's steps take, by what
// was measured here or by the word of entries, and the mean deviation of that. What makes
// it seem slow fades as it grows old.
func (r *Runner) Slowdown(now time.Time) (mean, deviation float64) {
	mean, deviation = r.measured(now)
	return max(mean, r.ReportedSlowdown(now)), deviation
}

// MarkSlow notes that since a time the runner's work takes pace times as long as usual, and until
// when that counts.
func (r *Runner) MarkSlow(pace float64, since, till time.Time) {
	r.pace.Store(math.Float64bits(pace))
	r.slowSince.Store(since.UnixNano())
	r.slowTill.Store(till.UnixNano())
}

// ClearSlow takes back that the runner is slow.
func (r *Runner) ClearSlow() { r.slowTill.Store(0) }

// IsSlow reports whether the runner is slow by the word of entries.
func (r *Runner) IsSlow(now time.Time) bool { return now.UnixNano() < r.slowTill.Load() }

// ReportedSlowdown returns how many times longer than usual the runner's work takes by the word of
// entries, 1 if it is not slow.
func (r *Runner) ReportedSlowdown(now time.Time) float64 {
	if !r.IsSlow(now) {
		return 1
	}
	return math.Float64frombits(r.pace.Load())
}

// SlowSince returns since when the runner is slow, zero if it is not.
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

// measured returns the same by what was measured here alone.
func (r *Runner) measured(now time.Time) (mean, deviation float64) {
	mean = math.Float64frombits(r.slowness.Load())
	deviation = math.Float64frombits(r.deviation.Load())
	if mean <= 1 {
		return mean, deviation
	}
	age := now.UnixNano() - r.measuredAt.Load()
	if age <= 0 {
		return mean, deviation
	}
	kept := math.Exp2(-float64(age) / float64(forgetSlowness))
	return 1 + (mean-1)*kept, deviation
}

// ObserveStep notes how long a step took that was expected to take that many
// seconds. The failures before count no longer.
func (r *Runner) ObserveStep(took time.Duration, expected float64, now time.Time) {
	mean, dev := r.measured(now)
	sample := min(took.Seconds()/expected, maxSlowness)
	dev += smoothing * (math.Abs(sample-mean) - dev)
	mean += smoothing * (sample - mean)
	r.slowness.Store(math.Float64bits(mean))
	r.deviation.Store(math.Float64bits(dev))
	r.measuredAt.Store(now.UnixNano())
	r.failures.Store(0)
}

// ObserveTimeout notes that a step expected to take that many seconds was given up
// after a time. The next bound is twice as long, so that a runner slower than it
// is configured is found out instead of being given up again and again.
func (r *Runner) ObserveTimeout(took time.Duration, expected float64, now time.Time) {
	mean, _ := r.measured(now)
	r.slowness.Store(math.Float64bits(min(maxSlowness, max(mean, 2*took.Seconds()/expected))))
	r.measuredAt.Store(now.UnixNano())
}
