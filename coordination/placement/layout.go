// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// capacitySteps are the request capacities that are compared for a new layout, in requests of
// typical size. Each is about a fifth larger than the one before.
var capacitySteps = [...]int{4, 8, 12, 16, 20, 24, 29, 35, 42, 50, 60, 72, 86, 103, 124, 149, 179}

// layOut assigns layers to the engines of an empty pool in the layout with the highest score.
func (p *pool) layOut() []Reassignment {
	layout, _ := p.bestLayout()
	return p.reassignmentsTo(layout)
}

// bestLayout returns the layout with the highest score, and that score. It compares the layouts of
// each capacity step, with the fastest and with the largest engines first. The engines of the first
// replica keep the order of the layers that they hold now, so that few layers have to be loaded.
func (p *pool) bestLayout() (*pool, float64) {
	layout, highest := p, math.Inf(-1)
	largest, fastest := p.withoutAssignments(false), p.withoutAssignments(true)
	for _, capacity := range capacitySteps {
		for _, empty := range []*pool{fastest, largest} {
			candidate := empty.buildLayout(capacity)
			if score := candidate.score(); score > highest {
				layout, highest = candidate, score
			}
		}
	}
	return layout, highest
}

// withoutAssignments returns the pool as if no engine held anything, sorted by speed or by memory.
func (p *pool) withoutAssignments(fastest bool) *pool {
	empty := &pool{spec: p.spec, layers: p.layers, fastestFirst: fastest, holders: make([]int, p.layers), servingHolders: p.servingHolders, evaluator: p.sharedEvaluator()}
	empty.engines = slices.Clone(p.engines)
	empty.sortEngines()
	for i := range empty.engines {
		m := &empty.engines[i]
		m.previous = m.span
		m.span = protocol.Span{}
	}
	empty.rebuildGroups()
	return empty
}

// buildLayout returns a layout of an empty pool in which each engine has that request capacity.
func (p *pool) buildLayout(capacity int) *pool {
	layout := p.clone()
	for i := range layout.engines {
		m := &layout.engines[i]
		m.capacity = p.layerCapacity(m.memoryMB, capacity)
	}
	layout.assignFirstReplica()
	layout.addReplicas()
	return layout
}

// assignFirstReplica assigns every layer to one engine.
func (p *pool) assignFirstReplica() {
	engines := p.firstReplicaEngines()
	slices.SortStableFunc(engines, func(a, b *member) int {
		return cmp.Compare(a.previous.From+a.previous.To, b.previous.From+b.previous.To)
	})
	from := 0
	for _, m := range engines {
		span := protocol.Span{From: from, To: min(p.layers, from+m.capacity)}
		p.assign(m, span)
		from = span.To
	}
}

// firstReplicaEngines returns engines that hold a replica together, the best ones first. The last
// is the smallest engine that holds the remaining layers, among equally fast ones if speed comes
// first. Its capacity is lowered to what is needed.
func (p *pool) firstReplicaEngines() []*member {
	var chosen []*member
	left := p.layers
	for left > 0 {
		var next *member
		for i := range p.engines {
			m := &p.engines[i]
			if m.capacity == 0 || m.inFirstReplica {
				continue
			}
			if next == nil || m.capacity >= left && (!p.fastestFirst || m.stepFactor == next.stepFactor) {
				next = m
			}
		}
		if next == nil {
			return chosen
		}
		next.capacity = min(next.capacity, left)
		next.inFirstReplica = true
		left -= next.capacity
		chosen = append(chosen, next)
	}
	return chosen
}

// reassignmentsTo returns the reassignments that turn the pool into a layout, and applies them.
func (p *pool) reassignmentsTo(layout *pool) []Reassignment {
	var reassignments []Reassignment
	for i := range p.engines {
		m := &p.engines[i]
		span := layout.member(m.id).span
		if span == m.span || span.Layers() == 0 {
			continue
		}
		reassignments = append(reassignments, Reassignment{engine: m.id, span: span, reason: reasonOf(m.span, span)})
		p.reassign(m, span)
	}
	return reassignments
}

// clone returns a copy of the pool whose engines can be reassigned without a change to p.
func (p *pool) clone() *pool {
	c := *p
	c.engines = slices.Clone(p.engines)
	c.groups = slices.Clone(p.groups)
	c.holders = slices.Clone(p.holders)
	return &c
}

// member returns the engine of the pool with an ID, or nil.
func (p *pool) member(id string) *member {
	if p.indexByID == nil {
		p.indexByID = make(map[string]int, len(p.engines))
		for i := range p.engines {
			p.indexByID[p.engines[i].id] = i
		}
	}
	i, ok := p.indexByID[id]
	if !ok {
		return nil
	}
	return &p.engines[i]
}
