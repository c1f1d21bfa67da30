// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// minRequestCapacity is the smallest request capacity with which a data center gets a replica of
// its own.
const minRequestCapacity = 4

// pool is a set of engines that hold replicas of the model together: the engines of one data
// center, or those of all data centers that are too small for a replica of their own.
type pool struct {
	spec           *protocol.EngineSpec
	layers         int
	fastestFirst   bool // sort engines by speed, not by memory
	engines        []member
	groups         []group        // the engines by accelerator and span, in order
	indexByID      map[string]int // position in engines by ID, nil until it is needed
	holders        []int          // number of engines that hold each layer
	servingHolders []int          // number of engines that are known to serve each layer
	evaluator      *evaluator
}

// member is an engine of a pool, with the layers that it can hold and does hold.
type member struct {
	id             string
	accelerator    int // index in the accelerators of the spec
	memoryMB       float64
	stepFactor     float64       // duration of a step relative to the fastest accelerator
	capacity       int           // layers that it can hold in a new layout
	inFirstReplica bool          // it is part of the first replica of a new layout
	previous       protocol.Span // what it held before the new layout
	span           protocol.Span
	serving        protocol.Span
	slow           bool
	reassigned     bool // the plan reassigns it
}

// pools groups the engines of a query that are not leaving into pools.
func pools(q Query) []*pool {
	byCenter := map[string][]Engine{}
	var centers []string
	for _, e := range q.Engines {
		if e.Leaving {
			continue
		}
		if byCenter[e.DataCenter] == nil {
			centers = append(centers, e.DataCenter)
		}
		byCenter[e.DataCenter] = append(byCenter[e.DataCenter], e)
	}
	slices.Sort(centers)
	var all []*pool
	var small []Engine
	for _, c := range centers {
		p := newPool(q.Spec, byCenter[c])
		if !p.fitsModel() {
			small = append(small, byCenter[c]...)
			continue
		}
		all = append(all, p)
	}
	if p := newPool(q.Spec, small); p.fitsModel() {
		all = append(all, p)
	}
	return all
}

// newPool returns a pool of the engines with the layers that they hold. It skips engines whose
// accelerator is unknown.
func newPool(spec *protocol.EngineSpec, engines []Engine) *pool {
	p := &pool{
		spec: spec, layers: spec.Layers, holders: make([]int, spec.Layers), servingHolders: make([]int, spec.Layers),
		engines: make([]member, 0, len(engines)),
	}
	for _, e := range engines {
		k := slices.IndexFunc(spec.Accelerators, func(a protocol.AcceleratorSpec) bool { return a.Name == e.Accelerator })
		if k < 0 {
			continue
		}
		a := &spec.Accelerators[k]
		p.engines = append(p.engines, member{
			id: e.ID, accelerator: k, memoryMB: a.MemoryMB, stepFactor: a.StepFactor, span: e.Held, serving: e.Serving, slow: e.Slow,
		})
	}
	p.sortEngines()
	p.rebuildGroups()
	for i := range p.engines {
		p.addHolders(p.holders, p.engines[i].span, 1)
		p.addHolders(p.servingHolders, p.engines[i].serving, 1)
	}
	return p
}

// fitsModel reports whether the engines can hold the complete model with at least
// minRequestCapacity.
func (p *pool) fitsModel() bool {
	sum := 0
	for i := range p.engines {
		sum += p.layerCapacity(p.engines[i].memoryMB, minRequestCapacity)
	}
	return sum >= p.layers && p.layers > 0
}

// layerCapacity returns how many layers an engine with that much memory can hold beside the KV
// cache of that many requests of typical size.
func (p *pool) layerCapacity(memoryMB float64, requests int) int {
	return LayerCapacity(p.spec, memoryMB, float64((p.spec.TypicalPrompt+p.spec.TypicalAnswer)*requests))
}

// empty reports whether no engine holds or loads any layer.
func (p *pool) empty() bool {
	return !slices.ContainsFunc(p.engines, func(m member) bool { return m.span.Layers() > 0 || m.serving.Layers() > 0 })
}

// sortEngines puts the fastest or the largest engines first, so that a pass through a replica takes
// little time or a replica has few stages.
func (p *pool) sortEngines() {
	slices.SortFunc(p.engines, func(a, b member) int {
		if p.fastestFirst && a.stepFactor != b.stepFactor {
			return cmp.Compare(a.stepFactor, b.stepFactor)
		}
		return cmp.Or(cmp.Compare(b.memoryMB, a.memoryMB), cmp.Compare(a.id, b.id))
	})
}

// addHolders adds a number to the holders of each layer of a span.
func (p *pool) addHolders(holders []int, s protocol.Span, n int) {
	for l := max(0, s.From); l < min(s.To, p.layers); l++ {
		holders[l] += n
	}
}

// assign replaces the span that an engine holds.
func (p *pool) assign(m *member, s protocol.Span) {
	p.addHolders(p.holders, m.span, -1)
	p.removeFromGroup(m)
	m.span = s
	p.addToGroup(m)
	p.addHolders(p.holders, s, 1)
}

// reassign assigns a span to an engine as part of the plan.
func (p *pool) reassign(m *member, s protocol.Span) {
	p.assign(m, s)
	m.reassigned = true
}

// gap returns the first run of layers without a holder. It is empty if every layer has one.
func (p *pool) gap() protocol.Span {
	for l := range p.holders {
		if p.holders[l] > 0 {
			continue
		}
		end := l
		for end < p.layers && p.holders[end] == 0 {
			end++
		}
		return protocol.Span{From: l, To: end}
	}
	return protocol.Span{}
}

// replicated reports whether every layer of a span has at least two holders.
func (p *pool) replicated(s protocol.Span) bool {
	for l := max(0, s.From); l < min(s.To, p.layers); l++ {
		if p.holders[l] < 2 {
			return false
		}
	}
	return true
}

// boundaries returns the layers at which some span begins or ends, in order.
func (p *pool) boundaries() []int {
	isBoundary := make([]bool, p.layers+1)
	isBoundary[0], isBoundary[p.layers] = true, true
	for i := range p.groups {
		if s := p.groups[i].span; s.Layers() > 0 {
			isBoundary[max(0, min(s.From, p.layers))] = true
			isBoundary[max(0, min(s.To, p.layers))] = true
		}
	}
	var boundaries []int
	for l, ok := range isBoundary {
		if ok {
			boundaries = append(boundaries, l)
		}
	}
	return boundaries
}
