// SPDX-License-Identifier: Apache-2.0

package path

import (
	"math"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// tieBreakSeconds bounds the random cost that separates equal runners, so that entries with the
	// same view of the fleet don't all choose the same path.
	tieBreakSeconds = 0.0005
	// lastResortSeconds is the cost of a runner that should be excluded.
	lastResortSeconds = 10
)

// ChooseSubspans fills p with the cheapest path on which a runner may run only a part of the layers
// that it holds, and returns -1. If there is no path, it returns the first layer that can't be
// reached. It is for engines that receive the layers of each stage with the request. A stage begins
// and ends only where the span of some runner does, so that the work is bounded by the number of
// runners. It does not allocate.
//
// Runners that are not usable or are listed in q.Avoid are taken only if there is no path without
// them. Runners that are leaving or that the gate excludes are never taken.
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
	kept   *Path              // path whose runners can't run another stage, or nil
	bounds [MaxLayers + 1]int // layers where spans begin or end, in order
	count  int
	best   [MaxLayers + 1]float64
	via    [MaxLayers + 1]*fleet.Runner
	from   [MaxLayers + 1]int
	stages [MaxLayers + 1]int
}

// prepare lists the layers of a span at which a stage may begin or end.
func (s *search) prepare(m *fleet.Model, span protocol.Span) {
	var isBound [MaxLayers + 1]bool
	isBound[span.From], isBound[span.To] = true, true
	groups := m.Groups()
	for i := range groups {
		if held := groups[i].Span(); held.Valid(m.Layers()) {
			isBound[held.From], isBound[held.To] = true, true
		}
	}
	s.span, s.count = span, 0
	for l := span.From; l <= span.To; l++ {
		if isBound[l] {
			s.bounds[s.count] = l
			s.count++
		}
	}
}

// run finds the cheapest way to each bound and reports whether it reaches the end of the span. With
// lastResort it also takes runners that should be excluded.
func (s *search) run(m *fleet.Model, q *Query, lastResort bool) bool {
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
				s.extend(&groups[g], i, q, lastResort)
			}
		}
	}
	return !math.IsInf(s.best[s.span.To], 1)
}

// extend tries the runners of a group for the stages that begin at a bound.
func (s *search) extend(g *fleet.Group, begin int, q *Query, lastResort bool) {
	at := s.bounds[begin]
	for _, r := range g.Runners() {
		extra, ok := penalty(r, q, lastResort)
		if !ok || s.kept != nil && s.kept.Contains(r) {
			continue
		}
		fixed, layer := r.RequestCost(q.Now, q.Positions, q.OutputTokens, q.Entries)
		fixed += extra + q.Rand.Float64()*tieBreakSeconds
		for i := begin + 1; i < s.count && s.bounds[i] <= g.Span().To; i++ {
			to := s.bounds[i]
			if cost := s.best[at] + fixed + layer*float64(to-at); cost < s.best[to] {
				s.best[to], s.via[to], s.from[to], s.stages[to] = cost, r, at, s.stages[at]+1
			}
		}
	}
}

// penalty returns the cost of a runner in addition to that of its work, and whether the runner may
// be taken at all.
func penalty(r *fleet.Runner, q *Query, lastResort bool) (float64, bool) {
	if !q.admits(r) {
		return 0, false
	}
	if r.Usable(q.Now) && !contains(q.Avoid, r) {
		return 0, true
	}
	return lastResortSeconds, lastResort
}

// furthest returns the last bound before the end of the span that a path reaches.
func (s *search) furthest() int {
	for i := s.count - 1; i > 0; i-- {
		if at := s.bounds[i]; at < s.span.To && !math.IsInf(s.best[at], 1) {
			return at
		}
	}
	return 0
}

// collect adds the stages of the result to a path. It reports false if a runner would run two
// stages, because engines refuse such a path, or if the path would be too long.
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
