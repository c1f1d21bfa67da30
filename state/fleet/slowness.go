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

// Slowness returns how many times longer than expected the runner's steps take,
// and the mean deviation of that. What makes it seem slow fades as it grows old.
func (r *Runner) Slowness(now time.Time) (mean, deviation float64) {
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

// Measured notes how long a step took that was expected to take that many
// seconds. The failures before count no longer.
func (r *Runner) Measured(took time.Duration, expected float64, now time.Time) {
	mean, dev := r.Slowness(now)
	sample := min(took.Seconds()/expected, maxSlowness)
	dev += smoothing * (math.Abs(sample-mean) - dev)
	mean += smoothing * (sample - mean)
	r.slowness.Store(math.Float64bits(mean))
	r.deviation.Store(math.Float64bits(dev))
	r.measuredAt.Store(now.UnixNano())
	r.failures.Store(0)
}

// Overdue notes that a step expected to take that many seconds was given up
// after a time. The next bound is twice as long, so that a runner slower than it
// is configured is found out instead of being given up again and again.
func (r *Runner) Overdue(took time.Duration, expected float64, now time.Time) {
	mean, _ := r.Slowness(now)
	r.slowness.Store(math.Float64bits(min(maxSlowness, max(mean, 2*took.Seconds()/expected))))
	r.measuredAt.Store(now.UnixNano())
}
