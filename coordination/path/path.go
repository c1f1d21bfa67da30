// SPDX-License-Identifier: Apache-2.0

// Package path chooses the runners that a request goes through.
//
// A path covers the layers [0, L) of a model without gap or overlap. Choose is
// pure: it reads a view of the fleet and a time, and returns a typed decision.
//
//	switch d := path.Choose(view.Model("fares"), path.Query{Now: now, Draw: draw}).(type) {
//	case path.Found:
//		// d.Path() has one runner for each stage
//	case path.Missing:
//		// no usable runner holds layer d.Layer()
//	}
package path

import (
	"math"
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// MaxStages is the largest number of stages of a path.
	MaxStages = 32
	// MaxLayers is the largest number of layers of a model.
	MaxLayers = 256
	// pledgeWeight is how many times the work that this entry's streams will
	// still need at a runner counts as cost. A stream stays on its path, so a
	// queue that is short now says too little.
	pledgeWeight = 4.0
)

// Path is one runner for each stage, in order of layers.
type Path struct {
	length  int
	runners [MaxStages]*fleet.Runner
	spans   [MaxStages]protocol.Span
	cost    float64
}

// Len returns the number of stages.
func (p *Path) Len() int { return p.length }

// Runner returns the runner of a stage.
func (p *Path) Runner(stage int) *fleet.Runner { return p.runners[stage] }

// Span returns the layers that a stage runs: all that its runner holds, or a part
// of them.
func (p *Path) Span(stage int) protocol.Span { return p.spans[stage] }

// Cost returns the expected seconds for one pass through all stages.
func (p *Path) Cost() float64 { return p.cost }

// Policy is a way to choose among the runners of a group.
type Policy interface{ policy() }

// LowestCost compares the runners of the entry's subset by their expected time. It is
// the policy in use; the others are baselines.
type LowestCost struct{}

// LowestReportedLoad takes the runner with the least load as last reported.
type LowestReportedLoad struct{}

// RoundRobin takes the runners in turn.
type RoundRobin struct{ Counter *uint64 }

// Random takes any runner.
type Random struct{}

// FixedPipeline always takes the same runner of a group for the same chain number,
// as a fixed pipeline does.
type FixedPipeline struct{ Index *uint64 }

func (LowestCost) policy()         {}
func (LowestReportedLoad) policy() {}
func (RoundRobin) policy()         {}
func (Random) policy()             {}
func (FixedPipeline) policy()      {}

// Query is what a choice depends on besides the fleet. Avoid lists runners that
// have failed this request; they are taken only when nothing else holds a layer.
type Query struct {
	Now       time.Time
	Positions int
	// OutputTokens is how many tokens the request will write, and Sharers how many entries
	// send to the same runners; Parts alone uses them.
	OutputTokens int
	Entries      float64
	Rand         *rand.Rand
	Avoid        []*fleet.Runner
	Policy       Policy
}

// Decision is either Found or Missing.
type Decision interface{ decision() }

// Found holds a complete path.
type Found struct{ path Path }

// Path returns the path.
func (f *Found) Path() *Path { return &f.path }

// Missing says which layer no usable runner holds.
type Missing struct{ layer int }

// Layer returns the first layer that can't be reached.
func (m Missing) Layer() int { return m.layer }

func (*Found) decision()  {}
func (Missing) decision() {}

// Choose returns the path with the least expected time over the entry's subset of
// each group, or the first layer that can't be reached.
func Choose(m *fleet.Model, q Query) Decision {
	found := &Found{}
	if missing := choose(m, &q, &found.path); missing >= 0 {
		return Missing{layer: missing}
	}
	return found
}

// ChooseInto is Choose for hot paths: it fills p and returns -1, or returns the first
// layer that can't be reached. It does not allocate.
func ChooseInto(m *fleet.Model, q *Query, p *Path) int { return choose(m, q, p) }

func choose(m *fleet.Model, q *Query, p *Path) int {
	if m == nil || m.Layers() <= 0 || m.Layers() > MaxLayers {
		return 0
	}
	var best [MaxLayers + 1]float64
	var via [MaxLayers + 1]*fleet.Runner
	for i := 1; i <= m.Layers(); i++ {
		best[i] = math.Inf(1)
	}
	groups := m.Groups()
	for i := range groups {
		g := &groups[i]
		span := g.Span()
		if !span.Valid(m.Layers()) || math.IsInf(best[span.From], 1) {
			continue
		}
		r, cost := pick(g, q)
		if r == nil || best[span.From]+cost >= best[span.To] {
			continue
		}
		best[span.To] = best[span.From] + cost
		via[span.To] = r
	}
	if math.IsInf(best[m.Layers()], 1) {
		return furthest(&best, m.Layers())
	}
	return collect(&via, m.Layers(), best[m.Layers()], p)
}

func furthest(best *[MaxLayers + 1]float64, layers int) int {
	for i := layers; i > 0; i-- {
		if !math.IsInf(best[i], 1) {
			return i
		}
	}
	return 0
}

func collect(via *[MaxLayers + 1]*fleet.Runner, layers int, cost float64, p *Path) int {
	n := 0
	for at := layers; at > 0; at = via[at].Span().From {
		n++
	}
	if n > MaxStages {
		return 0
	}
	p.length = n
	p.cost = cost
	for at := layers; at > 0; at = via[at].Span().From {
		n--
		p.runners[n] = via[at]
		p.spans[n] = via[at].Span()
	}
	return -1
}

// pick chooses within the entry's subset of a group, and beyond it when nothing
// of the subset is usable.
func pick(g *fleet.Group, q *Query) (*fleet.Runner, float64) {
	r, cost := pickWithin(g.Runners(), q)
	if (r == nil || !r.Usable(q.Now)) && len(g.All()) > len(g.Runners()) {
		if other, otherCost := pickFrom(g.All(), q, q.Rand.IntN(len(g.All()))); other != nil {
			return other, otherCost
		}
	}
	return r, cost
}

func pickWithin(runners []*fleet.Runner, q *Query) (*fleet.Runner, float64) {
	switch policy := q.Policy.(type) {
	case LowestReportedLoad:
		return pickLeastReported(runners, q)
	case RoundRobin:
		*policy.Counter++
		return pickFrom(runners, q, int(*policy.Counter%uint64(max(1, len(runners)))))
	case FixedPipeline:
		return pickFrom(runners, q, int(*policy.Index%uint64(max(1, len(runners)))))
	case Random:
		return pickFrom(runners, q, q.Rand.IntN(max(1, len(runners))))
	default:
		return pickByCost(runners, q)
	}
}

// pickByCost compares all runners of the subset, from a random one on, so that
// equals are taken alike.
func pickByCost(runners []*fleet.Runner, q *Query) (*fleet.Runner, float64) {
	if len(runners) == 0 {
		return nil, 0
	}
	var chosen *fleet.Runner
	least := math.Inf(1)
	start := q.Rand.IntN(len(runners))
	for i := range runners {
		r := runners[(start+i)%len(runners)]
		if !r.Usable(q.Now) || avoided(q.Avoid, r) {
			continue
		}
		if cost := r.Cost(q.Now, q.Positions) + pledgeWeight*r.Backlog(); cost < least {
			chosen, least = r, cost
		}
	}
	if chosen != nil {
		return chosen, least
	}
	return pickFrom(runners, q, start)
}

// pickFrom takes the first usable runner from a starting point on, one that was
// not avoided if there is any. When every runner is ejected it takes the one
// whose ejection ends first, so that ejection can't empty a group.
func pickFrom(runners []*fleet.Runner, q *Query, start int) (*fleet.Runner, float64) {
	var second, last *fleet.Runner
	for i := range runners {
		r := runners[(start+i)%len(runners)]
		switch {
		case r.Leaving():
		case !r.Usable(q.Now):
			if last == nil || r.EjectedUntil().Before(last.EjectedUntil()) {
				last = r
			}
		case avoided(q.Avoid, r):
			second = r
		default:
			return r, r.Cost(q.Now, q.Positions)
		}
	}
	if second == nil {
		second = last
	}
	if second == nil {
		return nil, 0
	}
	return second, second.Cost(q.Now, q.Positions)
}

func pickLeastReported(runners []*fleet.Runner, q *Query) (*fleet.Runner, float64) {
	var chosen *fleet.Runner
	least := math.Inf(1)
	for _, r := range runners {
		if load := r.ReportedQueue() / r.Spec().Speed; r.Usable(q.Now) && !avoided(q.Avoid, r) && load < least {
			chosen, least = r, load
		}
	}
	if chosen == nil {
		return pickFrom(runners, q, 0)
	}
	return chosen, chosen.Cost(q.Now, q.Positions)
}

func avoided(avoid []*fleet.Runner, r *fleet.Runner) bool {
	for _, a := range avoid {
		if a == r {
			return true
		}
	}
	return false
}
