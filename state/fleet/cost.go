// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

const (
	// batchSeconds is the least time that a step is expected to take at an
	// engine, which works in batches.
	batchSeconds = 0.002
	// crowding is how many times longer a layer is taken to need at a runner whose
	// room is full of this entry's requests and of as many of each entry beside it.
	crowding = 6.0
	// overflowing is how many times longer yet when it is full, since a request beyond
	// it is refused. It grows with the sixth power, so that it counts for little until
	// three quarters are taken.
	overflowing = 30.0
	// nearlyFull is the part of a runner's room from which what it reported counts for the
	// choice of a path. Below it, entries that hear the same would all run to the same
	// runner until they hear again; what each has open itself spreads them.
	nearlyFull = 0.75
)

// linkSeconds is the expected time there and back, before anything is measured.
var linkSeconds = [...]float64{Near: 0.0005, Far: 0.005, Slow: 0.05}

// Cost returns the seconds until the reply to a step of that many positions, by
// what the runner has shown lately.
func (r *Runner) Cost(now time.Time, positions int) float64 {
	slowness, _ := r.Slowdown(now)
	return r.ExpectedLatency(now, positions) * slowness
}

// ExpectedLatency returns the seconds until the reply to a step of that many positions
// if the runner keeps its configured speed.
func (r *Runner) ExpectedLatency(now time.Time, positions int) float64 {
	work := float64(positions*r.Span().Layers()) / r.spec.Speed
	return r.QueueDelay(now) + work + batchSeconds + linkSeconds[r.link]
}

// QueueDelay returns the seconds that a step sent now is expected to queue: the last
// report less what was worked off since, plus what this entry sent since.
func (r *Runner) QueueDelay(now time.Time) float64 {
	own := float64(r.outstanding.Load())
	age := float64(now.UnixNano()-r.reportedAt.Load()) / float64(time.Second)
	if age < 0 || age > reportTrust.Seconds() {
		return own / r.spec.Speed
	}
	reported := float64(r.queued.Load()+r.sentSince.Load()) - r.spec.Speed*age
	return max(own, reported) / r.spec.Speed
}

// RequestCost returns the expected seconds of a whole request that reads and writes so
// many tokens: those whatever the number of layers, and those for each layer.
// Sharers is how many entries send to the runner; each is taken to send alike.
func (r *Runner) RequestCost(now time.Time, read, write int, sharers float64) (fixed, layer float64) {
	slowness, _ := r.Slowdown(now)
	fixed = slowness * (r.QueueDelay(now) + batchSeconds + linkSeconds[r.link])
	layer = slowness * (float64(read)/r.spec.Speed + float64(write)*r.spec.Step)
	if r.spec.Room > 0 {
		full := sharers * float64(r.outstanding.Load()) / r.roomPasses()
		if known := r.Utilization(now, 0); known > nearlyFull {
			full = max(full, known)
		}
		square := full * full
		layer *= 1 + crowding*square + overflowing*square*square*square
	}
	return fixed, layer
}

// AddBacklog notes that this entry's streams will need that many more layer passes
// here, or fewer when it is negative.
func (r *Runner) AddBacklog(passes int64) { r.pledged.Add(passes) }

// Backlog returns the seconds of work that this entry's streams still need here.
func (r *Runner) Backlog() float64 { return float64(r.pledged.Load()) / r.spec.Speed }

// Sent notes that a step of that many layer passes left for the runner.
func (r *Runner) Sent(passes int64) {
	r.outstanding.Add(passes)
	r.sentSince.Add(passes)
}

// Settled notes that a step was answered, or given up.
func (r *Runner) Settled(passes int64) { r.outstanding.Add(-passes) }
