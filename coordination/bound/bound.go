// SPDX-License-Identifier: Apache-2.0

// Package bound says how many positions a second the hardware allows.
//
// Fleet is the limit if work could be divided at will; Flow is the limit with
// the layers where they are, a maximum flow from layer 0 to the last. No
// schedule over the same runners can be faster than Flow, and no placement
// faster than Fleet.
//
//	b := bound.Of(layers, runners)
//	b.Flow() <= b.Fleet()
package bound

import "pinerun.example/pinerun/protocol"

// Bound holds both limits in positions a second.
type Bound struct{ fleet, flow float64 }

// Fleet returns the divisible limit: all speed over the model's layers.
func (b Bound) Fleet() float64 { return b.fleet }

// Flow returns the limit with the layers as placed.
func (b Bound) Flow() float64 { return b.flow }

// Of returns the bounds of one model over runners that hold spans of it.
// Runners with spans outside the model count for nothing.
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

// graph has a node for each border between layers. Spans between the same
// borders are one edge, for only the sum of their capacities matters.
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

// epsilon is the flow below which a path counts as full.
const epsilon = 1e-9

// maxFlow is the Edmonds-Karp algorithm. It spends the capacities.
func (g *graph) maxFlow() float64 {
	flow := 0.0
	for g.search() {
		flow += g.augment()
	}
	return flow
}

// search finds a shortest path with room and notes it in parent.
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
		for to, room := range g.capacity[at] {
			if room <= epsilon || g.parent[to] >= 0 {
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

func (g *graph) augment() float64 {
	last := len(g.parent) - 1
	room := g.capacity[g.parent[last]][last]
	for at := last; at != 0; at = g.parent[at] {
		room = min(room, g.capacity[g.parent[at]][at])
	}
	for at := last; at != 0; at = g.parent[at] {
		g.capacity[g.parent[at]][at] -= room
		g.capacity[at][g.parent[at]] += room
	}
	return room
}
