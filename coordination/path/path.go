// SPDX-License-Identifier: Apache-2.0

// Package path chooses the runners that a request runs through.
//
// A path covers the layers [0, L) of a model without gap or overlap. Choose is pure: it reads a
// view of the fleet and a time, and returns a typed decision.
//
//	switch d := path.Choose(view.Model("fares"), path.Query{Now: now, Rand: rnd}).(type) {
//	case *path.Found:
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
	// backlogWeight is the weight of a runner's backlog, the work that this entry's streams will
	// still need there, relative to its expected time. A stream stays on its path, so a queue that
	// is short now says too little about the runner's later load.
	backlogWeight = 4.0
)

// Path is a sequence of stages in the order of their layers, with one runner for each stage.
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

// Span returns the layers that a stage runs: all layers that its runner holds, or a part of them.
func (p *Path) Span(stage int) protocol.Span { return p.spans[stage] }

// Cost returns the expected seconds of one pass through all stages.
func (p *Path) Cost() float64 { return p.cost }

// Policy is a way to choose among the runners of a group.
type Policy interface{ policy() }

// LowestCost takes the runner of the entry's subset with the lowest expected time. It is the policy
// in use, and the others are baselines.
type LowestCost struct{}

// LowestReportedLoad takes the runner with the lowest load in its last report.
type LowestReportedLoad struct{}

// RoundRobin takes the runners in turn.
type RoundRobin struct{ Counter *uint64 }

// Random takes a random runner.
type Random struct{}

// FixedPipeline takes the same runner of a group for the same value of Index, as a fixed pipeline
// does.
type FixedPipeline struct{ Index *uint64 }

func (LowestCost) policy()         {}
func (LowestReportedLoad) policy() {}
func (RoundRobin) policy()         {}
func (Random) policy()             {}
func (FixedPipeline) policy()      {}

// Query holds everything that a choice depends on besides the fleet. Avoid lists runners that have
// failed this request. They are taken only if no other runner holds a layer.
type Query struct {
	Now time.Time
	// Positions is how many tokens the runners have to process before the next token.
	Positions int
	// OutputTokens is how many tokens the request is expected to generate, and Entries is how many
	// entries send to the same runners. Only ChooseSubspans and ReplaceStages use them.
	OutputTokens int
	Entries      float64
	Rand         *rand.Rand
	Avoid        []*fleet.Runner
	// Gate tells which runners may not be taken now, even if no other holds a layer. Nil excludes none.
	Gate   Gate
	Policy Policy
}

// Gate tells whether an endpoint takes a request now.
type Gate interface {
	Admits(r *fleet.Runner, now time.Time) bool
}

// admits reports whether a runner may be taken at all.
func (q *Query) admits(r *fleet.Runner) bool {
	return !r.Leaving() && (q.Gate == nil || q.Gate.Admits(r, q.Now))
}

// Decision is either *Found or Missing.
type Decision interface{ decision() }

// Found holds a complete path.
type Found struct{ path Path }

// Path returns the path.
func (f *Found) Path() *Path { return &f.path }

// Missing holds a layer that no usable runner holds.
type Missing struct{ layer int }

// Layer returns the first layer that can't be reached.
func (m Missing) Layer() int { return m.layer }

func (*Found) decision()  {}
func (Missing) decision() {}

// Choose returns the path with the lowest expected time over the entry's subset of each group, or
// the first layer that can't be reached.
func Choose(m *fleet.Model, q Query) Decision {
	found := &Found{}
	if missing := choose(m, &q, &found.path); missing >= 0 {
		return Missing{layer: missing}
	}
	return found
}

// ChooseInto is like Choose, but does not allocate. It fills p and returns -1, or returns the first
// layer that can't be reached.
func ChooseInto(m *fleet.Model, q *Query, p *Path) int { return choose(m, q, p) }

// choose finds the cheapest path by dynamic programming over the layers at which groups begin and
// end. It returns -1, or the first layer that can't be reached.
func choose(m *fleet.Model, q *Query, p *Path) int {
	if m == nil || m.Layers() <= 0 || m.Layers() > MaxLayers {
		return 0
	}
	var best [MaxLayers + 1]float64
	var runners [MaxLayers + 1]*fleet.Runner
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
		r, cost := pickFromGroup(g, q)
		if r == nil || best[span.From]+cost >= best[span.To] {
			continue
		}
		best[span.To] = best[span.From] + cost
		runners[span.To] = r
	}
	if math.IsInf(best[m.Layers()], 1) {
		return furthest(&best, m.Layers())
	}
	return collect(&runners, m.Layers(), best[m.Layers()], p)
}

// furthest returns the last layer that a path reaches.
func furthest(best *[MaxLayers + 1]float64, layers int) int {
	for i := layers; i > 0; i-- {
		if !math.IsInf(best[i], 1) {
			return i
		}
	}
	return 0
}

// collect fills p with the path that ends at the last layer. It returns -1, or 0 if the path has
// too many stages.
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

// pickFromGroup chooses from the entry's subset of a group, and from the rest of the group if no
// runner of the subset is usable.
func pickFromGroup(g *fleet.Group, q *Query) (*fleet.Runner, float64) {
	r, cost := pickByPolicy(g.Runners(), q)
	if (r == nil || !r.Usable(q.Now)) && len(g.All()) > len(g.Runners()) {
		if other, otherCost := pickFrom(g.All(), q, q.Rand.IntN(len(g.All()))); other != nil {
			return other, otherCost
		}
	}
	return r, cost
}

// pickByPolicy chooses among runners as the query's policy says.
func pickByPolicy(runners []*fleet.Runner, q *Query) (*fleet.Runner, float64) {
	switch policy := q.Policy.(type) {
	case LowestReportedLoad:
		return pickLowestReported(runners, q)
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

// pickByCost compares all runners of the subset. It begins at a random one, so that runners of
// equal cost are taken equally often.
func pickByCost(runners []*fleet.Runner, q *Query) (*fleet.Runner, float64) {
	if len(runners) == 0 {
		return nil, 0
	}
	var chosen *fleet.Runner
	lowest := math.Inf(1)
	start := q.Rand.IntN(len(runners))
	for i := range runners {
		r := runners[(start+i)%len(runners)]
		if !r.Usable(q.Now) || contains(q.Avoid, r) || !q.admits(r) {
			continue
		}
		if cost := r.Cost(q.Now, q.Positions) + backlogWeight*r.Backlog(); cost < lowest {
			chosen, lowest = r, cost
		}
	}
	if chosen != nil {
		return chosen, lowest
	}
	return pickFrom(runners, q, start)
}

// pickFrom returns the first usable runner from a starting point on. It prefers runners that are
// not avoided. If no runner is usable, it returns the one whose ejection ends first, so that
// ejections can't empty a group.
func pickFrom(runners []*fleet.Runner, q *Query, start int) (*fleet.Runner, float64) {
	var fallback, ejected *fleet.Runner
	for i := range runners {
		r := runners[(start+i)%len(runners)]
		switch {
		case !q.admits(r):
		case !r.Usable(q.Now):
			if ejected == nil || r.EjectedUntil().Before(ejected.EjectedUntil()) {
				ejected = r
			}
		case contains(q.Avoid, r):
			fallback = r
		default:
			return r, r.Cost(q.Now, q.Positions)
		}
	}
	if fallback == nil {
		fallback = ejected
	}
	if fallback == nil {
		return nil, 0
	}
	return fallback, fallback.Cost(q.Now, q.Positions)
}

// pickLowestReported returns the usable runner with the lowest reported load for its speed.
func pickLowestReported(runners []*fleet.Runner, q *Query) (*fleet.Runner, float64) {
	var chosen *fleet.Runner
	lowest := math.Inf(1)
	for _, r := range runners {
		if load := r.ReportedQueue() / r.Spec().Speed; r.Usable(q.Now) && !contains(q.Avoid, r) && load < lowest && q.admits(r) {
			chosen, lowest = r, load
		}
	}
	if chosen == nil {
		return pickFrom(runners, q, 0)
	}
	return chosen, chosen.Cost(q.Now, q.Positions)
}

func contains(runners []*fleet.Runner, r *fleet.Runner) bool {
	for _, a := range runners {
		if a == r {
			return true
		}
	}
	return false
}
