// SPDX-License-Identifier: Apache-2.0

// Package detect decides how long a silent runner may take before a step counts
// as lost. The bound follows what the runner has shown: its running mean and
// deviation, the work sent and the queue expected there.
//
//	deadline := detect.Deadline(runner, sentAt, positions)
package detect

import (
	"time"

	"pinerun.example/pinerun/state/fleet"
)

const (
	// deviations is how far beyond the mean a step may take, as in
	// phi-accrual detection with phi near 8 for a normal tail.
	deviations = 6
	// slack allows for pauses of this process and of the engine.
	slack = 60 * time.Millisecond
	// workMargin is how often the expected work may last longer than expected.
	workMargin = 3
)

// Deadline returns the time by which a reply to a step of that many positions,
// sent now, must have come.
func Deadline(r *fleet.Runner, now time.Time, positions int) time.Time {
	mean, deviation := r.Latency()
	seconds := mean + deviations*deviation + workMargin*r.Cost(now, positions)
	return now.Add(slack + time.Duration(seconds*float64(time.Second)))
}
