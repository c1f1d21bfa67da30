// SPDX-License-Identifier: Apache-2.0

package scheduling

import (
	"log/slog"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
)

const (
	// interval is how often the loop of a Monitor wakes.
	interval = 100 * time.Millisecond
	// minLate is by how much a wake-up must be late to count. No timeout in pinerun is shorter.
	minLate = 150 * time.Millisecond
	// accountingInterval is how often the kernel's account is read, so that an account of a late
	// wake-up begins not long before it. A read opens a file for each thread.
	accountingInterval = 10 * time.Second
)

// Monitor measures how late its own loop wakes. Set the exported fields before Start. The zero value
// neither counts nor logs, and before Start it is never late.
type Monitor struct {
	Counters *metric.Set
	Logger   *slog.Logger

	done    lifecycle.Done
	last    atomic.Pointer[wakeUp] // nil before Start
	readAt  time.Time              // when account was read
	account account
}

// wakeUp is what is known since the loop last woke. It is replaced as a whole, so that no reader sees a
// late wake-up without its lateness.
type wakeUp struct {
	at        time.Time
	lateUntil time.Time     // when the loop last woke late, zero for never
	late      time.Duration // in all
}

// overdue returns by how much the next wake-up is late, 0 if that does not count.
func (w *wakeUp) overdue(now time.Time) time.Duration {
	if late := now.Sub(w.at) - interval; late > minLate {
		return late
	}
	return 0
}

// Start starts the loop.
func (m *Monitor) Start() {
	now := clock.Now()
	m.last.Store(&wakeUp{at: now})
	m.readAt, m.account = now, readAccount()
	go m.run()
}

// Close stops the loop.
func (m *Monitor) Close() { m.done.Close() }

// LateSince reports whether this process ran late at any moment since t, a time from clock.Now. It
// includes the present moment, since the caller may run before the loop does, and suspensions of the
// VM.
func (m *Monitor) LateSince(t time.Time) bool {
	last := m.last.Load()
	if last == nil || m.done.Closed() {
		return false
	}
	return last.overdue(clock.Now()) > 0 || !last.lateUntil.IsZero() && !last.lateUntil.Before(t)
}

// Late returns for how long this process was not run since Start, as far as its loop noticed. It
// includes the present moment.
func (m *Monitor) Late() time.Duration {
	last := m.last.Load()
	switch {
	case last == nil:
		return 0
	case m.done.Closed():
		return last.late
	}
	return last.late + last.overdue(clock.Now())
}

func (m *Monitor) run() {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.wake(clock.Now())
		case <-m.done.Done():
			return
		}
	}
}

// wake notes that the loop woke, and logs it if that was late.
func (m *Monitor) wake(now time.Time) {
	last := m.last.Load()
	next := &wakeUp{at: now, lateUntil: last.lateUntil, late: last.late}
	late := last.overdue(now)
	if late > 0 {
		next.lateUntil = now
		next.late += late
	}
	m.last.Store(next)
	if late > 0 {
		m.logLate(late, now)
	}
	if m.Counters != nil {
		m.Counters.RecordDuration(metric.LoopLate, max(0, now.Sub(last.at)-interval))
	}
	if now.Sub(m.readAt) >= accountingInterval {
		m.readAt, m.account = now, readAccount()
	}
}

// logLate logs a late wake-up with what the kernel accounted since the last reading.
func (m *Monitor) logLate(late time.Duration, now time.Time) {
	a := readAccount()
	event.EntryRanLate.Log(m.Logger, slog.Int64("late_ms", late.Milliseconds()),
		slog.Int64("over_ms", now.Sub(m.readAt).Milliseconds()),
		slog.Int64("waited_ms", (a.waited-m.account.waited).Milliseconds()),
		slog.Int64("ran_ms", (a.ran-m.account.ran).Milliseconds()))
	m.readAt, m.account = now, a
}
