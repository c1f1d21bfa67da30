// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// group is the engines of a pool that a layout can't tell apart: of one accelerator and
// with the same layers. What a layout is worth is worked out over groups, of which there
// are some dozens however many engines there are.
type group struct {
	kind     int
	memoryMB float64
	span     protocol.Span
	engines  int
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.span.From, b.span.From), cmp.Compare(a.span.To, b.span.To))
}

// join adds an engine to its group, leave takes it out. Groups stand in order, so that a
// layout is worth the same in whichever order it came about.
func (p *pool) join(m *member) {
	g := group{kind: m.kind, memoryMB: m.memoryMB, span: m.span}
	at, there := slices.BinarySearchFunc(p.groups, g, compareGroups)
	if !there {
		p.groups = slices.Insert(p.groups, at, g)
	}
	p.groups[at].engines++
}

func (p *pool) leave(m *member) {
	at, there := slices.BinarySearchFunc(p.groups, group{kind: m.kind, span: m.span}, compareGroups)
	if !there {
		return
	}
	if p.groups[at].engines--; p.groups[at].engines == 0 {
		p.groups = slices.Delete(p.groups, at, at+1)
	}
}

// regroup counts the groups anew.
func (p *pool) regroup() {
	p.groups = nil
	for i := range p.engines {
		p.join(&p.engines[i])
	}
}

// alike is what two engines have in common for which the same moves are worth the same.
type alike struct {
	kind          int
	span, serving protocol.Span
	moved         bool
}

// representatives returns the first engine of each set of engines that the search need
// not tell apart. The pool must not be reordered while they are used.
func (p *pool) representatives() []*member {
	seen := make(map[alike]bool, len(p.groups))
	var firsts []*member
	for i := range p.engines {
		m := &p.engines[i]
		a := alike{kind: m.kind, span: m.span, serving: m.serving, moved: m.moved}
		if seen[a] {
			continue
		}
		seen[a] = true
		firsts = append(firsts, m)
	}
	return firsts
}
