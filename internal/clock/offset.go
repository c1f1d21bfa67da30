// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// offsetBounds are bounds on the boot time offset: how much longer the machine has been up than its
// monotonic clock says. Two clocks can't be read at the same moment, and the process may wait for a
// processor between two reads, so a single difference is not exact.
type offsetBounds struct {
	low, high time.Duration
}

// clockReader reads one of the kernel's clocks.
type clockReader func(id int32) (time.Duration, error)

// readOffset reads the boot clock between two reads of the monotonic clock. On a system without
// these clocks the offset is always zero, so suspensions can't be detected.
func readOffset(read clockReader) offsetBounds {
	before, errBefore := read(unix.CLOCK_MONOTONIC)
	boot, errBoot := read(unix.CLOCK_BOOTTIME)
	after, errAfter := read(unix.CLOCK_MONOTONIC)
	if errBefore != nil || errBoot != nil || errAfter != nil {
		return offsetBounds{}
	}
	return offsetBounds{low: boot - after, high: boot - before}
}

// suspensionMeter measures the time suspended since its first reading.
type suspensionMeter struct {
	// startHigh is the upper bound on the offset at the first reading, in nanoseconds. The offset
	// never decreases, so an upper bound from a later reading holds for the first one too.
	startHigh atomic.Int64
}

// newSuspensionMeter returns a meter that counts from now on.
func newSuspensionMeter(read clockReader) *suspensionMeter {
	var m suspensionMeter
	m.startHigh.Store(int64(readOffset(read).high))
	return &m
}

// total returns the least time that was certainly suspended since the first reading. Time that
// passed between two reads of clocks is not part of it.
func (m *suspensionMeter) total(read clockReader) time.Duration {
	now := readOffset(read)
	for {
		startHigh := m.startHigh.Load()
		if int64(now.high) >= startHigh || m.startHigh.CompareAndSwap(startHigh, int64(now.high)) {
			return max(0, now.low-time.Duration(min(startHigh, int64(now.high))))
		}
	}
}

func readKernelClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
