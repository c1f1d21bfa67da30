// SPDX-License-Identifier: Apache-2.0

package admit

import (
	"time"
)

// team is one team's waiting requests and its place in virtual time.
type team struct {
	share   float64
	pass    float64
	running int
	line    line
}

// waiter is a request that waits.
type waiter struct {
	request Request
	since   time.Time
	order   uint64
}

// line is a heap of waiters by deadline, then by arrival.
type line []waiter

func (l line) Len() int { return len(l) }
func (l line) Less(i, j int) bool {
	if !l[i].request.Deadline.Equal(l[j].request.Deadline) {
		return l[i].request.Deadline.Before(l[j].request.Deadline)
	}
	return l[i].order < l[j].order
}
func (l line) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push is for container/heap.
func (l *line) Push(x any) { *l = append(*l, x.(waiter)) }

// Pop is for container/heap.
func (l *line) Pop() any {
	last := len(*l) - 1
	w := (*l)[last]
	*l = (*l)[:last]
	return w
}

func (t *team) before(o *team) bool {
	if t.pass != o.pass {
		return t.pass < o.pass
	}
	return t.line[0].order < o.line[0].order
}

// urgency returns the priority of the team's first request less one for each
// ageStep that it has waited.
func (t *team) urgency(now time.Time) int {
	w := &t.line[0]
	return max(0, int(w.request.Priority)-int(now.Sub(w.since)/ageStep))
}

func (t *team) excess() float64 { return float64(len(t.line)) / t.share }
