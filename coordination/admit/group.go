// SPDX-License-Identifier: Apache-2.0

package admit

import (
	"cmp"
	"slices"
	"time"
)

// Group is the requests of one team and priority that wait in a line.
type Group struct {
	team     string
	priority int
	requests int
	oldest   time.Time
}

// Team returns whose requests they are.
func (g *Group) Team() string { return g.team }

// Priority returns their priority, 0 for the most urgent.
func (g *Group) Priority() int { return g.priority }

// Requests returns how many they are, at least one.
func (g *Group) Requests() int { return g.requests }

// Oldest returns since when the first of them has waited.
func (g *Group) Oldest() time.Time { return g.oldest }

// Groups returns who waits, in order of priority and team.
func (l *WaitQueue) Groups() []Group {
	var all []Group
	for i := range l.waiting {
		w := &l.waiting[i]
		at := slices.IndexFunc(all, func(g Group) bool { return g.team == w.Team && g.priority == w.Priority })
		if at < 0 {
			all = append(all, Group{team: w.Team, priority: w.Priority, requests: 1, oldest: w.Since})
			continue
		}
		g := &all[at]
		g.requests++
		if w.Since.Before(g.oldest) {
			g.oldest = w.Since
		}
	}
	slices.SortFunc(all, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.team, b.team))
	})
	return all
}
