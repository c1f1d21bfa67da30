// SPDX-License-Identifier: Apache-2.0

package placement

import "pinerun.example/pinerun/protocol"

const (
	// minGain is the least gain in score for which an engine is reassigned. Without it engines
	// would be reassigned for no benefit. loadCostPerLayer is the score that each layer that has to
	// be loaded costs. Both are fractions of the data center's throughput.
	minGain          = 0.03
	loadCostPerLayer = 0.001
	// maxEvaluations limits how many spans are evaluated for one plan. An evaluation takes about 10
	// us.
	maxEvaluations = 1500
	// maxUrgentEvaluations is the limit for an urgent plan, which every entry computes up to ten
	// times a second while there is work.
	maxUrgentEvaluations = 400
)

// improve returns reassignments that raise the score of a layout without gaps: those of all engines
// that hold nothing or, once no order is pending, the single best one. It does not continue engine
// by engine to the best layout, because that costs more than it gains: each reassigned engine
// serves nothing for one or two seconds.
func (p *pool) improve(urgent bool) []Reassignment {
	reassignments := p.assignEmptyEngines(urgent)
	if len(reassignments) > 0 || urgent || p.orderPending() {
		return reassignments
	}
	if spare := p.addSpareReplica(); len(spare) > 0 {
		return spare
	}
	return p.improveOne()
}

// orderPending reports whether some engine still carries out an order.
func (p *pool) orderPending() bool {
	for i := range p.engines {
		if m := &p.engines[i]; m.span != m.serving {
			return true
		}
	}
	return false
}

// assignEmptyEngines gives each engine that holds nothing the span with the highest gain.
func (p *pool) assignEmptyEngines(urgent bool) []Reassignment {
	var reassignments []Reassignment
	left := maxEvaluations
	if urgent {
		left = maxUrgentEvaluations
	}
	for i := range p.engines {
		m := &p.engines[i]
		if m.span.Layers() > 0 || m.serving.Layers() > 0 {
			continue
		}
		if left <= 0 {
			break
		}
		if s, _ := p.bestSpan(m, &left); s.Layers() > 0 {
			p.reassign(m, s)
			reassignments = append(reassignments, Reassignment{engine: m.id, span: s, reason: ReasonReplica})
		}
	}
	return reassignments
}

// gain returns by how much the score rises if an engine holds a span, less the cost of loading it.
func (p *pool) gain(m *member, s protocol.Span, score float64) float64 {
	before := m.span
	p.assign(m, s)
	gain := p.score() - score - loadCostPerLayer*float64(addedLayers(before, s))
	p.assign(m, before)
	return gain
}

// improveOne returns the single reassignment with the highest gain, if the gain exceeds minGain.
func (p *pool) improveOne() []Reassignment {
	left := maxEvaluations
	var chosen *member
	var span protocol.Span
	highest := minGain
	for _, m := range p.representatives() {
		if s, gain := p.bestSpan(m, &left); s.Layers() > 0 && gain > highest {
			chosen, span, highest = m, s, gain
		}
	}
	if chosen == nil {
		return nil
	}
	p.reassign(chosen, span)
	return []Reassignment{{engine: chosen.id, span: span, reason: ReasonImprove}}
}

// bestSpan returns the span that gives the highest gain if an engine holds it, and that gain. The
// span contains every layer of the engine that has no other known holder. Each evaluation reduces
// left by one, and the search stops when none is left.
func (p *pool) bestSpan(m *member, left *int) (protocol.Span, float64) {
	var best protocol.Span
	before := m.span
	required := p.requiredSpan(m)
	score := p.score()
	highest := 0.0
	boundaries := p.boundaries()
	for i, from := range boundaries {
		if required.Layers() > 0 && from > required.From {
			break
		}
		for _, to := range boundaries[i+1:] {
			s := protocol.Span{From: from, To: to}
			if to-from > p.layerCapacity(m.memoryMB, minRequestCapacity) {
				break
			}
			if required.Layers() > 0 && to < required.To || s == before {
				continue
			}
			if *left--; *left < 0 {
				return best, highest
			}
			if gain := p.gain(m, s, score); gain > highest {
				best, highest = s, gain
			}
		}
	}
	return best, highest
}
