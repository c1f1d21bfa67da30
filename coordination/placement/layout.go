// SPDX-License-Identifier: Apache-2.0

package placement

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
func (p *pool) layOut() []Reassignment {
	target, _ := p.target()
	return p.movesTo(target)
}

// target returns the layout that is worth most, and what it is worth: of the layouts
// with each room for requests, the fastest or the largest engines first. Engines stand in
// it in the order in which they hold layers now, so that few have to be loaded.
func (p *pool) target() (*pool, float64) {
	best, most := p, math.Inf(-1)
	largest, fastest := p.empty(false), p.empty(true)
	for _, room := range roomSteps {
		for _, empty := range []*pool{fastest, largest} {
			t := empty.anew(room)
			if w := t.worth(); w > most {
				best, most = t, w
			}
		}
	}
	return best, most
}

// empty returns the pool as if no engine held anything, the fastest or the largest first.
func (p *pool) empty(fastest bool) *pool {
	t := &pool{facts: p.facts, layers: p.layers, fastest: fastest, cover: make([]int, p.layers), served: p.served, weighed: p.weighing()}
	t.engines = slices.Clone(p.engines)
	t.order()
	for i := range t.engines {
		m := &t.engines[i]
		m.held = m.span
		m.span = protocol.Span{}
	}
	t.regroup()
	return t
}

// anew returns a layout of an empty pool in which each engine keeps that room.
func (p *pool) anew(room int) *pool {
	t := p.copy()
	for i := range t.engines {
		m := &t.engines[i]
		m.capacity = p.fitting(m.memoryMB, room)
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
			if m.capacity == 0 || m.chained {
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
		next.chained = true
		left -= next.capacity
		chosen = append(chosen, next)
	}
	return chosen
}

// movesTo returns the moves that bring the pool to a layout, and notes them.
func (p *pool) movesTo(target *pool) []Reassignment {
	var moves []Reassignment
	for i := range p.engines {
		m := &p.engines[i]
		span := target.member(m.id).span
		if span == m.span || span.Layers() == 0 {
			continue
		}
		moves = append(moves, Reassignment{engine: m.id, span: span, reason: reasonOf(m.span, span)})
		p.set(m, span)
	}
	return moves
}

// copy returns a pool whose engines can be moved without moving those of p.
func (p *pool) copy() *pool {
	t := *p
	t.engines = slices.Clone(p.engines)
	t.groups = slices.Clone(p.groups)
	t.cover = slices.Clone(p.cover)
	return &t
}

// member returns an engine of the pool.
func (p *pool) member(id string) *member {
	if p.places == nil {
		p.places = make(map[string]int, len(p.engines))
		for i := range p.engines {
			p.places[p.engines[i].id] = i
		}
	}
	at, there := p.places[id]
	if !there {
		return nil
	}
	return &p.engines[at]
}
