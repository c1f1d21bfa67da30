// SPDX-License-Identifier: Apache-2.0

// Package bound computes upper bounds for the throughput of a fleet.
//
// Fleet is the bound in positions a second if work could be divided at will. Flow is the bound with
// the layers as placed, a maximum flow from layer 0 to the last. No schedule over the same runners
// can be faster than Flow, and no placement faster than Fleet.
//
//	b := bound.Of(layers, runners)
//	b.Flow() <= b.Fleet()
package bound

import "pinerun.example/pinerun/protocol"

// Bound holds both bounds in positions a second.
type Bound struct{ fleet, flow float64 }

// Fleet returns the bound for divisible work: the sum of all speeds divided by the model's layers.
func (b Bound) Fleet() float64 { return b.fleet }

// Flow returns the bound with the layers as placed.
func (b Bound) Flow() float64 { return b.flow }

// Of returns the bounds of one model over runners that hold spans of it. Runners with spans outside
// the model are ignored.
func Of(layers int, runners []protocol.Runner) Bound {
	if layers <= 0 {
		return Bound{}
	}
	g := newGraph(layers)
	total := 0.0
	for _, r := range runners {
		span := protocol.Span{From: r.From, To: r.To}
		if !span.Valid(layers) || !(r.Speed > 0) {
			continue
		}
		total += r.Speed
		g.capacity[r.From][r.To] += r.Speed / float64(span.Layers())
	}
	return Bound{fleet: total / float64(layers), flow: g.maxFlow()}
}

// graph has a node for each border between layers. Spans between the same borders are one edge,
// since only the sum of their capacities matters.
type graph struct {
	capacity [][]float64
	parent   []int
}

func newGraph(layers int) *graph {
	g := &graph{capacity: make([][]float64, layers+1), parent: make([]int, layers+1)}
	for i := range g.capacity {
		g.capacity[i] = make([]float64, layers+1)
	}
	return g
}

// epsilon is the residual capacity below which an edge counts as full.
const epsilon = 1e-9

// maxFlow runs the Edmonds-Karp algorithm. It uses up the capacities.
func (g *graph) maxFlow() float64 {
	flow := 0.0
	for g.search() {
		flow += g.augment()
	}
	return flow
}

// search finds a shortest augmenting path and records it in parent. It reports whether there is
// one.
func (g *graph) search() bool {
	for i := range g.parent {
		g.parent[i] = -1
	}
	last := len(g.parent) - 1
	g.parent[0] = 0
	queue := []int{0}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for to, residual := range g.capacity[at] {
			if residual <= epsilon || g.parent[to] >= 0 {
				continue
			}
			g.parent[to] = at
			if to == last {
				return true
			}
			queue = append(queue, to)
		}
	}
	return false
}

// augment sends as much flow as possible along the path in parent and returns the amount.
func (g *graph) augment() float64 {
	last := len(g.parent) - 1
	residual := g.capacity[g.parent[last]][last]
	for at := last; at != 0; at = g.parent[at] {
		residual = min(residual, g.capacity[g.parent[at]][at])
	}
	for at := last; at != 0; at = g.parent[at] {
		g.capacity[g.parent[at]][at] -= residual
		g.capacity[at][g.parent[at]] += residual
	}
	return residual
}
