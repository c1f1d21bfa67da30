// SPDX-License-Identifier: Apache-2.0

package admit

import "time"

const (
	// windowSamples and windowTime bound the window over which gaps between
	// tokens are averaged before the limit moves.
	windowSamples = 50
	windowTime    = 200 * time.Millisecond
	// growBy and shrinkTo are the steps of the limit.
	growBy   = 1.08
	shrinkTo = 0.92
	// growBelow is the part of the goal under which the limit may grow.
	growBelow = 0.9
	minLimit  = 4
)

// Limit finds how many requests may run at once so that the mean gap between
// tokens stays near a goal. More would only wait inside the engines, where
// neither share nor deadline counts any more; fewer would leave runners idle.
// The zero value starts at the first maximum it is given.
type Limit struct {
	current float64
	sum     time.Duration
	samples int
	since   time.Time
}

// Capacity returns the limit, at most maximum.
func (l *Limit) Capacity(maximum int) int {
	if l.current == 0 || l.current > float64(maximum) {
		l.current = float64(maximum)
	}
	return max(1, int(l.current))
}

// Observe takes one gap between tokens. Full says that the limit is reached, so
// that the gap tells something about it. Goal is the gap wanted.
func (l *Limit) Observe(gap, goal time.Duration, full bool, now time.Time) {
	if l.samples == 0 {
		l.since = now
	}
	l.sum += gap
	l.samples++
	if l.samples < windowSamples || now.Sub(l.since) < windowTime {
		return
	}
	mean := l.sum / time.Duration(l.samples)
	l.sum, l.samples = 0, 0
	switch {
	case mean > goal:
		l.current = max(minLimit, l.current*shrinkTo)
	case full && mean < time.Duration(growBelow*float64(goal)):
		l.current *= growBy
	}
}
