// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// leastRequests is the room below which a data center rather does without a copy of its
// own.
const leastRequests = 4

// pool is the engines that hold copies together: those of one data center, or
// those of all data centers that are too small for a copy of their own.
type pool struct {
	facts   *protocol.EngineFacts
	layers  int
	fastest bool // the fastest engines come first, not the largest
	engines []member
	groups  []group        // the engines, those alike together
	places  map[string]int // where an engine stands among them, by ID, nil until asked
	cover   []int          // holders of each layer
	served  []int          // those of them that are known to hold it now
	weighed *weighing
}

// member is an engine with the layers that it may hold and does hold.
type member struct {
	id       string
	kind     int // the accelerator's place among the facts'
	memoryMB float64
	step     float64       // how many times longer than on the fastest a step takes
	capacity int           // layers that it holds in a new layout
	chained  bool          // it stands in the first copy of a new layout
	held     protocol.Span // what it held before a new layout
	span     protocol.Span
	serving  protocol.Span
	slow     bool
	moved    bool // the plan has a move for it
}

// pools groups the engines.
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
		p := newPool(q.Facts, byCenter[c])
		if !p.holdsCopy() {
			small = append(small, byCenter[c]...)
			continue
		}
		all = append(all, p)
	}
	if p := newPool(q.Facts, small); p.holdsCopy() {
		all = append(all, p)
	}
	return all
}

// newPool returns the pool of some engines with what they hold. Engines of unknown
// accelerators are left out.
func newPool(f *protocol.EngineFacts, engines []Engine) *pool {
	p := &pool{
		facts: f, layers: f.Layers, cover: make([]int, f.Layers), served: make([]int, f.Layers),
		engines: make([]member, 0, len(engines)),
	}
	for _, e := range engines {
		k := slices.IndexFunc(f.Accelerators, func(a protocol.AcceleratorFacts) bool { return a.Name == e.Accelerator })
		if k < 0 {
			continue
		}
		a := &f.Accelerators[k]
		p.engines = append(p.engines, member{
			id: e.ID, kind: k, memoryMB: a.MemoryMB, step: a.StepFactor, span: e.Held, serving: e.Serving, slow: e.Slow,
		})
	}
	p.order()
	p.regroup()
	for i := range p.engines {
		p.count(p.cover, p.engines[i].span, 1)
		p.count(p.served, p.engines[i].serving, 1)
	}
	return p
}

// holdsCopy reports whether the engines can hold the whole model with some room.
func (p *pool) holdsCopy() bool {
	sum := 0
	for i := range p.engines {
		sum += p.fitting(p.engines[i].memoryMB, leastRequests)
	}
	return sum >= p.layers && p.layers > 0
}

// fitting returns how many layers an engine of so much memory holds beside room for so
// many requests.
func (p *pool) fitting(memoryMB float64, requests int) int {
	return LayerCapacity(p.facts, memoryMB, float64((p.facts.UsualPrompt+p.facts.UsualAnswer)*requests))
}

// bare reports whether no engine holds or loads anything.
func (p *pool) bare() bool {
	return !slices.ContainsFunc(p.engines, func(m member) bool { return m.span.Layers() > 0 || m.serving.Layers() > 0 })
}

// order puts the fastest or the largest engines first, so that a copy takes little time
// or has few stages.
func (p *pool) order() {
	slices.SortFunc(p.engines, func(a, b member) int {
		if p.fastest && a.step != b.step {
			return cmp.Compare(a.step, b.step)
		}
		return cmp.Or(cmp.Compare(b.memoryMB, a.memoryMB), cmp.Compare(a.id, b.id))
	})
}

// count adds to the holders of each layer of a span.
func (p *pool) count(holders []int, s protocol.Span, by int) {
	for l := max(0, s.From); l < min(s.To, p.layers); l++ {
		holders[l] += by
	}
}

// hold notes that an engine shall hold a span in place of what it holds.
func (p *pool) hold(m *member, s protocol.Span) {
	p.count(p.cover, m.span, -1)
	p.leave(m)
	m.span = s
	p.join(m)
	p.count(p.cover, s, 1)
}

// set is hold as a move of the plan.
func (p *pool) set(m *member, s protocol.Span) {
	p.hold(m, s)
	m.moved = true
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

// doubled reports whether every layer of a span has a further holder.
func (p *pool) doubled(s protocol.Span) bool {
	for l := max(0, s.From); l < min(s.To, p.layers); l++ {
		if p.cover[l] < 2 {
			return false
		}
	}
	return true
}

// boundaries returns the layers at which a span begins or ends, in order.
func (p *pool) boundaries() []int {
	ends := make([]bool, p.layers+1)
	ends[0], ends[p.layers] = true, true
	for i := range p.groups {
		if s := p.groups[i].span; s.Layers() > 0 {
			ends[max(0, min(s.From, p.layers))] = true
			ends[max(0, min(s.To, p.layers))] = true
		}
	}
	var list []int
	for l, is := range ends {
		if is {
			list = append(list, l)
		}
	}
	return list
}
