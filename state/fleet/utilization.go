// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"time"
)

const (
	// usedTrust is how long what a runner reported of its room is believed: some reports
	// may be lost, and a stream lives for some seconds.
	usedTrust = 1500 * time.Millisecond
	// fullTrust is how long a runner that refused for want of room is taken to be full.
	fullTrust = 250 * time.Millisecond
	// writtenShare is the part of what a request will hold in the end that it holds on
	// average while it runs: its prompt and half of its answer, at the usual sizes of 760
	// and 240 tokens.
	writtenShare = 0.88
)

// ReportUtilization takes which part of the runner's room is used by the requests of all
// entries, as it reported.
func (r *Runner) ReportUtilization(part float64, now time.Time) {
	r.noteUsed(part*r.roomPasses(), now, usedTrust)
}

// RefusedForCapacity notes that the runner had no room for a request just now.
func (r *Runner) RefusedForCapacity(now time.Time) { r.noteUsed(r.roomPasses(), now, fullTrust) }

// noteUsed notes how many layer passes the requests of all entries held at that time.
func (r *Runner) noteUsed(passes float64, now time.Time, trust time.Duration) {
	r.used.Store(math.Float64bits(passes - writtenShare*float64(r.outstanding.Load())))
	r.usedTill.Store(now.Add(trust).UnixNano())
}

// UtilizationUntil returns until when the last word on the runner's room is believed.
func (r *Runner) UtilizationUntil() time.Time { return time.Unix(0, r.usedTill.Load()) }

// Outstanding returns how many layer passes of this entry's requests are open here.
func (r *Runner) Outstanding() int64 { return r.outstanding.Load() }

// Utilization returns which part of the runner's room is taken when a request of that many
// layer passes comes to it: what all entries' requests held by the last word, and what
// this entry has begun and ended since; without such a word only what this entry has
// open. It is 0 when the runner's room is unknown.
func (r *Runner) Utilization(now time.Time, passes float64) float64 {
	room := r.roomPasses()
	if room <= 0 {
		return 0
	}
	taken := writtenShare * (float64(r.outstanding.Load()) + passes)
	if now.UnixNano() < r.usedTill.Load() {
		taken += math.Float64frombits(r.used.Load())
	}
	return max(0, taken) / room
}

// roomPasses returns how many tokens fit, each in every layer that the runner holds.
func (r *Runner) roomPasses() float64 { return r.spec.Room * float64(r.Span().Layers()) }
