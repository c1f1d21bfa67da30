// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// partsMost is into how many parts a hole is split at most. Engines load their parts at
// the same time, so a hole in four parts is filled in a quarter of the time; each part is
// a further stage of every path.
const partsMost = 4

// anewPrice is by how much more a new layout must be worth than one in which only the hole
// was filled.
const anewPrice = 0.7

// mend fills every hole that can be filled, each in the way that is worth most: whole or
// in parts, by empty engines, by ones whose layers others hold too, and by those beside
// the hole at the cost of their room.
func (p *pool) mend() []Reassignment {
	var moves []Reassignment
	for {
		hole := p.hole()
		if hole.Layers() == 0 {
			return moves
		}
		filled := p.fill(hole)
		if len(filled) == 0 {
			return moves
		}
		for _, m := range filled {
			p.set(p.member(m.engine), m.span)
		}
		moves = append(moves, filled...)
	}
}

// fill returns the moves that fill a hole best, or as much of it as can be filled. A data
// center with a hole serves nothing, so all of it may also be laid out anew, where even the
// last holder of a layer gives it up: what binds then is only the time to load.
func (p *pool) fill(hole protocol.Span) []Reassignment {
	best, most := p.anewMoves()
	for parts := 1; parts <= min(partsMost, hole.Layers()); parts++ {
		t := p.copy()
		moves := t.fillParts(hole, parts)
		if w := t.worthMended() - t.loading(p); len(moves) > 0 && w > most {
			best, most = moves, w
		}
	}
	return best
}

// anewMoves returns the moves to a new layout and what it is worth, less its price. An
// engine that carries out an order takes no other, so there are none while one does.
func (p *pool) anewMoves() ([]Reassignment, float64) {
	if p.touched() || p.underWay() {
		return nil, math.Inf(-1)
	}
	anew, worth := p.target()
	return p.copy().movesTo(anew), worth - anew.loading(p) - anewPrice
}

// touched reports whether the plan has moved an engine already.
func (p *pool) touched() bool {
	return slices.ContainsFunc(p.engines, func(m member) bool { return m.moved })
}

// worthMended is worth, or worthMending while there is a hole.
func (p *pool) worthMended() float64 {
	if p.hole().Layers() > 0 {
		return p.worthMending()
	}
	return p.worth()
}

// fillParts fills a hole in so many parts of about the same size.
func (p *pool) fillParts(hole protocol.Span, parts int) []Reassignment {
	var moves []Reassignment
	for i := range parts {
		part := protocol.Span{
			From: hole.From + hole.Layers()*i/parts,
			To:   hole.From + hole.Layers()*(i+1)/parts,
		}
		if move, ok := p.fillPart(part); ok {
			p.set(p.member(move.engine), move.span)
			moves = append(moves, move)
		}
	}
	return moves
}

// fillPart returns the move that fills a part of a hole best.
func (p *pool) fillPart(part protocol.Span) (Reassignment, bool) {
	var best Reassignment
	most := math.Inf(-1)
	for _, m := range p.representatives() {
		if m.moved {
			continue
		}
		for _, s := range p.spansOver(m, part) {
			if s.Layers() == 0 || s.Layers() > p.fitting(m.memoryMB, leastRequests) {
				continue
			}
			before := m.span
			p.hold(m, s)
			if w := p.worthMending(); w > most {
				most = w
				best = Reassignment{engine: m.id, span: s, reason: reasonOf(before, s)}
			}
			p.hold(m, before)
		}
	}
	return best, !math.IsInf(most, -1)
}

// spansOver returns the spans with which an engine could hold a part of a hole: only
// that; beside all that it holds; and beside what it must keep of it.
func (p *pool) spansOver(m *member, part protocol.Span) []protocol.Span {
	if m.span.Layers() == 0 {
		return []protocol.Span{p.within(m, part)}
	}
	if m.span != m.serving {
		return nil
	}
	var spans []protocol.Span
	kept := p.needed(m)
	if kept.Layers() == 0 {
		spans = append(spans, p.within(m, part))
	}
	switch {
	case m.span.To == part.From:
		spans = append(spans, protocol.Span{From: m.span.From, To: part.To})
		if kept.Layers() > 0 {
			spans = append(spans, protocol.Span{From: kept.From, To: part.To})
		}
	case m.span.From == part.To:
		spans = append(spans, protocol.Span{From: part.From, To: m.span.To})
		if kept.Layers() > 0 {
			spans = append(spans, protocol.Span{From: part.From, To: kept.To})
		}
	}
	return spans
}

// within returns as much of the beginning of a span as an engine can hold.
func (p *pool) within(m *member, s protocol.Span) protocol.Span {
	return protocol.Span{From: s.From, To: min(s.To, s.From+p.fitting(m.memoryMB, leastRequests))}
}

// needed returns the smallest span that an engine must keep: from the first to the last
// of its layers that no other is known to hold. One that was only ordered to hold a layer
// may be seconds from it.
func (p *pool) needed(m *member) protocol.Span {
	var kept protocol.Span
	for l := m.span.From; l < min(m.span.To, p.layers); l++ {
		if p.cover[l] >= 2 && p.served[l] >= 2 {
			continue
		}
		if kept.Layers() == 0 {
			kept.From = l
		}
		kept.To = l + 1
	}
	return kept
}

// loading returns what the time to load the moves that were made since is worth: the
// data center serves nothing until the last of them is done.
func (p *pool) loading(before *pool) float64 {
	longest, all := 0, 0
	for i := range p.engines {
		n := added(before.member(p.engines[i].id).span, p.engines[i].span)
		longest = max(longest, n)
		all += n
	}
	layers := max(float64(longest), float64(all)/float64(max(1, p.facts.LoadsAtOnce)))
	return layers * p.facts.LoadMS / 1000 / float64(p.layers) / missedSeconds
}

// added returns how many layers of the second span the first lacks.
func added(before, after protocol.Span) int {
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
