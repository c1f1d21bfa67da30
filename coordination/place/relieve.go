// SPDX-License-Identifier: Apache-2.0

package place

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// relieve returns the move that gives layers which only slow engines hold a further
// holder, if there is one that needn't give up layers for it which nobody else holds. The
// slow engine serves meanwhile, so nothing is cut for it. Nothing is moved back when the slow engine is fast again, unless the layout gains by it
// as by any other move.
func (p *pool) relieve() []Move {
	t := p.copy()
	t.served = slices.Clone(p.served)
	slow := false
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
	move.reason = Relief
	p.set(p.member(move.engine), move.span)
	return []Move{move}
}
