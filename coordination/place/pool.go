// SPDX-License-Identifier: Apache-2.0

package place

import (
	"cmp"
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
	// and outages come when it is full. Beyond it, layers held more often and paths
	// with fewer stages are worth more.
	mostRequests = 160
	// scarceRequests is the room that an engine keeps when a hole can't be filled
	// otherwise.
	scarceRequests = 24
	// leastRequests is the room below which a data center rather does without a
	// copy of its own.
	leastRequests = 4
)

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
	scarce   int // capacity with the least room for requests
	span     protocol.Span
	serving  protocol.Span
	moved    bool // the plan has a move for it
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
				scarce:   Capacity(f, a.MemoryMB, usual*scarceRequests),
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

// count adds to the holders of each layer of a span.
func (p *pool) count(holders []int, s protocol.Span, by int) {
	for l := max(0, s.From); l < min(s.To, p.layers); l++ {
		holders[l] += by
	}
}

// set notes that an engine shall hold a span in place of what it holds.
func (p *pool) set(m *member, s protocol.Span) {
	p.count(p.cover, m.span, -1)
	m.span = s
	m.moved = true
	p.count(p.cover, s, 1)
}
