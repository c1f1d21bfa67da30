// SPDX-License-Identifier: Apache-2.0

package place

import "pinerun.example/pinerun/protocol"

// fillHoles gives every layer without a holder to an empty engine; to one whose layers
// are all held by others too, if that fills the hole; to the engines beside it while
// they have room; to one whose layers others hold too although it fills only a part;
// and as the last resort to the engines beside it, at the cost of their room for
// requests.
func (p *pool) fillHoles() []Move {
	var moves []Move
	for {
		hole := p.hole()
		if hole.Layers() == 0 {
			return moves
		}
		move, ok := p.fill(hole)
		if !ok {
			return moves
		}
		moves = append(moves, move)
	}
}

// fill gives a hole, or a part of it at one of its ends, to an engine, if any can
// take it.
func (p *pool) fill(hole protocol.Span) (Move, bool) {
	if m := p.idleFor(hole.Layers()); m != nil {
		return p.give(m, hole, Hole), true
	}
	if m := p.spareFor(hole.Layers()); m != nil && m.capacity >= hole.Layers() {
		return p.give(m, hole, Shift), true
	}
	if m, span, ok := p.beside(hole, ownCapacity); ok {
		return p.extend(m, span), true
	}
	if m := p.spareFor(hole.Layers()); m != nil {
		return p.give(m, hole, Shift), true
	}
	if m, span, ok := p.beside(hole, scarceCapacity); ok {
		return p.extend(m, span), true
	}
	return Move{}, false
}

// give orders an engine to hold the beginning of a hole, as far as it can.
func (p *pool) give(m *member, hole protocol.Span, why Reason) Move {
	span := protocol.Span{From: hole.From, To: min(hole.To, hole.From+m.capacity)}
	p.set(m, span)
	return Move{engine: m.id, span: span, reason: why}
}

// extend orders an engine to hold more beside what it holds.
func (p *pool) extend(m *member, span protocol.Span) Move {
	p.set(m, span)
	return Move{engine: m.id, span: span, reason: Grow}
}

func ownCapacity(m *member) int { return m.capacity }

func scarceCapacity(m *member) int { return m.scarce }

// beside returns the engine next to a hole that can take most of it beside what
// it holds, and the span that it would hold then.
func (p *pool) beside(hole protocol.Span, capacity func(*member) int) (*member, protocol.Span, bool) {
	var chosen *member
	var chosenSpan protocol.Span
	most := 0
	for i := range p.engines {
		m := &p.engines[i]
		room := min(hole.Layers(), capacity(m)-m.span.Layers())
		if m.moved || m.span.Layers() == 0 || room <= most {
			continue
		}
		switch {
		case m.span.To == hole.From:
			chosen, chosenSpan, most = m, protocol.Span{From: m.span.From, To: m.span.To + room}, room
		case m.span.From == hole.To:
			chosen, chosenSpan, most = m, protocol.Span{From: m.span.From - room, To: m.span.To}, room
		}
	}
	return chosen, chosenSpan, chosen != nil
}

// hole returns the first run of layers without a holder, empty if none.
func (p *pool) hole() protocol.Span {
	for l := range p.cover {
		if p.cover[l] > 0 {
			continue
		}
		end := l
		for end < p.layers && p.cover[end] == 0 {
			end++
		}
		return protocol.Span{From: l, To: end}
	}
	return protocol.Span{}
}

// idleFor returns the empty engine for a hole: the smallest that fills it, else
// the largest.
func (p *pool) idleFor(layers int) *member {
	return p.fitting(layers, func(m *member) bool { return m.span.Layers() == 0 })
}

// spareFor returns an engine for a hole whose own layers others hold too.
func (p *pool) spareFor(layers int) *member {
	return p.fitting(layers, func(m *member) bool { return !m.moved && p.spare(m) })
}

// fitting returns, of the engines that may, the smallest with a capacity for that
// many layers, else the largest.
func (p *pool) fitting(layers int, may func(*member) bool) *member {
	var chosen *member
	for i := range p.engines {
		m := &p.engines[i]
		if m.capacity == 0 || !may(m) {
			continue
		}
		if chosen == nil || m.capacity >= layers {
			chosen = m
		}
	}
	return chosen
}

// spare reports whether others are known to hold every layer of an engine, which
// itself waits for no order. One that was only ordered to hold a layer may be
// seconds from it.
func (p *pool) spare(m *member) bool {
	if m.span.Layers() == 0 || m.span != m.serving {
		return false
	}
	for l := m.span.From; l < min(m.span.To, p.layers); l++ {
		if p.cover[l] < 2 || p.served[l] < 2 {
			return false
		}
	}
	return true
}
