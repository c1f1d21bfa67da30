// SPDX-License-Identifier: Apache-2.0

package place

import (
	"cmp"
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// roomSteps are the rooms for requests of usual size that are weighed against each other
// for a layout, each about a fifth larger than the one before.
var roomSteps = [...]int{4, 8, 12, 16, 20, 24, 29, 35, 42, 50, 60, 72, 86, 103, 124, 149, 179}

// layOut lays a pool that holds nothing out in the way that is worth most.
func (p *pool) layOut() []Move {
	target, _ := p.target()
	return p.movesTo(target)
}

// target returns the layout that is worth most, and what it is worth: of the layouts
// with each room for requests, the fastest or the largest engines first. Engines stand in
// it in the order in which they hold layers now, so that few have to be loaded.
func (p *pool) target() (*pool, float64) {
	best, most := p, math.Inf(-1)
	for _, room := range roomSteps {
		for _, fastest := range []bool{true, false} {
			t := p.anew(room, fastest)
			if w := t.worth(); w > most {
				best, most = t, w
			}
		}
	}
	return best, most
}

// anew returns a layout in which each engine keeps that room.
func (p *pool) anew(room int, fastest bool) *pool {
	t := &pool{facts: p.facts, layers: p.layers, fastest: fastest, cover: make([]int, p.layers), served: p.served}
	t.engines = slices.Clone(p.engines)
	t.order()
	for i := range t.engines {
		m := &t.engines[i]
		m.capacity = p.fitting(m, room)
		m.held = m.span
		m.span = protocol.Span{}
	}
	t.firstCopy()
	t.addCopies()
	return t
}

// firstCopy gives every layer to one engine.
func (p *pool) firstCopy() {
	chosen := p.chain()
	slices.SortStableFunc(chosen, func(a, b *member) int { return cmp.Compare(a.held.From+a.held.To, b.held.From+b.held.To) })
	at := 0
	for _, m := range chosen {
		span := protocol.Span{From: at, To: min(p.layers, at+m.capacity)}
		p.hold(m, span)
		at = span.To
	}
}

// chain returns engines that hold a copy together, the best first; of those as good as
// the last the smallest that does. It lowers the capacity of the last to what is needed.
func (p *pool) chain() []*member {
	var chosen []*member
	left := p.layers
	for left > 0 {
		var next *member
		for i := range p.engines {
			m := &p.engines[i]
			if m.capacity == 0 || slices.Contains(chosen, m) {
				continue
			}
			if next == nil || m.capacity >= left && (!p.fastest || m.step == next.step) {
				next = m
			}
		}
		if next == nil {
			return chosen
		}
		next.capacity = min(next.capacity, left)
		left -= next.capacity
		chosen = append(chosen, next)
	}
	return chosen
}

// movesTo returns the moves that bring the pool to a layout, and notes them.
func (p *pool) movesTo(target *pool) []Move {
	var moves []Move
	for i := range p.engines {
		m := &p.engines[i]
		span := target.member(m.id).span
		if span == m.span || span.Layers() == 0 {
			continue
		}
		moves = append(moves, Move{engine: m.id, span: span, reason: reasonOf(m.span, span)})
		p.set(m, span)
	}
	return moves
}

// copy returns a pool whose engines can be moved without moving those of p.
func (p *pool) copy() *pool {
	t := *p
	t.engines = slices.Clone(p.engines)
	t.cover = slices.Clone(p.cover)
	t.weighed = nil
	return &t
}

func (p *pool) member(id string) *member {
	for i := range p.engines {
		if p.engines[i].id == id {
			return &p.engines[i]
		}
	}
	return nil
}
