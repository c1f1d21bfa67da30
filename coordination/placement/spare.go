// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// addSpareReplica returns the reassignment that adds a further holder of layers which only slow
// engines hold, if some engine can take them and keep every layer of which it is the last holder.
// The slow engine serves in the meantime, so that no request is aborted. When the engine is fast
// again, the layers stay where they are unless another reassignment raises the score.
func (p *pool) addSpareReplica() []Reassignment {
	fast := p.clone() // the pool without the layers that slow engines hold
	fast.servingHolders = slices.Clone(p.servingHolders)
	changed := false // whether some engine is slow
	for i := range fast.engines {
		if m := &fast.engines[i]; m.slow {
			fast.addHolders(fast.servingHolders, m.serving, -1)
			m.serving = protocol.Span{}
			fast.reassign(m, protocol.Span{})
			changed = true
		}
	}
	gap := fast.gap()
	if !changed || gap.Layers() == 0 {
		return nil
	}
	r, ok := fast.fillPart(gap)
	if !ok {
		return nil
	}
	r.reason = ReasonSpareReplica
	p.reassign(p.member(r.engine), r.span)
	return []Reassignment{r}
}
