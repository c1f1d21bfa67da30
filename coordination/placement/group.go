// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// group is the engines of a pool that have the same accelerator and hold the same layers, so that
// they are interchangeable in a layout. Layouts are scored over groups, because there are only some
// dozens of them however many engines there are.
type group struct {
	accelerator int
	memoryMB    float64
	span        protocol.Span
	engines     int
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.accelerator, b.accelerator), cmp.Compare(a.span.From, b.span.From), cmp.Compare(a.span.To, b.span.To))
}

// addToGroup adds an engine to its group and removeFromGroup removes it. The groups are sorted, so
// that the score of a layout does not depend on the order in which it was built.
func (p *pool) addToGroup(m *member) {
	g := group{accelerator: m.accelerator, memoryMB: m.memoryMB, span: m.span}
	i, found := slices.BinarySearchFunc(p.groups, g, compareGroups)
	if !found {
		p.groups = slices.Insert(p.groups, i, g)
	}
	p.groups[i].engines++
}

func (p *pool) removeFromGroup(m *member) {
	i, found := slices.BinarySearchFunc(p.groups, group{accelerator: m.accelerator, span: m.span}, compareGroups)
	if !found {
		return
	}
	if p.groups[i].engines--; p.groups[i].engines == 0 {
		p.groups = slices.Delete(p.groups, i, i+1)
	}
}

// rebuildGroups computes the groups from the engines.
func (p *pool) rebuildGroups() {
	p.groups = nil
	for i := range p.engines {
		p.addToGroup(&p.engines[i])
	}
}

// engineClass holds the properties that decide the score of a reassignment. Engines of the same
// class need to be tried only once.
type engineClass struct {
	accelerator   int
	span, serving protocol.Span
	reassigned    bool
}

// representatives returns the first engine of each engine class. The pool must not be sorted while
// the result is in use.
func (p *pool) representatives() []*member {
	seen := make(map[engineClass]bool, len(p.groups))
	var first []*member
	for i := range p.engines {
		m := &p.engines[i]
		class := engineClass{accelerator: m.accelerator, span: m.span, serving: m.serving, reassigned: m.reassigned}
		if seen[class] {
			continue
		}
		seen[class] = true
		first = append(first, m)
	}
	return first
}
