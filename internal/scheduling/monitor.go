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

	done      lifecycle.Done
	awakeAt   atomic.Pointer[time.Time] // when the loop last woke
	lateUntil atomic.Pointer[time.Time] // when it last woke late
	lateTotal atomic.Int64              // nanoseconds
	readAt    time.Time                 // when account was read
	account   account
}

// Start starts the loop.
func (m *Monitor) Start() {
	now := clock.Now()
	m.awakeAt.Store(&now)
	m.readAt, m.account = now, readAccount()
	go m.run()
}

// Close stops the loop.
func (m *Monitor) Close() { m.done.Close() }

// LateSince reports whether this process ran late at any moment since t, a time from clock.Now. It
// includes the present moment, since the caller may run before the loop does, and suspensions of the
// VM.
func (m *Monitor) LateSince(t time.Time) bool {
	awakeAt := m.awakeAt.Load()
	if awakeAt == nil || m.done.Closed() {
		return false
	}
	if clock.Since(*awakeAt) > interval+minLate {
		return true
	}
	lateUntil := m.lateUntil.Load()
	return lateUntil != nil && !lateUntil.Before(t)
}

// Late returns for how long this process was not run since Start, as far as its loop noticed. It
// includes the present moment.
func (m *Monitor) Late() time.Duration {
	total := time.Duration(m.lateTotal.Load())
	if awakeAt := m.awakeAt.Load(); awakeAt != nil && !m.done.Closed() {
		if late := clock.Since(*awakeAt) - interval; late > minLate {
			total += late
		}
	}
	return total
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
	late := max(0, now.Sub(*m.awakeAt.Load())-interval)
	m.awakeAt.Store(&now) // first, so that Late never counts this time twice
	if late > minLate {
		m.lateUntil.Store(&now)
		m.lateTotal.Add(int64(late))
		m.logLate(late, now)
	}
	if m.Counters != nil {
		m.Counters.RecordDuration(metric.LoopLate, late)
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
