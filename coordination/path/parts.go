// SPDX-License-Identifier: Apache-2.0

package path

import (
	"math"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// tieSeconds spreads equal runners: entries that believe the same must not all
	// take the same path.
	tieSeconds = 0.0005
	// desperateSeconds is what a runner costs that should be left out.
	desperateSeconds = 10
)

// ChooseSubspans fills p with the cheapest path on which a runner may run a part of the
// layers that it holds, and returns -1, or the first layer that can't be reached.
// It is for engines that take the layers of each stage with the request. A stage
// begins and ends only where some runner's span does, so that the work is bounded
// by the number of runners. It does not allocate.
//
// Runners that are left out or to be avoided are taken only when no path does
// without them, those that are leaving never.
func ChooseSubspans(m *fleet.Model, q *Query, p *Path) int {
	if m == nil || m.Layers() <= 0 || m.Layers() > MaxLayers {
		return 0
	}
	var s search
	p.length, p.cost = 0, 0
	s.prepare(m, protocol.Span{From: 0, To: m.Layers()})
	if s.run(m, q, false) && s.collect(p) {
		return -1
	}
	reached := s.furthest()
	if s.run(m, q, true) && s.collect(p) {
		return -1
	}
	return max(reached, s.furthest())
}

// search is the state of one search over the layers of a span.
type search struct {
	span   protocol.Span
	kept   *Path              // its runners can't run a further stage, nil for none
	bounds [MaxLayers + 1]int // where spans begin or end, in order
	count  int
	best   [MaxLayers + 1]float64
	via    [MaxLayers + 1]*fleet.Runner
	from   [MaxLayers + 1]int
	stages [MaxLayers + 1]int
}

// prepare lists the layers of a span at which a stage may begin or end.
func (s *search) prepare(m *fleet.Model, over protocol.Span) {
	var marks [MaxLayers + 1]bool
	marks[over.From], marks[over.To] = true, true
	groups := m.Groups()
	for i := range groups {
		if span := groups[i].Span(); span.Valid(m.Layers()) {
			marks[span.From], marks[span.To] = true, true
		}
	}
	s.span, s.count = over, 0
	for l := over.From; l <= over.To; l++ {
		if marks[l] {
			s.bounds[s.count] = l
			s.count++
		}
	}
}

// run finds the cheapest way to each bound, and reports whether the end of the span
// is reached. Desperate lets runners in that should be left out.
func (s *search) run(m *fleet.Model, q *Query, desperate bool) bool {
	for i := range s.count {
		s.best[s.bounds[i]] = math.Inf(1)
	}
	s.best[s.span.From], s.stages[s.span.From] = 0, 0
	groups := m.Groups()
	for i := range s.count {
		at := s.bounds[i]
		if math.IsInf(s.best[at], 1) || s.stages[at] >= MaxStages {
			continue
		}
		for g := range groups {
			if span := groups[g].Span(); span.From <= at && at < span.To && span.Valid(m.Layers()) {
				s.extend(&groups[g], i, q, desperate)
			}
		}
	}
	return !math.IsInf(s.best[s.span.To], 1)
}

// extend tries the runners of a group for the stages that begin at a bound.
func (s *search) extend(g *fleet.Group, begin int, q *Query, desperate bool) {
	at := s.bounds[begin]
	for _, r := range g.Runners() {
		penalty, ok := penaltyOf(r, q, desperate)
		if !ok || s.kept != nil && s.kept.Contains(r) {
			continue
		}
		fixed, layer := r.RequestCost(q.Now, q.Positions, q.OutputTokens, q.Entries)
		fixed += penalty + q.Rand.Float64()*tieSeconds
		for i := begin + 1; i < s.count && s.bounds[i] <= g.Span().To; i++ {
			to := s.bounds[i]
			if cost := s.best[at] + fixed + layer*float64(to-at); cost < s.best[to] {
				s.best[to], s.via[to], s.from[to], s.stages[to] = cost, r, at, s.stages[at]+1
			}
		}
	}
}

// penaltyOf returns what it costs to take a runner beside its work, and whether
// it may be taken at all.
func penaltyOf(r *fleet.Runner, q *Query, desperate bool) (float64, bool) {
	if r.Leaving() {
		return 0, false
	}
	if r.Usable(q.Now) && !avoided(q.Avoid, r) {
		return 0, true
	}
	return desperateSeconds, desperate
}

// furthest returns the last bound before the end that a path reaches.
func (s *search) furthest() int {
	for i := s.count - 1; i > 0; i-- {
		if at := s.bounds[i]; at < s.span.To && !math.IsInf(s.best[at], 1) {
			return at
		}
	}
	return 0
}

// collect adds the stages found to a path. A runner that would stand in it twice, which
// engines refuse, makes them void.
func (s *search) collect(p *Path) bool {
	begin, end := p.length, p.length+s.stages[s.span.To]
	if end > MaxStages {
		return false
	}
	n := end
	for at := s.span.To; at > s.span.From; at = s.from[at] {
		n--
		p.runners[n] = s.via[at]
		p.spans[n] = protocol.Span{From: s.from[at], To: at}
	}
	for i := begin + 1; i < end; i++ {
		for j := begin; j < i; j++ {
			if p.runners[i] == p.runners[j] {
				return false
			}
		}
	}
	p.length = end
	p.cost += s.best[s.span.To]
	return true
}
