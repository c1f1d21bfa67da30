// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// evaluator computes the score of a layout and the terms that it consists of.
type evaluator struct {
	spec          *protocol.EngineSpec
	pool          *pool
	capacity      []float64                 // request capacity of each layer
	byAccelerator [][]layerTotals           // totals for each accelerator and layer
	fastestFirst  []int                     // accelerators, the fastest first
	layersFitting [][len(capacitySteps)]int // layers that an engine of each accelerator holds at each capacity step
	spareLayers   [len(capacitySteps)]int   // layers that engines whose own layers have other holders can take over, at each capacity step
	// minBefore and minFrom are the smallest capacity of the layers before a layer, and of the
	// layer and those after it.
	minBefore, minFrom []float64
	// spareEndingAt and spareBeginningAt are how many further layers an engine whose span ends or
	// begins at a layer can hold, at each capacity step.
	spareEndingAt, spareBeginningAt [][len(capacitySteps)]int
}

// layerTotals holds the totals of the engines of one accelerator that hold a layer.
type layerTotals struct {
	capacity    float64
	holders     int
	stageShares float64 // sum of 1/(layers of the span) over the engines
}

// sharedEvaluator returns the evaluator that all layouts of a plan share. A plan evaluates hundreds
// of layouts one after the other, and reuses the memory.
func (p *pool) sharedEvaluator() *evaluator {
	if p.evaluator == nil || len(p.evaluator.capacity) != p.layers {
		p.evaluator = newEvaluator(p.spec)
	}
	return p.evaluator
}

// evaluate computes the capacities of the layout. The result is valid until the next call.
func (p *pool) evaluate() *evaluator {
	e := p.sharedEvaluator()
	e.pool = p
	clear(e.capacity)
	for k := range e.byAccelerator {
		clear(e.byAccelerator[k])
	}
	e.sumGroups()
	e.computeMinimums()
	return e
}

func newEvaluator(spec *protocol.EngineSpec) *evaluator {
	e := &evaluator{
		spec: spec, capacity: make([]float64, spec.Layers),
		byAccelerator: make([][]layerTotals, len(spec.Accelerators)),
		fastestFirst:  make([]int, len(spec.Accelerators)),
		layersFitting: make([][len(capacitySteps)]int, len(spec.Accelerators)),
		minBefore:     make([]float64, spec.Layers+1), minFrom: make([]float64, spec.Layers+1),
		spareEndingAt: make([][len(capacitySteps)]int, spec.Layers+1), spareBeginningAt: make([][len(capacitySteps)]int, spec.Layers+1),
	}
	for k := range e.byAccelerator {
		e.byAccelerator[k] = make([]layerTotals, spec.Layers)
		e.fastestFirst[k] = k
		for i, capacity := range capacitySteps {
			e.layersFitting[k][i] = LayerCapacity(spec, spec.Accelerators[k].MemoryMB, float64((spec.TypicalPrompt+spec.TypicalAnswer)*capacity))
		}
	}
	slices.SortFunc(e.fastestFirst, func(a, b int) int {
		return cmp.Compare(spec.Accelerators[a].StepFactor, spec.Accelerators[b].StepFactor)
	})
	return e
}

func (e *evaluator) sumGroups() {
	p := e.pool
	for i := range p.groups {
		g := &p.groups[i]
		layers := g.span.Layers()
		if layers == 0 {
			continue
		}
		n := float64(g.engines)
		capacity := n * e.engineCapacity(g)
		for l := max(0, g.span.From); l < min(g.span.To, p.layers); l++ {
			e.capacity[l] += capacity
			totals := &e.byAccelerator[g.accelerator][l]
			totals.capacity += capacity
			totals.holders += g.engines
			totals.stageShares += n / float64(layers)
		}
	}
}

// engineCapacity returns how many requests of typical size fit into each engine of a group beside
// the weights of its layers.
func (e *evaluator) engineCapacity(g *group) float64 {
	layers := float64(g.span.Layers())
	tokens := float64(e.spec.TypicalPrompt + e.spec.TypicalAnswer)
	if layers == 0 || e.spec.TokenLayerMB <= 0 || tokens == 0 {
		return 0
	}
	capacity := (g.memoryMB - layers*e.spec.LayerMB) / (layers * e.spec.TokenLayerMB * tokens)
	return min(max(0, capacity), maxEngineRequests)
}

// minCapacity returns the smallest capacity of all layers.
func (e *evaluator) minCapacity() float64 { return e.minBefore[len(e.capacity)] }

// requestSeconds returns how long a request of typical size takes while that many requests are
// open. In each layer the fastest holders are full before slower ones take any request.
func (e *evaluator) requestSeconds(open float64) float64 {
	spec := e.spec
	perToken, perPrompt := 0.0, 0.0
	for l := range e.capacity {
		left := open
		for _, k := range e.fastestFirst {
			totals := &e.byAccelerator[k][l]
			requests := min(left, totals.capacity)
			if requests <= 0 {
				continue
			}
			left -= requests
			share := requests / open
			step := spec.StepMS + spec.SequenceMS*requests/float64(totals.holders)
			perToken += share * (spec.Accelerators[k].StepFactor*step/float64(spec.Layers) + stageOverheadMS*totals.stageShares/float64(totals.holders))
			perPrompt += share * spec.Accelerators[k].ReadFactor / float64(spec.Layers)
		}
	}
	prefill := 0.0
	if spec.PrefillPerSecond > 0 {
		prefill = perPrompt * float64(spec.TypicalPrompt) / spec.PrefillPerSecond
	}
	return max(1e-6, perToken/1000*float64(spec.TypicalAnswer)+prefill)
}

// scoreAfterLoss returns the score of the layout without one engine of a group. If all layers of
// the engine have other holders, it depends on their capacity. Otherwise it depends on the capacity
// that remains once the gap is filled, less the outage until then.
func (e *evaluator) scoreAfterLoss(g *group, capacity, seconds float64) float64 {
	own := e.engineCapacity(g)
	from, to := max(0, g.span.From), min(g.span.To, e.pool.layers)
	remaining, uncovered := capacity, 0
	if from < to {
		remaining = min(e.minBefore[from], e.minFrom[to])
	}
	for l := from; l < to; l++ {
		if e.pool.holders[l] < 2 {
			uncovered++
			continue
		}
		remaining = min(remaining, e.capacity[l]-own)
	}
	if uncovered == 0 {
		return math.Log(max(remaining, 1) / seconds)
	}
	spec := e.spec
	repaired := min(remaining, float64(e.repairCapacity(g, uncovered)))
	outage := (detectionSeconds + float64(uncovered)/float64(spec.Layers)*spec.LoadMS/1000/repairEngines) / outageWindowSeconds
	return math.Log(max(repaired*(1-min(maxOutageShare, outage)), capacity*(1-maxOutageShare)) / seconds)
}

// repairCapacity returns the largest request capacity that the engines can keep while they take
// over the layers of a lost engine. These are the engines whose layers have other holders, wherever
// they are, and the engines that hold the adjacent layers, as far as their memory allows. It
// returns 0 if they can't take over the gap at any capacity step.
func (e *evaluator) repairCapacity(lost *group, uncovered int) int {
	before := &e.spareEndingAt[max(0, lost.span.From)]
	after := &e.spareBeginningAt[min(lost.span.To, e.pool.layers)]
	for i := len(capacitySteps) - 1; i >= 0; i-- {
		if uncovered <= e.spareLayers[i]+before[i]+after[i] {
			return capacitySteps[i]
		}
	}
	return 0
}

// prepareLossScores computes what scoreAfterLoss needs from all layers and engines.
func (e *evaluator) prepareLossScores() {
	e.spareLayers = [len(capacitySteps)]int{}
	clear(e.spareEndingAt)
	clear(e.spareBeginningAt)
	for i := range e.pool.groups {
		g := &e.pool.groups[i]
		if e.pool.replicated(g.span) {
			e.addSpareLayers(g)
		}
		e.addAdjacentLayers(g)
	}
}

// computeMinimums computes the smallest capacity before and after each layer.
func (e *evaluator) computeMinimums() {
	n := len(e.capacity)
	e.minBefore[0], e.minFrom[n] = math.Inf(1), math.Inf(1)
	for l := range n {
		e.minBefore[l+1] = min(e.minBefore[l], e.capacity[l])
	}
	for l := n - 1; l >= 0; l-- {
		e.minFrom[l] = min(e.minFrom[l+1], e.capacity[l])
	}
}

// addSpareLayers adds, for each capacity step, the layers that the engines of a group can take
// over. The layers of the group itself must have other holders.
func (e *evaluator) addSpareLayers(g *group) {
	for i := range capacitySteps {
		e.spareLayers[i] += g.engines * e.layersFitting[g.accelerator][i]
	}
}

// addAdjacentLayers records, for each capacity step, how many further layers an engine of a group
// can hold.
func (e *evaluator) addAdjacentLayers(g *group) {
	layers := g.span.Layers()
	if layers == 0 || g.span.From < 0 || g.span.To > e.pool.layers {
		return
	}
	ending, beginning := &e.spareEndingAt[g.span.To], &e.spareBeginningAt[g.span.From]
	for i := range capacitySteps {
		spare := e.layersFitting[g.accelerator][i] - layers
		ending[i] = max(ending[i], spare)
		beginning[i] = max(beginning[i], spare)
	}
}
