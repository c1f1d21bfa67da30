// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// refreshers is the number of goroutines that read the kernel's clocks at the same time.
const refreshers = 32

// refresher reads the kernel's clocks until it is stopped.
type refresher struct{ stop chan struct{} }

func (r *refresher) run() {
	for {
		select {
		case <-r.stop:
			return
		default:
			Refresh()
		}
	}
}

// TestTimeBetweenTwoClockReadsIsNoSuspension reads the clocks from many goroutines, so that some wait
// for a processor between two reads.
func TestTimeBetweenTwoClockReadsIsNoSuspension(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	for range refreshers {
		go (&refresher{stop: stop}).run()
	}
	synctest.Test(t, func(t *testing.T) {
		for range 20_000 {
			before := Now()
			time.Sleep(400 * time.Millisecond)
			require.Equal(t, 400*time.Millisecond, Since(before))
		}
	})
	require.Zero(t, suspended.Load())
}

// simulatedClocks are the kernel's clocks of a process that waits for a processor before each read.
type simulatedClocks struct {
	monotonic, offset time.Duration
	waits             []time.Duration // before the next reads
}

func (s *simulatedClocks) read(id int32) (time.Duration, error) {
	if len(s.waits) > 0 {
		s.monotonic += s.waits[0]
		s.waits = s.waits[1:]
	}
	if id == unix.CLOCK_BOOTTIME {
		return s.monotonic + s.offset, nil
	}
	return s.monotonic, nil
}

// TestWaitForAProcessorIsNoSuspension draws waits before each read, and suspensions between readings.
func TestWaitForAProcessorIsNoSuspension(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))
		})
		clocks := &simulatedClocks{monotonic: time.Hour, offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))}
		clocks.waits = rapid.SliceOfN(wait, 3, 3).Draw(t, "waits at the start")
		startWait := clocks.waits[1] + clocks.waits[2]
		meter := newSuspensionMeter(clocks.read)
		var truth time.Duration
		for range rapid.IntRange(1, 10).Draw(t, "readings") {
			s := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "suspended")) * time.Duration(rapid.IntRange(0, 1).Draw(t, "any"))
			truth += s
			clocks.offset += s
			clocks.waits = rapid.SliceOfN(wait, 3, 3).Draw(t, "waits")
			readWait := clocks.waits[1] + clocks.waits[2]
			got := meter.total(clocks.read)
			require.LessOrEqual(t, got, truth, "no wait counts")
			require.GreaterOrEqual(t, got, truth-startWait-readWait, "all but the waits counts")
		}
	})
}
