// SPDX-License-Identifier: Apache-2.0

package admit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lineMost bounds how many requests wait in a line. A data center of forty engines
	// begins some forty requests a second, so more than this can't all be begun before
	// their callers leave.
	lineMost = 256
	// rateWindow is the time over which the rate of beginnings is counted: long enough
	// for a few dozen requests, short enough to follow a loss within a second.
	rateWindow = 500 * time.Millisecond
	// leastAgain and mostAgain bound when a request refused here is asked to come back.
	// Room comes back within a second when engines are merely full, and within about
	// three when layers have to be loaded.
	leastAgain = 300 * time.Millisecond
	mostAgain  = 3 * time.Second
)

// Waiter is a request that waits for room at engines. OnTimeTill is until when it can
// begin and still have its first event in time; HopeTill until when beginning is of any
// use, because its caller leaves after that.
type Waiter struct {
	Ticket      Ticket
	Team        string
	Priority    int // 0 is the most urgent
	Since       time.Time
	TargetStart time.Time
	LatestStart time.Time
}

// WaitQueue is the requests of one service that wait for room at its engines. How much room
// there is is not a number of requests but depends on each request's size and path, so
// the line doesn't admit: it says whose turn it is. The most urgent priority goes first;
// within it those that can still be on time, by the turn of their teams, and then those
// that are late. The zero value is empty.
//
//	if again, ok := line.Join(w, now); !ok { /* refuse, come back at again */ }
//	w, ok := line.Turn(0, now) // try to begin it
//	line.Begun(w, now)
//	line.Leave(w.Ticket)
type WaitQueue struct {
	waiting []Waiter
	begun   map[string]float64 // of each team that waits or waited, its place in turns
	clock   float64            // the place in turns of the last beginning
	count   int                // beginnings in the present window
	before  int                // beginnings in the window before it
	window  time.Time          // begin of the present window
}

// Len returns how many requests wait.
func (l *WaitQueue) Len() int { return len(l.waiting) }

// Enqueue lets a request wait. If it can't hope to begin in time, it reports false and
// from when to come back.
func (l *WaitQueue) Enqueue(w Waiter, now time.Time) (again time.Time, ok bool) {
	wait := l.expected(w.Priority, now)
	if len(l.waiting) >= lineMost || now.Add(wait).After(w.LatestStart) {
		return now.Add(min(max(wait, leastAgain), mostAgain)), false
	}
	if l.begun == nil {
		l.begun = make(map[string]float64)
	}
	l.begun[w.Team] = max(l.begun[w.Team], l.clock)
	l.waiting = append(l.waiting, w)
	return time.Time{}, true
}

// RetryAfter returns from when it is worth to come back for a request that waited in vain.
func (l *WaitQueue) RetryAfter(now time.Time) time.Time {
	return now.Add(min(max(l.expected(0, now), leastAgain), mostAgain))
}

// Peek returns the request that goes after so many others.
func (l *WaitQueue) Peek(after int, now time.Time) (Waiter, bool) {
	if after >= len(l.waiting) {
		return Waiter{}, false
	}
	if after == 0 {
		slices.SortStableFunc(l.waiting, func(a, b Waiter) int { return l.compare(&a, &b, now) })
	}
	return l.waiting[after], true
}

// HasPredecessors reports whether requests wait that go before one of that priority.
func (l *WaitQueue) HasPredecessors(priority int) bool {
	return slices.ContainsFunc(l.waiting, func(w Waiter) bool { return w.Priority <= priority })
}

// Remove takes a request out of the line.
func (l *WaitQueue) Remove(t Ticket) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w Waiter) bool { return w.Ticket == t })
	if len(l.waiting) == 0 {
		clear(l.begun) // without anybody waiting nobody's turn was taken
	}
}

// RecordDispatch notes that a request of a team began, whether it had waited or not.
func (l *WaitQueue) RecordDispatch(team string, now time.Time) {
	l.roll(now)
	l.count++
	if turn, ok := l.begun[team]; ok {
		l.clock = max(l.clock, turn)
		l.begun[team] = turn + 1
	}
}

func (l *WaitQueue) compare(a, b *Waiter, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(late(a, now), late(b, now)),
		cmp.Compare(l.begun[a.Team], l.begun[b.Team]),
		a.Since.Compare(b.Since),
	)
}

func late(w *Waiter, now time.Time) int {
	if now.After(w.TargetStart) {
		return 1
	}
	return 0
}

// expected returns how long a request of that priority would wait behind those that go
// before it, at the rate of the last beginnings. When nothing begins, it is not known
// and taken to be nothing.
func (l *WaitQueue) expected(priority int, now time.Time) time.Duration {
	l.roll(now)
	ahead := 0
	for i := range l.waiting {
		if l.waiting[i].Priority <= priority {
			ahead++
		}
	}
	part := float64(now.Sub(l.window)) / float64(rateWindow)
	perWindow := float64(l.count) + (1-part)*float64(l.before)
	if perWindow < 1 {
		return 0
	}
	return time.Duration(float64(ahead) / perWindow * float64(rateWindow))
}

// roll begins a new window when the present one is over.
func (l *WaitQueue) roll(now time.Time) {
	passed := now.Sub(l.window)
	if passed < rateWindow {
		return
	}
	l.before = l.count
	if passed >= 2*rateWindow {
		l.before = 0
	}
	l.count = 0
	l.window = now
}
