// SPDX-License-Identifier: Apache-2.0

package admit

import (
	"cmp"
	"slices"
	"time"
)

// Group describes the waiting requests of one team and priority in a WaitQueue.
type Group struct {
	team     string
	priority int
	requests int
	oldest   time.Time
}

// Team returns the team of the requests.
func (g *Group) Team() string { return g.team }

// Priority returns the priority of the requests; 0 is the most urgent.
func (g *Group) Priority() int { return g.priority }

// Requests returns the number of requests, at least one.
func (g *Group) Requests() int { return g.requests }

// Oldest returns when the request that has waited longest began to wait.
func (g *Group) Oldest() time.Time { return g.oldest }

// Groups returns the waiting requests by team and priority, ordered by priority
// and then by team.
func (q *WaitQueue) Groups() []Group {
	var all []Group
	for i := range q.waiting {
		w := &q.waiting[i]
		index := slices.IndexFunc(all, func(g Group) bool { return g.team == w.Team && g.priority == w.Priority })
		if index < 0 {
			all = append(all, Group{team: w.Team, priority: w.Priority, requests: 1, oldest: w.Since})
			continue
		}
		g := &all[index]
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
