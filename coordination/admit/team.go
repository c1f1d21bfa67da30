// SPDX-License-Identifier: Apache-2.0

package admit

import (
	"time"
)

// team holds the waiting requests of one team and its state in fair queueing.
type team struct {
	share        float64
	virtualStart float64
	running      int
	queue        requestHeap
}

// queuedRequest is a waiting request.
type queuedRequest struct {
	request  Request
	since    time.Time
	sequence uint64
}

// requestHeap is a heap of waiting requests, ordered by deadline and then by
// arrival.
type requestHeap []queuedRequest

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(i, j int) bool {
	if !h[i].request.Deadline.Equal(h[j].request.Deadline) {
		return h[i].request.Deadline.Before(h[j].request.Deadline)
	}
	return h[i].sequence < h[j].sequence
}
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) { *h = append(*h, x.(queuedRequest)) }

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}

// precedes reports whether t is dispatched before o at equal urgency.
func (t *team) precedes(o *team) bool {
	if t.virtualStart != o.virtualStart {
		return t.virtualStart < o.virtualStart
	}
	return t.queue[0].sequence < o.queue[0].sequence
}

// urgency returns the priority of the team's first request, less one for each
// agingInterval that it has waited; 0 is the most urgent.
func (t *team) urgency(now time.Time) int {
	w := &t.queue[0]
	return max(0, int(w.request.Priority)-int(now.Sub(w.since)/agingInterval))
}

// queuedPerShare returns the number of waiting requests in relation to the share.
func (t *team) queuedPerShare() float64 { return float64(len(t.queue)) / t.share }
