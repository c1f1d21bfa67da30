// SPDX-License-Identifier: Apache-2.0

package placement

import "pinerun.example/pinerun/protocol"

const (
	// leastGain is by how much more a layout must be worth for engines to be moved, and
	// layerPrice how much of it each layer costs that has to be loaded: a part of what
	// the data center serves. Without a least gain engines would move for nothing.
	leastGain  = 0.03
	layerPrice = 0.001
	// weighingsMost bounds how many spans are weighed for one plan. Each takes some 10 us.
	weighingsMost = 1500
	// weighingsUrgent is the same for a plan of what can't wait, which every entry makes up
	// to ten times a second while there is work.
	weighingsUrgent = 400
)

// improve returns moves that make a layout without holes worth more: those of engines that
// hold nothing, or the one move that is worth most once no order is under way. Going all
// the way to the best layout, engine by engine, was measured to cost more than it gains:
// each engine on its way serves nothing for a second or two.
func (p *pool) improve(urgent bool) []Reassignment {
	moves := p.useEmpty(urgent)
	if len(moves) > 0 || urgent || p.underWay() {
		return moves
	}
	if relief := p.relieve(); len(relief) > 0 {
		return relief
	}
	return p.improveOne()
}

// underWay reports whether some engine still carries out an order.
func (p *pool) underWay() bool {
	for i := range p.engines {
		if m := &p.engines[i]; m.span != m.serving {
			return true
		}
	}
	return false
}

// useEmpty gives each engine that holds nothing the layers that are worth most.
func (p *pool) useEmpty(urgent bool) []Reassignment {
	var moves []Reassignment
	left := weighingsMost
	if urgent {
		left = weighingsUrgent
	}
	for i := range p.engines {
		m := &p.engines[i]
		if m.span.Layers() > 0 || m.serving.Layers() > 0 {
			continue
		}
		if left <= 0 {
			break
		}
		if s, _ := p.bestSpan(m, &left); s.Layers() > 0 {
			p.set(m, s)
			moves = append(moves, Reassignment{engine: m.id, span: s, reason: ReasonReplica})
		}
	}
	return moves
}

// gain returns how much more than it is now the layout is worth if an engine holds a span,
// less the price of loading it.
func (p *pool) gain(m *member, s protocol.Span, worth float64) float64 {
	before := m.span
	p.hold(m, s)
	gain := p.worth() - worth - layerPrice*float64(added(before, s))
	p.hold(m, before)
	return gain
}

// improveOne returns the one move that makes the layout worth most, if any is worth its
// price.
func (p *pool) improveOne() []Reassignment {
	left := weighingsMost
	var chosen *member
	var span protocol.Span
	most := leastGain
	for _, m := range p.representatives() {
		if s, gain := p.bestSpan(m, &left); s.Layers() > 0 && gain > most {
			chosen, span, most = m, s, gain
		}
	}
	if chosen == nil {
		return nil
	}
	p.set(chosen, span)
	return []Reassignment{{engine: chosen.id, span: span, reason: ReasonImprove}}
}

// bestSpan returns the span that makes the layout worth most if an engine holds it, and
// how much more. It keeps every layer that no other is known to hold.
func (p *pool) bestSpan(m *member, left *int) (protocol.Span, float64) {
	var best protocol.Span
	before := m.span
	kept := p.needed(m)
	worth := p.worth()
	most := 0.0
	ends := p.boundaries()
	for i, from := range ends {
		if kept.Layers() > 0 && from > kept.From {
			break
		}
		for _, to := range ends[i+1:] {
			s := protocol.Span{From: from, To: to}
			if to-from > p.fitting(m.memoryMB, leastRequests) {
				break
			}
			if kept.Layers() > 0 && to < kept.To || s == before {
				continue
			}
			if *left--; *left < 0 {
				return best, most
			}
			if gain := p.gain(m, s, worth); gain > most {
				best, most = s, gain
			}
		}
	}
	return best, most
}
