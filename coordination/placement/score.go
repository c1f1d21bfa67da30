// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"

	"pinerun.example/pinerun/protocol"
)

const (
	// lossWeight is the weight of the score after the loss of one engine, relative to the score of
	// the complete layout. In the whole fleet, an engine is lost about every ten seconds and
	// returns ten seconds later, so that a data center lacks an engine a third of the time.
	lossWeight = 0.35
	// soleHolderPenalty is the score that it costs if an engine is the only holder of some layer.
	// Every request of the data center passes that engine, so that it can't be excluded while it is
	// slow or aborts answers. Engines are slow or abort answers a twentieth of the time.
	soleHolderPenalty = 0.04
	// detectionSeconds is the time from a loss to the order that repairs it. outageWindowSeconds is
	// the time over which an outage is averaged, which is that of a loss.
	detectionSeconds    = 1.2
	outageWindowSeconds = 10.0
	// repairEngines is the number of engines that load the layers of a gap at the same time.
	repairEngines = 2
	// maxOutageShare limits the share of that time in which nothing is served, also when a loss
	// can't be repaired: the engine returns, and other data centers serve its callers.
	maxOutageShare = 0.95
	// uncoveredLayerPenalty is the score that each layer without a holder costs while a gap is
	// filled.
	uncoveredLayerPenalty = 10
	// minScoredCapacity is the capacity below which layouts get the same score.
	minScoredCapacity = 0.5
	// maxEngineRequests limits the capacity of one engine that counts. An engine runs no more
	// requests at once.
	maxEngineRequests = 192
	// stageOverheadMS is the time that each stage adds to a token: the transfer to the engine and
	// the wait for the engine's next pass.
	stageOverheadMS = 0.3
)

// score returns the score of a layout: the logarithm of the requests a second that it serves, as a
// weighted mean of the complete layout and the layouts after the loss of each engine. The
// throughput is the capacity of the layer with the smallest capacity, divided by the duration of a
// request. A layout of slow engines therefore needs a larger capacity for the same throughput. The
// score of a layout with a gap is negative infinity.
func (p *pool) score() float64 {
	e := p.evaluate()
	capacity := e.minCapacity()
	if capacity <= 0 {
		return math.Inf(-1)
	}
	e.prepareLossScores()
	seconds := e.requestSeconds(capacity)
	complete := math.Log(capacity / seconds)
	afterLoss, soleHolders := 0.0, 0
	for i := range p.groups {
		g := &p.groups[i]
		afterLoss += float64(g.engines) * e.scoreAfterLoss(g, capacity, seconds)
		if !p.replicated(g.span) {
			soleHolders += g.engines
		}
	}
	return (1-lossWeight)*complete + lossWeight*afterLoss/float64(len(p.engines)) - soleHolderPenalty*float64(soleHolders)
}

// Evaluation holds the score of a layout and the terms that it follows from.
type Evaluation struct {
	score          float64
	capacity       float64
	requestSeconds float64
}

// Score returns the logarithm of the requests a second, with and without the loss of an engine.
func (e Evaluation) Score() float64 { return e.score }

// Capacity returns how many requests of typical size can be open, limited by the layer with the
// smallest capacity.
func (e Evaluation) Capacity() float64 { return e.capacity }

// RequestSeconds returns how long each request takes while that many are open.
func (e Evaluation) RequestSeconds() float64 { return e.requestSeconds }

// RequestsPerSecond returns the resulting throughput.
func (e Evaluation) RequestsPerSecond() float64 {
	if e.requestSeconds <= 0 {
		return 0
	}
	return e.capacity / e.requestSeconds
}

// Evaluate evaluates the layout of one pool of engines.
func Evaluate(spec *protocol.EngineSpec, engines []Engine) Evaluation {
	p := newPool(spec, engines)
	e := p.evaluate()
	capacity := e.minCapacity()
	if capacity <= 0 {
		return Evaluation{score: math.Inf(-1)}
	}
	return Evaluation{score: p.score(), capacity: capacity, requestSeconds: e.requestSeconds(capacity)}
}

// scoreWithGap returns the score of a layout with a gap, as if the uncovered layers had ample
// capacity. An uncovered layer counts more than any capacity.
func (p *pool) scoreWithGap() float64 {
	e := p.evaluate()
	uncovered := 0
	capacity := math.Inf(1)
	for l := range e.capacity {
		if p.holders[l] == 0 {
			uncovered++
			continue
		}
		capacity = min(capacity, e.capacity[l])
	}
	if uncovered == p.layers {
		return -uncoveredLayerPenalty * float64(uncovered)
	}
	capacity = max(capacity, minScoredCapacity)
	return math.Log(capacity/e.requestSeconds(capacity)) - uncoveredLayerPenalty*float64(uncovered)
}
