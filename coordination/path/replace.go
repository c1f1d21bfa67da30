// SPDX-License-Identifier: Apache-2.0

package path

import (
	"slices"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// ReplaceStages fills p with a path in which runners of a model run the layers of the stages
// that are lost, each hole on its cheapest way, while the other stages stay as they are.
// It reports whether there is one. Runners that are left out, to be avoided or leaving are
// never taken, nor one that the path keeps: engines refuse a path that names one twice.
// Its cost is that of the new stages. It does not allocate.
func ReplaceStages(m *fleet.Model, q *Query, old *Path, lost []*fleet.Runner, p *Path) bool {
	if m == nil || m.Layers() <= 0 || m.Layers() > MaxLayers {
		return false
	}
	kept := old.without(lost)
	s := search{kept: &kept}
	p.length, p.cost = 0, 0
	for i := 0; i < old.length; {
		end := old.lostFrom(i, lost)
		if end == i {
			if !p.add(old.runners[i], old.spans[i]) {
				return false
			}
			i++
			continue
		}
		if !s.fill(m, q, protocol.Span{From: old.spans[i].From, To: old.spans[end-1].To}, p) {
			return false
		}
		i = end
	}
	return true
}

// lostFrom returns the end of the row of lost stages that begins at a stage, the stage itself
// if it is not lost.
func (p *Path) lostFrom(stage int, lost []*fleet.Runner) int {
	for stage < p.length && slices.Contains(lost, p.runners[stage]) {
		stage++
	}
	return stage
}

// fill adds to a path the cheapest way over a hole, whose runners are kept from then on. It
// reports whether there is one.
func (s *search) fill(m *fleet.Model, q *Query, hole protocol.Span, p *Path) bool {
	begin := p.length
	s.prepare(m, hole)
	if !s.run(m, q, false) || !s.collect(p) {
		return false
	}
	for i := begin; i < p.length; i++ {
		if !s.kept.add(p.runners[i], p.spans[i]) {
			return false
		}
	}
	return true
}

// HasStage reports whether a runner runs just that span in the path.
func (p *Path) HasStage(r *fleet.Runner, span protocol.Span) bool {
	for i := range p.length {
		if p.runners[i] == r && p.spans[i] == span {
			return true
		}
	}
	return false
}

// Contains reports whether a runner stands in the path.
func (p *Path) Contains(r *fleet.Runner) bool { return slices.Contains(p.runners[:p.length], r) }

// without returns the stages of the path whose runners are not lost.
func (p *Path) without(lost []*fleet.Runner) Path {
	var kept Path
	for i := range p.length {
		if !slices.Contains(lost, p.runners[i]) {
			kept.add(p.runners[i], p.spans[i])
		}
	}
	return kept
}

// add adds a stage, and reports whether there is room for it.
func (p *Path) add(r *fleet.Runner, span protocol.Span) bool {
	if p.length == MaxStages {
		return false
	}
	p.runners[p.length], p.spans[p.length] = r, span
	p.length++
	return true
}
