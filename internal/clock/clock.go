// SPDX-License-Identifier: Apache-2.0

// Package clock provides a monotonic time that advances while the VM is suspended.
//
// The monotonic clock behind time.Now stops during a suspension, so a lease, a key or a
// confirmation would look as fresh after it as before. The wall clock advances, but it jumps.
// Now adds the suspended time to the monotonic clock and is otherwise as steady. Only compare
// its times with times from this package:
//
//	lease.Next(clock.Now())
//	timer.Reset(clock.Until(deadline))
//	conn.SetDeadline(clock.TimerDeadline(deadline))
//
// Timers and tickers stop during a suspension too and fire late. Code that must react at once
// checks whether Suspended has increased.
package clock

import (
	"sync/atomic"
	"time"
)

const (
	// minDrift is by how much the wall clock must have moved against the monotonic clock
	// before the kernel is asked whether the VM was suspended. It is more than a wall clock
	// correction between two calls of Now, and less than a suspension that matters.
	minDrift = 5 * time.Millisecond
	// suspensionUnit is the resolution of Suspended: the shortest duration after which
	// anything in pinerun expires.
	suspensionUnit = 50 * time.Millisecond
)

var (
	start     = time.Now()
	meter     = newSuspensionMeter(readKernelClock)
	suspended atomic.Int64 // time suspended since the start, in nanoseconds
	drift     atomic.Int64 // of the wall clock against the monotonic clock when suspended was read
)

// Now returns the time for setting and checking deadlines. Its wall clock reading is inexact
// after a suspension; use time.Now for times that are written for others to read.
func Now() time.Time {
	now := time.Now()
	moved := int64(now.Round(0).Sub(start.Round(0)) - now.Sub(start))
	if before := drift.Load(); moved-before > int64(minDrift) || before-moved > int64(minDrift) {
		drift.Store(moved)
		Refresh()
	}
	return now.Add(time.Duration(suspended.Load()))
}

// Since returns the time elapsed since t, a time from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TimerDeadline returns the time to set a runtime timer to, such as the deadline of a
// connection or context, so that it fires at t, a time from Now. It returns the zero time
// unchanged.
func TimerDeadline(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-time.Duration(suspended.Load()))
}

// Suspended returns how long the VM was suspended since the process started, as far as known.
// It omits durations that are too short to matter.
func Suspended() time.Duration { return time.Duration(suspended.Load()).Truncate(suspensionUnit) }

// Refresh asks the kernel how long the VM was suspended. Now calls it when the wall clock has
// moved; call it explicitly on a VM whose wall clock is set manually.
func Refresh() { raiseSuspended(int64(meter.total(readKernelClock))) }

// raiseSuspended records the total suspended time. The recorded value never decreases.
func raiseSuspended(total int64) {
	for {
		before := suspended.Load()
		if total <= before || suspended.CompareAndSwap(before, total) {
			return
		}
	}
}

// SimulateSuspension changes Now as a suspension of that length would, for tests, which can't
// suspend the machine. Several simulated suspensions add up. The returned function undoes it;
// call it when nothing that used the changed time remains.
func SimulateSuspension(d time.Duration) (undo func()) {
	before := suspended.Load()
	raiseSuspended(before + int64(d))
	return func() { suspended.Store(before) }
}
