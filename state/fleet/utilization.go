// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"time"
)

const (
	// utilizationTTL is how long a runner's report of its utilization is trusted. Some reports
	// may be lost, and a stream lasts some seconds.
	utilizationTTL = 1500 * time.Millisecond
	// refusalTTL is how long a runner that refused a request for lack of capacity counts as
	// full.
	refusalTTL = 250 * time.Millisecond
	// meanCacheShare is the average share of its final KV cache that a running request
	// occupies: its prompt and half of its answer, at the typical sizes of 760 and 240 tokens.
	meanCacheShare = 0.88
)

// ReportUtilization applies the runner's report of the share of its capacity that the
// requests of all entries use.
func (r *Runner) ReportUtilization(share float64, now time.Time) {
	r.setUsed(share*r.capacityPasses(), now, utilizationTTL)
}

// RefusedForCapacity notes that the runner just refused a request for lack of capacity.
func (r *Runner) RefusedForCapacity(now time.Time) { r.setUsed(r.capacityPasses(), now, refusalTTL) }

// setUsed notes how many layer passes the requests of all entries held at that time.
func (r *Runner) setUsed(passes float64, now time.Time, ttl time.Duration) {
	r.usedByOthers.Store(math.Float64bits(passes - meanCacheShare*float64(r.outstanding.Load())))
	r.usedUntil.Store(now.Add(ttl).UnixNano())
}

// UtilizationUntil returns until when the last report of utilization is trusted.
func (r *Runner) UtilizationUntil() time.Time { return time.Unix(0, r.usedUntil.Load()) }

// Outstanding returns how many layer passes of this entry's requests are open here.
func (r *Runner) Outstanding() int64 { return r.outstanding.Load() }

// Utilization returns the share of the runner's capacity in use after a request of that
// many layer passes is added. It combines the last report for all entries with the requests
// that this entry has started and finished since. Without a valid report only this entry's
// open requests count. Utilization is 0 if the capacity is unknown.
func (r *Runner) Utilization(now time.Time, passes float64) float64 {
	capacity := r.capacityPasses()
	if capacity <= 0 {
		return 0
	}
	used := meanCacheShare * (float64(r.outstanding.Load()) + passes)
	if now.UnixNano() < r.usedUntil.Load() {
		used += math.Float64frombits(r.usedByOthers.Load())
	}
	return max(0, used) / capacity
}

// capacityPasses returns the capacity in layer passes: tokens times the layers that the
// runner holds.
func (r *Runner) capacityPasses() float64 { return r.spec.Capacity * float64(r.Span().Layers()) }
