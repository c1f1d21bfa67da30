// SPDX-License-Identifier: Apache-2.0

// Package placement decides which layers of a model each engine holds.
//
// The unit of placement is a layer together with the KV cache that its requests need. The number of
// layers that an engine can hold therefore follows from its memory and from the number of tokens
// whose cache must fit beside the weights. Every data center gets a complete replica of the model,
// since the activations of a prompt are far too large to cross between data centers. The remaining
// engines hold layers a second time, so that the loss of an engine leaves another holder. Plan is
// pure:
//
//	for _, r := range placement.Plan(placement.Query{Spec: spec, Engines: engines}) {
//		// order engine r.Engine() to hold r.Span()
//	}
//
// A plan moves as few layers as possible. An engine keeps the layers that it holds, unless each of
// them has another holder and a gap can't be filled in another way.
package placement

import (
	"cmp"
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// Engine describes one engine to the placement. Held is the span that it holds, or the span that it
// was last ordered to hold while the outcome of that order is unknown. Serving is the span that it
// is known to serve now. An engine that is Leaving takes no orders. An engine that is Slow keeps
// its layers, but they should get a further holder.
type Engine struct {
	ID          string
	DataCenter  string
	Accelerator string
	Held        protocol.Span
	Serving     protocol.Span
	Leaving     bool
	Slow        bool
}

// Query holds everything that a plan depends on. An Urgent query asks only for what can't wait: new
// layouts, gaps and engines that hold nothing. It asks for no improvements.
type Query struct {
	Spec    *protocol.EngineSpec
	Engines []Engine
	Urgent  bool
}

// Equal reports whether two queries have the same answer, because they agree in everything that the
// answer depends on. It compares the specs by pointer.
func (q *Query) Equal(other *Query) bool {
	return q.Spec == other.Spec && q.Urgent == other.Urgent && slices.Equal(q.Engines, other.Engines)
}

// Reassignment is the decision that an engine shall hold a span.
type Reassignment struct {
	engine string
	span   protocol.Span
	reason Reason
}

// Engine returns the engine's ID.
func (r Reassignment) Engine() string { return r.engine }

// Span returns the layers that the engine shall hold.
func (r Reassignment) Span() protocol.Span { return r.span }

// Reason returns the reason for the reassignment.
func (r Reassignment) Reason() Reason { return r.reason }

// Interrupts reports whether the engine shall abort the requests that run through the layers that
// it gives up, instead of waiting until they end. Requests that an engine aborts to fill a gap
// resume on another path after a short pause. Waiting for the longest stream would take ten
// seconds, in which the data center serves nothing.
func (r Reassignment) Interrupts() bool { return r.reason == ReasonShift }

// Reason is the reason for a reassignment.
type Reason string

// The reasons for reassignments. ReasonGap fills a gap with an engine that holds nothing.
// ReasonReplica adds a further holder of layers. ReasonShift fills a gap with an engine that gives
// up layers which have other holders. ReasonExtend fills a gap with an engine that holds the
// adjacent layers and keeps them. ReasonImprove raises the score of a layout without gaps.
// ReasonSpareReplica adds a further holder of layers that only slow engines hold.
const (
	ReasonGap          Reason = "hole"
	ReasonReplica      Reason = "copy"
	ReasonShift        Reason = "shift"
	ReasonExtend       Reason = "grow"
	ReasonImprove      Reason = "better"
	ReasonSpareReplica Reason = "relief"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonGap, ReasonReplica, ReasonShift, ReasonExtend, ReasonImprove, ReasonSpareReplica}
}

// Plan returns the reassignments that are needed now. Those that fill gaps come first.
func Plan(q Query) []Reassignment {
	var plan []Reassignment
	for _, p := range pools(q) {
		plan = append(plan, p.plan(q.Urgent)...)
	}
	slices.SortStableFunc(plan, func(a, b Reassignment) int { return cmp.Compare(urgency(a.reason), urgency(b.reason)) })
	return plan
}

// plan returns the reassignments of one pool. It returns improvements only if nothing else is to
// do.
func (p *pool) plan(urgent bool) []Reassignment {
	if p.empty() {
		return p.layOut()
	}
	if p.gap().Layers() > 0 {
		return p.repair()
	}
	return p.improve(urgent)
}

func urgency(r Reason) int {
	if r == ReasonReplica || r == ReasonImprove || r == ReasonSpareReplica {
		return 1
	}
	return 0
}

// LayerCapacity returns how many layers fit into an engine's memory together with the KV cache of
// that many tokens.
func LayerCapacity(spec *protocol.EngineSpec, memoryMB float64, tokens float64) int {
	perLayerMB := spec.LayerMB + tokens*spec.TokenLayerMB
	if perLayerMB <= 0 {
		return 0
	}
	return min(spec.Layers, int(math.Floor(memoryMB/perLayerMB)))
}
