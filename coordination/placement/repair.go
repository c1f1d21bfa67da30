// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// maxGapParts is the largest number of parts into which a gap is split. Engines load their parts at
// the same time, so that a gap in four parts is filled in a quarter of the time. Each part adds a
// stage to every path.
const maxGapParts = 4

// rebuildCost is how much higher the score of a new layout must be than that of a layout in which
// only the gap is filled.
const rebuildCost = 0.7

// repair fills every gap that can be filled, each in the way with the highest score: as one span or
// in parts, with engines that hold nothing, with engines whose layers have other holders, and with
// engines that hold the adjacent layers, which lose request capacity.
func (p *pool) repair() []Reassignment {
	var reassignments []Reassignment
	for {
		gap := p.gap()
		if gap.Layers() == 0 {
			return reassignments
		}
		filling := p.fillGap(gap)
		if len(filling) == 0 {
			return reassignments
		}
		for _, r := range filling {
			p.reassign(p.member(r.engine), r.span)
		}
		reassignments = append(reassignments, filling...)
	}
}

// fillGap returns the reassignments that fill a gap best, or as much of it as possible. A data
// center with a gap serves nothing. It may therefore also get a new layout, for which even the last
// holder of a layer gives it up: the only limit then is the time to load the layers.
func (p *pool) fillGap(gap protocol.Span) []Reassignment {
	best, highest := p.rebuild()
	for parts := 1; parts <= min(maxGapParts, gap.Layers()); parts++ {
		candidate := p.clone()
		reassignments := candidate.fillParts(gap, parts)
		if score := candidate.repairScore() - candidate.loadCost(p); len(reassignments) > 0 && score > highest {
			best, highest = reassignments, score
		}
	}
	return best
}

// rebuild returns the reassignments to a new layout and its score, less the cost of loading it and
// rebuildCost. There are none while an order is pending, since an engine that carries out an order
// takes no other.
func (p *pool) rebuild() ([]Reassignment, float64) {
	if p.hasReassignments() || p.orderPending() {
		return nil, math.Inf(-1)
	}
	layout, score := p.bestLayout()
	return p.clone().reassignmentsTo(layout), score - layout.loadCost(p) - rebuildCost
}

// hasReassignments reports whether the plan has reassigned an engine already.
func (p *pool) hasReassignments() bool {
	return slices.ContainsFunc(p.engines, func(m member) bool { return m.reassigned })
}

// repairScore returns the score of the layout, or its scoreWithGap if it has a gap.
func (p *pool) repairScore() float64 {
	if p.gap().Layers() > 0 {
		return p.scoreWithGap()
	}
	return p.score()
}

// fillParts fills a gap in a number of parts of about the same size.
func (p *pool) fillParts(gap protocol.Span, parts int) []Reassignment {
	var reassignments []Reassignment
	for i := range parts {
		part := protocol.Span{
			From: gap.From + gap.Layers()*i/parts,
			To:   gap.From + gap.Layers()*(i+1)/parts,
		}
		if r, ok := p.fillPart(part); ok {
			p.reassign(p.member(r.engine), r.span)
			reassignments = append(reassignments, r)
		}
	}
	return reassignments
}

// fillPart returns the reassignment that fills a part of a gap best.
func (p *pool) fillPart(part protocol.Span) (Reassignment, bool) {
	var best Reassignment
	highest := math.Inf(-1)
	for _, m := range p.representatives() {
		if m.reassigned {
			continue
		}
		for _, s := range p.spansCovering(m, part) {
			if s.Layers() == 0 || s.Layers() > p.layerCapacity(m.memoryMB, minRequestCapacity) {
				continue
			}
			before := m.span
			p.assign(m, s)
			if score := p.scoreWithGap(); score > highest {
				highest = score
				best = Reassignment{engine: m.id, span: s, reason: reasonOf(before, s)}
			}
			p.assign(m, before)
		}
	}
	return best, !math.IsInf(highest, -1)
}

// spansCovering returns the spans with which an engine could hold a part of a gap: the part alone,
// the part with all layers that the engine holds, and the part with those layers that it must keep.
func (p *pool) spansCovering(m *member, part protocol.Span) []protocol.Span {
	if m.span.Layers() == 0 {
		return []protocol.Span{p.limitSpan(m, part)}
	}
	if m.span != m.serving {
		return nil
	}
	var spans []protocol.Span
	required := p.requiredSpan(m)
	if required.Layers() == 0 {
		spans = append(spans, p.limitSpan(m, part))
	}
	switch {
	case m.span.To == part.From:
		spans = append(spans, protocol.Span{From: m.span.From, To: part.To})
		if required.Layers() > 0 {
			spans = append(spans, protocol.Span{From: required.From, To: part.To})
		}
	case m.span.From == part.To:
		spans = append(spans, protocol.Span{From: part.From, To: m.span.To})
		if required.Layers() > 0 {
			spans = append(spans, protocol.Span{From: part.From, To: required.To})
		}
	}
	return spans
}

// limitSpan returns the beginning of a span, as far as an engine can hold it.
func (p *pool) limitSpan(m *member, s protocol.Span) protocol.Span {
	return protocol.Span{From: s.From, To: min(s.To, s.From+p.layerCapacity(m.memoryMB, minRequestCapacity))}
}

// requiredSpan returns the smallest span that an engine must keep: from the first to the last of
// its layers that no other engine is known to serve. An engine that was only ordered to hold a
// layer may need seconds until it serves it.
func (p *pool) requiredSpan(m *member) protocol.Span {
	var required protocol.Span
	for l := m.span.From; l < min(m.span.To, p.layers); l++ {
		if p.holders[l] >= 2 && p.servingHolders[l] >= 2 {
			continue
		}
		if required.Layers() == 0 {
			required.From = l
		}
		required.To = l + 1
	}
	return required
}

// loadCost returns what it costs to load the layers that were reassigned since before. The data
// center serves nothing until the last engine has loaded them.
func (p *pool) loadCost(before *pool) float64 {
	longest, total := 0, 0
	for i := range p.engines {
		n := addedLayers(before.member(p.engines[i].id).span, p.engines[i].span)
		longest = max(longest, n)
		total += n
	}
	layers := max(float64(longest), float64(total)/float64(max(1, p.spec.LoadsAtOnce)))
	return layers * p.spec.LoadMS / 1000 / float64(p.layers) / outageWindowSeconds
}

// addedLayers returns the number of layers of the span after that are not in the span before.
func addedLayers(before, after protocol.Span) int {
	common := min(before.To, after.To) - max(before.From, after.From)
	return after.Layers() - max(0, common)
}

func reasonOf(before, after protocol.Span) Reason {
	switch {
	case before.Layers() == 0:
		return ReasonGap
	case after.From <= before.From && after.To >= before.To:
		return ReasonExtend
	default:
		return ReasonShift
	}
}
