// SPDX-License-Identifier: Apache-2.0

package placement

import "pinerun.example/pinerun/protocol"

const (
	// partialWeight is what a layer is worth in a span that closes no gap of the
	// copy yet, against one in a span that does.
	partialWeight = 0.5
	// mostCopies bounds how often a layer is held in a data center.
	mostCopies = 4
)

// addCopies gives empty engines of a new layout layers that are held least often.
func (p *pool) addCopies() {
	for i := range p.engines {
		m := &p.engines[i]
		if m.span.Layers() > 0 || m.capacity == 0 {
			continue
		}
		span := p.bestCopy(m.capacity)
		if span.Layers() == 0 {
			continue
		}
		p.hold(m, span)
	}
}

// bestCopy returns the span to hold once more: it begins where a path can come
// in and, if possible, ends where a path can go on.
func (p *pool) bestCopy(capacity int) protocol.Span {
	ends := make([]bool, p.layers+1)
	for _, l := range p.boundaries() {
		ends[l] = true
	}
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

// copyWorth returns what it is worth to hold a span once more: the more, the less
// often its layers are held.
func (p *pool) copyWorth(from, to int, ends []bool) float64 {
	held := max(1, p.cover[from])
	worth := float64(to-from) / float64(held*held)
	if !ends[to] {
		worth *= partialWeight
	}
	return worth
}
