// SPDX-License-Identifier: Apache-2.0

// Package place decides which layers of a model each engine holds.
//
// The unit of placement is a layer together with the cache that its requests
// need, so an engine's capacity follows from its memory and from how many tokens
// are to fit beside the weights. Every data center gets a whole copy of the
// model, since the activations of a prompt are far too many to cross between
// data centers; what is left holds layers a second time, so that the loss of an
// engine leaves another holder. Plan is pure:
//
//	for _, m := range place.Plan(place.Query{Facts: facts, Engines: engines}) {
//		// order engine m.Engine() to hold m.Span()
//	}
//
// Only what is missing is moved: an engine that holds layers keeps them unless
// every one of them is held by another and a hole can't be filled otherwise.
package place

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"pinerun.example/pinerun/protocol"
)

const (
	// wantedCopies is how much of the model the engines of a data center should
	// hold together. What memory is left beside these layers is room for requests:
	// the more of it, the more requests run at once; the fewer layers are held
	// twice, the more often a loss leaves a hole.
	wantedCopies = 1.3
	// mostRequests bounds the room for requests of usual size that is worth having:
	// twice what a data center of today has open when all goes well, since losses
	// and outages come when it is full.
	// Beyond it, layers held more often and paths with fewer stages are worth more.
	mostRequests = 160
	// scarceRequests is the room that an engine keeps when a hole can't be filled
	// otherwise.
	scarceRequests = 24
	// leastRequests is the room below which a data center rather does without a
	// copy of its own.
	leastRequests = 4
	// partialWeight is what a layer is worth in a span that closes no gap of the
	// copy yet, against one in a span that does.
	partialWeight = 0.5
	// mostCopies bounds how often a layer is held in a data center.
	mostCopies = 4
)

// Engine is one engine as far as placement needs to know it. Held is what it
// holds, or what it was ordered to hold when that is still in doubt; Serving is
// what it is known to hold now.
type Engine struct {
	ID          string
	DataCenter  string
	Accelerator string
	Held        protocol.Span
	Serving     protocol.Span
	Leaving     bool
}

// Query is what a plan depends on.
type Query struct {
	Facts   *protocol.EngineFacts
	Engines []Engine
}

// Move is the decision that an engine shall hold a span.
type Move struct {
	engine string
	span   protocol.Span
	reason Reason
}

// Engine returns the engine's ID.
func (m Move) Engine() string { return m.engine }

// Span returns the layers that the engine shall hold.
func (m Move) Span() protocol.Span { return m.span }

// Reason returns why.
func (m Move) Reason() Reason { return m.reason }

// Reason says why a move is wanted.
type Reason string

// The reasons of moves: a layer without a holder, a further copy, a hole that is
// filled by an engine whose layers others hold too, and one that is filled by an
// engine that holds the layers beside it and keeps them.
const (
	Hole  Reason = "hole"
	Copy  Reason = "copy"
	Shift Reason = "shift"
	Grow  Reason = "grow"
)

// Plan returns the moves that are wanted now, holes first.
func Plan(q Query) []Move {
	var moves []Move
	for _, p := range pools(q) {
		moves = append(moves, p.fillHoles()...)
		moves = append(moves, p.addCopies()...)
	}
	slices.SortStableFunc(moves, func(a, b Move) int { return cmp.Compare(rank(a.reason), rank(b.reason)) })
	return moves
}

func rank(r Reason) int {
	if r == Copy {
		return 1
	}
	return 0
}

// Capacity returns how many layers an engine holds with room for so many tokens.
func Capacity(f *protocol.EngineFacts, memoryMB float64, tokens float64) int {
	each := f.LayerMB + tokens*f.TokenLayerMB
	if each <= 0 {
		return 0
	}
	return min(f.Layers, int(math.Floor(memoryMB/each)))
}

// pool is the engines that hold copies together: those of one data center, or
// those of all data centers that are too small for a copy of their own.
type pool struct {
	layers  int
	engines []member
	cover   []int // holders of each layer
	served  []int // those of them that are known to hold it now
}

// member is an engine with the layers that it may hold and does hold.
type member struct {
	id       string
	capacity int
	most     int // with the least room for requests
	span     protocol.Span
	serving  protocol.Span
	moved    bool
}

// pools groups the engines, each pool with the largest room for requests that
// still leaves it a whole copy.
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
		if p := newPool(q.Facts, byCenter[c]); p != nil {
			all = append(all, p)
			continue
		}
		small = append(small, byCenter[c]...)
	}
	if p := newPool(q.Facts, small); p != nil {
		all = append(all, p)
	}
	return all
}

// newPool returns the pool of some engines, or nil when they can't hold a copy.
func newPool(f *protocol.EngineFacts, engines []Engine) *pool {
	kinds := kindsOf(f, engines)
	room := roomFor(f, kinds, wantedCopies)
	if room < leastRequests {
		room = roomFor(f, kinds, 1)
	}
	if room < leastRequests {
		return nil
	}
	p := &pool{
		layers: f.Layers, cover: make([]int, f.Layers), served: make([]int, f.Layers),
		engines: make([]member, 0, len(engines)),
	}
	usual := float64(f.UsualPrompt + f.UsualAnswer)
	for _, e := range engines {
		if a, ok := f.Accelerator(e.Accelerator); ok {
			p.engines = append(p.engines, member{
				id:       e.ID,
				capacity: Capacity(f, a.MemoryMB, usual*float64(room)),
				most:     Capacity(f, a.MemoryMB, usual*scarceRequests),
				span:     e.Held,
				serving:  e.Serving,
			})
		}
	}
	p.order()
	return p
}

// kind is how many engines of an accelerator there are.
type kind struct {
	memoryMB float64
	count    int
}

func kindsOf(f *protocol.EngineFacts, engines []Engine) []kind {
	kinds := make([]kind, len(f.Accelerators))
	for _, e := range engines {
		for i, a := range f.Accelerators {
			if a.Name == e.Accelerator {
				kinds[i].memoryMB = a.MemoryMB
				kinds[i].count++
			}
		}
	}
	return kinds
}

// roomFor returns for how many requests of usual size every engine can keep room
// while all together hold so many copies, or less than leastRequests if for none.
func roomFor(f *protocol.EngineFacts, kinds []kind, copies float64) int {
	usual := float64(f.UsualPrompt + f.UsualAnswer)
	tooMany := sort.Search(mostRequests-leastRequests+1, func(i int) bool {
		sum := 0
		for _, k := range kinds {
			sum += k.count * Capacity(f, k.memoryMB, usual*float64(leastRequests+i))
		}
		return float64(sum) < copies*float64(f.Layers)
	})
	return leastRequests + tooMany - 1
}

// order puts the largest engines first, so that a copy has few stages.
func (p *pool) order() {
	slices.SortFunc(p.engines, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.id, b.id))
	})
	for i := range p.engines {
		p.count(p.cover, p.engines[i].span, 1)
		p.count(p.served, p.engines[i].serving, 1)
	}
}

func (p *pool) count(holders []int, s protocol.Span, by int) {
	for l := max(0, s.From); l < min(s.To, p.layers); l++ {
		holders[l] += by
	}
}

func (p *pool) set(m *member, s protocol.Span) {
	p.count(p.cover, m.span, -1)
	m.span = s
	m.moved = true
	p.count(p.cover, s, 1)
}

// fillHoles gives every layer without a holder to an empty engine, to the engines
// beside it while they have room, or to one whose layers are all held by others
// too; and as the last resort to the engines beside it, at the cost of their room
// for requests.
func (p *pool) fillHoles() []Move {
	var moves []Move
	for {
		hole := p.hole(0)
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

func (p *pool) fill(hole protocol.Span) (Move, bool) {
	if m := p.idleFor(hole.Layers()); m != nil {
		return p.give(m, hole, Hole), true
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

func (p *pool) extend(m *member, span protocol.Span) Move {
	p.set(m, span)
	return Move{engine: m.id, span: span, reason: Grow}
}

func ownCapacity(m *member) int    { return m.capacity }
func scarceCapacity(m *member) int { return m.most }

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

// hole returns the first run of layers with that many holders, empty if none.
func (p *pool) hole(holders int) protocol.Span {
	for l := range p.cover {
		if p.cover[l] != holders {
			continue
		}
		end := l
		for end < p.layers && p.cover[end] == holders {
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

// addCopies gives empty engines layers that are held least often.
func (p *pool) addCopies() []Move {
	var moves []Move
	for i := range p.engines {
		m := &p.engines[i]
		if m.span.Layers() > 0 || m.capacity == 0 {
			continue
		}
		span := p.bestCopy(m.capacity)
		if span.Layers() == 0 {
			continue
		}
		p.set(m, span)
		moves = append(moves, Move{engine: m.id, span: span, reason: Copy})
	}
	return moves
}

// bestCopy returns the span to hold once more: it begins where a path can come
// in and, if possible, ends where a path can go on.
func (p *pool) bestCopy(capacity int) protocol.Span {
	ends := p.boundaries()
	var best protocol.Span
	var most float64
	for from := range p.layers {
		if !ends[from] || p.cover[from] >= mostCopies {
			continue
		}
		to := p.copyEnd(from, capacity, ends)
		if w := p.copyWorth(from, to, ends); w > most {
			best, most = protocol.Span{From: from, To: to}, w
		}
	}
	return best
}

// copyEnd returns the last layer end within reach where the number of holders
// stays as it is at the start, at a boundary if there is one.
func (p *pool) copyEnd(from, capacity int, ends []bool) int {
	to, closed := from, 0
	for to < p.layers && to-from < capacity && p.cover[to] == p.cover[from] {
		to++
		if ends[to] {
			closed = to
		}
	}
	if closed > 0 {
		return closed
	}
	return to
}

func (p *pool) copyWorth(from, to int, ends []bool) float64 {
	held := max(1, p.cover[from])
	worth := float64(to-from) / float64(held*held)
	if !ends[to] {
		worth *= partialWeight
	}
	return worth
}

// boundaries returns the layers at which a span begins or ends.
func (p *pool) boundaries() []bool {
	ends := make([]bool, p.layers+1)
	ends[0], ends[p.layers] = true, true
	for i := range p.engines {
		if s := p.engines[i].span; s.Layers() > 0 {
			ends[max(0, min(s.From, p.layers))] = true
			ends[max(0, min(s.To, p.layers))] = true
		}
	}
	return ends
}
