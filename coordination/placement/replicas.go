// SPDX-License-Identifier: Apache-2.0

package placement

import "pinerun.example/pinerun/protocol"

const (
	// unalignedWeight is the value of a layer in a span that ends inside the spans of other
	// engines, relative to a span that ends at a boundary.
	unalignedWeight = 0.5
	// maxReplicas limits how many engines of a pool hold a layer in a new layout.
	maxReplicas = 4
)

// addReplicas gives the engines of a new layout that hold nothing the layers with the fewest
// holders.
func (p *pool) addReplicas() {
	for i := range p.engines {
		m := &p.engines[i]
		if m.span.Layers() > 0 || m.capacity == 0 {
			continue
		}
		span := p.bestReplica(m.capacity)
		if span.Layers() == 0 {
			continue
		}
		p.assign(m, span)
	}
}

// bestReplica returns the span that should get a further holder. The span begins at a boundary,
// where a path can enter it, and ends at a boundary if possible, where a path can go on.
func (p *pool) bestReplica(capacity int) protocol.Span {
	isBoundary := make([]bool, p.layers+1)
	for _, l := range p.boundaries() {
		isBoundary[l] = true
	}
	var best protocol.Span
	var highest float64
	for from := range p.layers {
		if !isBoundary[from] || p.holders[from] >= maxReplicas {
			continue
		}
		to := p.replicaEnd(from, capacity, isBoundary)
		if score := p.replicaScore(from, to, isBoundary); score > highest {
			best, highest = protocol.Span{From: from, To: to}, score
		}
	}
	return best
}

// replicaEnd returns the end of the longest span that begins at a layer, fits the capacity, and
// whose layers all have as many holders as the first. It prefers the last boundary within that
// span.
func (p *pool) replicaEnd(from, capacity int, isBoundary []bool) int {
	end, lastBoundary := from, 0
	for end < p.layers && end-from < capacity && p.holders[end] == p.holders[from] {
		end++
		if isBoundary[end] {
			lastBoundary = end
		}
	}
	if lastBoundary > 0 {
		return lastBoundary
	}
	return end
}

// replicaScore returns the value of a further holder for a span. The fewer holders the layers have,
// the higher it is.
func (p *pool) replicaScore(from, to int, isBoundary []bool) float64 {
	holders := max(1, p.holders[from])
	score := float64(to-from) / float64(holders*holders)
	if !isBoundary[to] {
		score *= unalignedWeight
	}
	return score
}
