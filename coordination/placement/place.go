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
package placement

import (
	"cmp"
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// Engine is one engine as far as placement needs to know it. Held is what it
// holds, or what it was ordered to hold when that is still in doubt; Serving is
// what it is known to hold now. One that leaves takes no orders. A Slow one holds its layers,
// but they should get a further holder.
type Engine struct {
	ID          string
	DataCenter  string
	Accelerator string
	Held        protocol.Span
	Serving     protocol.Span
	Leaving     bool
	Slow        bool
}

// Query is what a plan depends on. Urgent asks only for what can't wait: new layouts,
// holes and engines that hold nothing, but no improvements.
type Query struct {
	Facts   *protocol.EngineFacts
	Engines []Engine
	Urgent  bool
}

// Equal reports whether two queries have the same answer, since nothing differs that it
// depends on. The facts are the same only if they stand at the same place.
func (q *Query) Equal(other *Query) bool {
	return q.Facts == other.Facts && q.Urgent == other.Urgent && slices.Equal(q.Engines, other.Engines)
}

// Reassignment is the decision that an engine shall hold a span.
type Reassignment struct {
	engine string
	span   protocol.Span
	reason Reason
}

// Engine returns the engine's ID.
func (m Reassignment) Engine() string { return m.engine }

// Span returns the layers that the engine shall hold.
func (m Reassignment) Span() protocol.Span { return m.span }

// Reason returns why.
func (m Reassignment) Reason() Reason { return m.reason }

// Interrupts reports whether the engine shall break off what passes through the layers that
// it gives up, instead of waiting for it. What passed through one that fills a hole goes
// on elsewhere after a short pause, while waiting for the longest stream takes ten
// seconds, in which the data center serves nothing.
func (m Reassignment) Interrupts() bool { return m.reason == ReasonShift }

// Reason says why a move is wanted.
type Reason string

// The reasons of moves: a layer without a holder, a further copy, a hole that is
// filled by an engine whose layers others hold too, one that is filled by an engine that
// holds the layers beside it and keeps them, one that makes a layout without holes worth
// more, and a further holder of layers that only slow engines hold.
const (
	ReasonGap          Reason = "hole"
	ReasonReplica      Reason = "copy"
	ReasonShift        Reason = "shift"
	ReasonExtend       Reason = "grow"
	ReasonImprove      Reason = "better"
	ReasonSpareReplica Reason = "relief"
)

// Reasons returns every reason.
func Reasons() []Reason {
	return []Reason{ReasonGap, ReasonReplica, ReasonShift, ReasonExtend, ReasonImprove, ReasonSpareReplica}
}

// Plan returns the moves that are wanted now, holes first.
func Plan(q Query) []Reassignment {
	var moves []Reassignment
	for _, p := range pools(q) {
		moves = append(moves, p.plan(q.Urgent)...)
	}
	slices.SortStableFunc(moves, func(a, b Reassignment) int { return cmp.Compare(rank(a.reason), rank(b.reason)) })
	return moves
}

// plan returns the moves of one pool. Improvements wait until nothing else is to do.
func (p *pool) plan(urgent bool) []Reassignment {
	if p.bare() {
		return p.layOut()
	}
	if p.hole().Layers() > 0 {
		return p.mend()
	}
	return p.improve(urgent)
}

func rank(r Reason) int {
	if r == ReasonReplica || r == ReasonImprove || r == ReasonSpareReplica {
		return 1
	}
	return 0
}

// LayerCapacity returns how many layers an engine holds with room for so many tokens.
func LayerCapacity(f *protocol.EngineFacts, memoryMB float64, tokens float64) int {
	each := f.LayerMB + tokens*f.TokenLayerMB
	if each <= 0 {
		return 0
	}
	return min(f.Layers, int(math.Floor(memoryMB/each)))
}
