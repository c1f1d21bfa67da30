// SPDX-License-Identifier: Apache-2.0

package admit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaiting bounds how many requests wait in a queue. A data center of forty
	// engines dispatches about forty requests a second, so the callers of a longer
	// queue would leave before their requests are dispatched.
	maxWaiting = 256
	// rateWindow is the time over which the dispatch rate is measured: long enough
	// for a few dozen requests, short enough to reflect a loss within a second.
	rateWindow = 500 * time.Millisecond
	// minWaitRetryAfter and maxWaitRetryAfter bound when a refused caller is asked to
	// retry. Capacity is free again within a second when engines are merely full, and
	// within about three seconds when layers have to be loaded.
	minWaitRetryAfter = 300 * time.Millisecond
	maxWaitRetryAfter = 3 * time.Second
)

// Waiter is a request that waits for capacity of the engines. After TargetStart a
// dispatch can no longer meet the latency target for the first event. After
// LatestStart a dispatch is useless, because the caller leaves before the first
// event.
type Waiter struct {
	Ticket      Ticket
	Team        string
	Priority    int // 0 is the most urgent
	Since       time.Time
	TargetStart time.Time
	LatestStart time.Time
}

// WaitQueue holds the requests of one service that wait for capacity of its
// engines. Capacity is not a number of requests but depends on the size and the
// path of each request, so the queue does not admit requests itself: it gives the
// order in which to try them. The most urgent priority goes first. Within a
// priority, requests that can still meet their latency target go before late
// ones, and the teams take turns. The zero value is an empty queue.
//
//	if retryAfter, ok := q.Enqueue(w, now); !ok { /* refuse the request */ }
//	w, ok := q.Peek(0, now) // try to dispatch w
//	q.RecordDispatch(w.Team, now)
//	q.Remove(w.Ticket)
type WaitQueue struct {
	waiting          []Waiter
	virtualStart     map[string]float64 // by team, for teams that wait or have waited
	virtualTime      float64            // the virtual start of the last dispatch
	dispatched       int                // dispatches in the current window
	dispatchedBefore int                // dispatches in the previous window
	windowStart      time.Time          // start of the current window
}

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int { return len(q.waiting) }

// Enqueue adds a request to the queue. If the queue is full, or the request is not
// expected to be dispatched by its LatestStart, Enqueue reports false and when to
// retry.
func (q *WaitQueue) Enqueue(w Waiter, now time.Time) (retryAfter time.Time, ok bool) {
	wait := q.expectedWait(w.Priority, now)
	if len(q.waiting) >= maxWaiting || now.Add(wait).After(w.LatestStart) {
		return now.Add(min(max(wait, minWaitRetryAfter), maxWaitRetryAfter)), false
	}
	if q.virtualStart == nil {
		q.virtualStart = make(map[string]float64)
	}
	q.virtualStart[w.Team] = max(q.virtualStart[w.Team], q.virtualTime)
	q.waiting = append(q.waiting, w)
	return time.Time{}, true
}

// RetryAfter returns when to retry a request that was not dispatched in time.
func (q *WaitQueue) RetryAfter(now time.Time) time.Time {
	return now.Add(min(max(q.expectedWait(0, now), minWaitRetryAfter), maxWaitRetryAfter))
}

// Peek returns the request at a position of the dispatch order, 0 for the first,
// and leaves it in the queue. Position 0 sorts the queue; the other positions use
// the order of the last such call.
func (q *WaitQueue) Peek(position int, now time.Time) (Waiter, bool) {
	if position >= len(q.waiting) {
		return Waiter{}, false
	}
	if position == 0 {
		slices.SortStableFunc(q.waiting, func(a, b Waiter) int { return q.compare(&a, &b, now) })
	}
	return q.waiting[position], true
}

// HasPredecessors reports whether any waiting request goes before a new one of
// that priority.
func (q *WaitQueue) HasPredecessors(priority int) bool {
	return slices.ContainsFunc(q.waiting, func(w Waiter) bool { return w.Priority <= priority })
}

// Remove removes a request from the queue.
func (q *WaitQueue) Remove(t Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w Waiter) bool { return w.Ticket == t })
	if len(q.waiting) == 0 {
		clear(q.virtualStart) // an empty queue has no shares to balance
	}
}

// RecordDispatch records that a request of the team was dispatched, whether it
// had waited or not.
func (q *WaitQueue) RecordDispatch(team string, now time.Time) {
	q.advanceWindow(now)
	q.dispatched++
	if start, ok := q.virtualStart[team]; ok {
		q.virtualTime = max(q.virtualTime, start)
		q.virtualStart[team] = start + 1
	}
}

// compare orders two waiting requests: by priority, then those on time before
// late ones, then by their teams' virtual start, then by arrival.
func (q *WaitQueue) compare(a, b *Waiter, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(lateRank(a, now), lateRank(b, now)),
		cmp.Compare(q.virtualStart[a.Team], q.virtualStart[b.Team]),
		a.Since.Compare(b.Since),
	)
}

// lateRank returns 1 for a request past its TargetStart and 0 otherwise.
func lateRank(w *Waiter, now time.Time) int {
	if now.After(w.TargetStart) {
		return 1
	}
	return 0
}

// expectedWait returns how long a request of that priority waits behind those
// that go before it, at the current dispatch rate. Without recent dispatches the
// wait is unknown and taken to be zero.
func (q *WaitQueue) expectedWait(priority int, now time.Time) time.Duration {
	q.advanceWindow(now)
	ahead := 0
	for i := range q.waiting {
		if q.waiting[i].Priority <= priority {
			ahead++
		}
	}
	elapsed := float64(now.Sub(q.windowStart)) / float64(rateWindow)
	perWindow := float64(q.dispatched) + (1-elapsed)*float64(q.dispatchedBefore)
	if perWindow < 1 {
		return 0
	}
	return time.Duration(float64(ahead) / perWindow * float64(rateWindow))
}

// advanceWindow starts a new window when the current one is over.
func (q *WaitQueue) advanceWindow(now time.Time) {
	elapsed := now.Sub(q.windowStart)
	if elapsed < rateWindow {
		return
	}
	q.dispatchedBefore = q.dispatched
	if elapsed >= 2*rateWindow {
		q.dispatchedBefore = 0
	}
	q.dispatched = 0
	q.windowStart = now
}
