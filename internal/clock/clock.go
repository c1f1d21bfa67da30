// SPDX-License-Identifier: Apache-2.0

// Package clock tells a time that goes on while the VM is suspended.
//
// The steady clock behind time.Now stands still then, so that a lease, a key or a confirmation
// looks as fresh after the VM wakes as before, whatever happened meanwhile; the time of day goes
// on, and jumps. Now counts what the steady clock left out, and is as steady otherwise. What is compared with it
// has to come from it too:
//
//	lease.Till(clock.Now())
//	timer.Reset(clock.Until(deadline))
//	conn.SetDeadline(clock.Timer(deadline))
//
// Timers and tickers stand still as well and fire late: who must act at once looks whether Slept
// has grown.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftLeast is by how much the time of day must have moved against the steady clock for the
	// kernel to be asked whether the VM was suspended: more than a correction of the time
	// of day between two looks, less than a suspension that matters.
	driftLeast = 5 * time.Millisecond
	// sleptLeast is the shortest suspension that Slept tells of: the least time by which
	// anything here lapses.
	sleptLeast = 50 * time.Millisecond
)

var (
	start   = time.Now()
	startBy = startGap() // what the steady clock had left out by then
	left    atomic.Int64 // what it has left out since, in nanoseconds
	drift   atomic.Int64 // of the time of day against the steady clock, when left was read
)

// Now returns the time by which deadlines are set and judged. Its time of day is not exact after
// a suspension; what is written for others to read takes time.Now.
func Now() time.Time {
	now := time.Now()
	moved := int64(now.Round(0).Sub(start.Round(0)) - now.Sub(start))
	if before := drift.Load(); moved-before > int64(driftLeast) || before-moved > int64(driftLeast) {
		drift.Store(moved)
		Refresh()
	}
	return now.Add(time.Duration(left.Load()))
}

// Since returns how long ago a time of Now was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how far ahead a time of Now is.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TimerDeadline returns the time for which the runtime's timers have to be set to fire at a time of
// Now: deadlines of connections and contexts. The zero time stays zero.
func TimerDeadline(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-time.Duration(left.Load()))
}

// Suspended returns how long the VM was suspended since the process began, as far as is known, without
// what is too short to matter.
func Suspended() time.Duration { return time.Duration(left.Load()).Truncate(sleptLeast) }

// Refresh asks the kernel how long the VM was suspended. Now does so by itself where the
// time of day moved; a VM whose time of day is kept by hand needs to be asked.
func Refresh() { note(int64(gap() - startBy)) }

// note takes it that the steady clock has left so much out. What it knows never shrinks.
func note(out int64) {
	for {
		before := left.Load()
		if out <= before || left.CompareAndSwap(before, out) {
			return
		}
	}
}

// SimulateSuspension makes Now as it is after a suspension of that length, for tests, which can't suspend
// the machine. Several add up. The returned function takes it back, once nothing is left that
// saw it.
func SimulateSuspension(d time.Duration) (forget func()) {
	before := left.Load()
	note(before + int64(d))
	return func() { left.Store(before) }
}

// startReads is how often the kernel is asked at the start: a process that has to wait for the
// processor between two clocks finds too little, and the rest would look like a suspension later.
const startReads = 5

// startGap returns gap at the start, as exactly as can be.
func startGap() time.Duration {
	most := gap()
	for range startReads - 1 {
		most = max(most, gap())
	}
	return most
}

// gap returns how much longer the machine has been up than its steady clock says. It is read
// between two clocks and a little too short, so that it never runs ahead.
func gap() time.Duration {
	boot, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0 // no such clock: suspensions can't be told
	}
	steady, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	return boot - steady
}

func read(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
