// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

const (
	// minStepSeconds is the least time that a step is expected to take, since an engine
	// processes steps in batches.
	minStepSeconds = 0.002
	// congestionWeight is the factor added to the cost of a layer at full utilization. It
	// scales with the square of the utilization, which counts this entry's requests and as
	// many from each other entry.
	congestionWeight = 6.0
	// overloadWeight is a further factor added at full utilization, because a full runner
	// refuses requests. It scales with the sixth power of the utilization, so it matters
	// little below three quarters.
	overloadWeight = 30.0
	// minReportedUtilization is the utilization from which a runner's own report counts for
	// the choice of a path. Below it, entries with the same report would all choose the same
	// runner until the next report; their own open requests spread the load.
	minReportedUtilization = 0.75
)

// linkSeconds is the expected round-trip time of each link class before any measurement.
var linkSeconds = [...]float64{Near: 0.0005, Far: 0.005, Slow: 0.05}

// Cost returns the expected seconds until the reply to a step of that many positions, by
// the recent behavior of the runner.
func (r *Runner) Cost(now time.Time, positions int) float64 {
	slowdown, _ := r.Slowdown(now)
	return r.ExpectedLatency(now, positions) * slowdown
}

// ExpectedLatency returns the seconds until the reply to a step of that many positions
// if the runner keeps its configured speed.
func (r *Runner) ExpectedLatency(now time.Time, positions int) float64 {
	work := float64(positions*r.Span().Layers()) / r.spec.Speed
	return r.QueueDelay(now) + work + minStepSeconds + linkSeconds[r.link]
}

// QueueDelay returns the seconds that a step sent now is expected to queue. It takes the
// last reported queue, less the work done since, plus the work that this entry sent since.
func (r *Runner) QueueDelay(now time.Time) float64 {
	own := float64(r.outstanding.Load())
	age := float64(now.UnixNano()-r.reportedAt.Load()) / float64(time.Second)
	if age < 0 || age > reportTTL.Seconds() {
		return own / r.spec.Speed
	}
	reported := float64(r.queued.Load()+r.sentSince.Load()) - r.spec.Speed*age
	return max(own, reported) / r.spec.Speed
}

// RequestCost returns the expected seconds of a whole request with so many prompt and
// output tokens: a fixed part, and a part for each layer. Sharers is the number of entries
// that send to the runner. All of them are assumed to send the same amount of work.
func (r *Runner) RequestCost(now time.Time, promptTokens, outputTokens int, sharers float64) (fixed, perLayer float64) {
	slowdown, _ := r.Slowdown(now)
	fixed = slowdown * (r.QueueDelay(now) + minStepSeconds + linkSeconds[r.link])
	perLayer = slowdown * (float64(promptTokens)/r.spec.Speed + float64(outputTokens)*r.spec.StepSeconds)
	if r.spec.Capacity > 0 {
		utilization := sharers * float64(r.outstanding.Load()) / r.capacityPasses()
		if reported := r.Utilization(now, 0); reported > minReportedUtilization {
			utilization = max(utilization, reported)
		}
		square := utilization * utilization
		perLayer *= 1 + congestionWeight*square + overloadWeight*square*square*square
	}
	return fixed, perLayer
}

// AddBacklog adds layer passes that this entry's streams will still need here. A negative
// number removes them.
func (r *Runner) AddBacklog(passes int64) { r.backlog.Add(passes) }

// Backlog returns the seconds of work that this entry's streams still need here.
func (r *Runner) Backlog() float64 { return float64(r.backlog.Load()) / r.spec.Speed }

// Sent notes that a step of that many layer passes was sent to the runner.
func (r *Runner) Sent(passes int64) {
	r.outstanding.Add(passes)
	r.sentSince.Add(passes)
}

// Settled notes that a step was answered or abandoned.
func (r *Runner) Settled(passes int64) { r.outstanding.Add(-passes) }
