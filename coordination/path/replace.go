// SPDX-License-Identifier: Apache-2.0

package path

import (
	"slices"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// Replace fills p with a path in which runners of a model run the layers of the stages
// that are lost, each hole on its cheapest way, while the other stages stay as they are.
// It reports whether there is one. Runners that are left out, to be avoided or leaving are
// never taken, nor one that the path keeps: engines refuse a path that names one twice.
// Its cost is that of the new stages. It does not allocate.
func Replace(m *fleet.Model, q *Query, old *Path, lost []*fleet.Runner, p *Path) bool {
	if m == nil || m.Layers() <= 0 || m.Layers() > MaxLayers {
		return false
	}
	kept := old.without(lost)
	var s search
	p.length, p.cost = 0, 0
	for i := 0; i < old.length; {
		end := i
		for end < old.length && slices.Contains(lost, old.runners[end]) {
			end++
		}
		if end == i {
			if !p.add(old.runners[i], old.spans[i]) {
				return false
			}
			i++
			continue
		}
		before := p.length
		s.kept = &kept
		s.prepare(m, protocol.Span{From: old.spans[i].From, To: old.spans[end-1].To})
		if !s.run(m, q, false) || !s.collect(p) {
			return false
		}
		for ; before < p.length; before++ {
			if !kept.add(p.runners[before], p.spans[before]) {
				return false
			}
		}
		i = end
	}
	return true
}

// Has reports whether a runner runs just that span in the path.
func (p *Path) Has(r *fleet.Runner, span protocol.Span) bool {
	for i := range p.length {
		if p.runners[i] == r && p.spans[i] == span {
			return true
		}
	}
	return false
}

// Holds reports whether a runner stands in the path.
func (p *Path) Holds(r *fleet.Runner) bool { return slices.Contains(p.runners[:p.length], r) }

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
