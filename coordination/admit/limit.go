// SPDX-License-Identifier: Apache-2.0

package admit

import "time"

const (
	// windowSamples and windowDuration are the minimum number of samples and
	// the minimum time over which token gaps are averaged before the limit
	// changes.
	windowSamples  = 50
	windowDuration = 200 * time.Millisecond
	// growFactor and shrinkFactor are the steps by which the limit changes.
	growFactor   = 1.08
	shrinkFactor = 0.92
	// growThreshold is the fraction of the target gap below which the limit may grow.
	growThreshold = 0.9
	minLimit      = 4
)

// Limit adapts how many requests may run at once so that the mean gap between
// tokens stays near a target. With a higher limit, requests wait inside the
// engines, where neither the team's share nor the deadline counts. With a lower
// one, runners are idle. The zero value starts at the maximum that the first call
// of Capacity gives.
type Limit struct {
	current float64
	sum     time.Duration
	samples int
	since   time.Time
}

// Capacity returns the limit, which is at most maximum and at least 1.
func (l *Limit) Capacity(maximum int) int {
	if l.current == 0 || l.current > float64(maximum) {
		l.current = float64(maximum)
	}
	return max(1, int(l.current))
}

// Observe records one gap between tokens. Saturated says that the limit is
// reached: only then does a short gap show that more requests could run.
func (l *Limit) Observe(gap, target time.Duration, saturated bool, now time.Time) {
	if l.samples == 0 {
		l.since = now
	}
	l.sum += gap
	l.samples++
	if l.samples < windowSamples || now.Sub(l.since) < windowDuration {
		return
	}
	mean := l.sum / time.Duration(l.samples)
	l.sum, l.samples = 0, 0
	switch {
	case mean > target:
		l.current = max(minLimit, l.current*shrinkFactor)
	case saturated && mean < time.Duration(growThreshold*float64(target)):
		l.current *= growFactor
	}
}
