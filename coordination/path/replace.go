// SPDX-License-Identifier: Apache-2.0

package path

import (
	"slices"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// ReplaceStages fills p with a path in which runners of a model run the layers of the lost stages,
// and reports whether there is one. It takes the cheapest runners for each gap. The other stages
// stay as they are. It never takes a runner that is not usable or is listed in q.Avoid, nor one
// that keeps a stage, because engines refuse a path with the same runner twice. The cost of p is
// that of the new stages. It does not allocate.
func ReplaceStages(m *fleet.Model, q *Query, old *Path, lost []*fleet.Runner, p *Path) bool {
	if m == nil || m.Layers() <= 0 || m.Layers() > MaxLayers {
		return false
	}
	kept := old.without(lost)
	s := search{kept: &kept}
	p.length, p.cost = 0, 0
	for i := 0; i < old.length; {
		end := old.endOfLost(i, lost)
		if end == i {
			if !p.add(old.runners[i], old.spans[i]) {
				return false
			}
			i++
			continue
		}
		if !s.fillGap(m, q, protocol.Span{From: old.spans[i].From, To: old.spans[end-1].To}, p) {
			return false
		}
		i = end
	}
	return true
}

// endOfLost returns the end of the run of lost stages that begins at a stage. It returns the stage
// itself if that stage is not lost.
func (p *Path) endOfLost(stage int, lost []*fleet.Runner) int {
	for stage < p.length && slices.Contains(lost, p.runners[stage]) {
		stage++
	}
	return stage
}

// fillGap adds the cheapest stages over a gap to a path and reports whether there are any. From
// then on, their runners count as runners that keep a stage.
func (s *search) fillGap(m *fleet.Model, q *Query, gap protocol.Span, p *Path) bool {
	begin := p.length
	s.prepare(m, gap)
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

// HasStage reports whether a runner runs exactly that span in the path.
func (p *Path) HasStage(r *fleet.Runner, span protocol.Span) bool {
	for i := range p.length {
		if p.runners[i] == r && p.spans[i] == span {
			return true
		}
	}
	return false
}

// Contains reports whether a runner runs some stage of the path.
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

// add appends a stage and reports whether the path is not too long for it.
func (p *Path) add(r *fleet.Runner, span protocol.Span) bool {
	if p.length == MaxStages {
		return false
	}
	p.runners[p.length], p.spans[p.length] = r, span
	p.length++
	return true
}
