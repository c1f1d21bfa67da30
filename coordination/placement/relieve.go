// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// relieve returns the move that gives layers which only slow engines hold a further holder,
// if some engine can take them without giving up layers that nobody else holds. The slow
// engine serves meanwhile, so no request is cut for it. Once it is fast again nothing is moved
// back, unless that makes the layout worth more, as any other move must.
func (p *pool) relieve() []Reassignment {
	t := p.copy()
	t.served = slices.Clone(p.served)
	slow := false // the copy is the pool without what slow engines hold
	for i := range t.engines {
		if m := &t.engines[i]; m.slow {
			t.count(t.served, m.serving, -1)
			m.serving = protocol.Span{}
			t.set(m, protocol.Span{})
			slow = true
		}
	}
	hole := t.hole()
	if !slow || hole.Layers() == 0 {
		return nil
	}
	move, ok := t.fillPart(hole)
	if !ok {
		return nil
	}
	move.reason = ReasonSpareReplica
	p.set(p.member(move.engine), move.span)
	return []Reassignment{move}
}
