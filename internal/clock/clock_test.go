// SPDX-License-Identifier: Apache-2.0

package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/clock"
)

// TestNowIncludesSuspendedTime simulates suspensions: the monotonic clock does not include them,
// Now does.
func TestNowIncludesSuspendedTime(t *testing.T) {
	began, now := time.Now(), clock.Now()
	deadline := now.Add(10 * time.Second)
	suspended := clock.Suspended()
	defer clock.SimulateSuspension(4 * time.Second)()
	defer clock.SimulateSuspension(5 * time.Second)()
	require.GreaterOrEqual(t, clock.Suspended()-suspended, 9*time.Second)
	require.Less(t, time.Since(began), 5*time.Second)
	require.GreaterOrEqual(t, clock.Since(now), 9*time.Second)
	require.LessOrEqual(t, clock.Until(deadline), time.Second)
	require.LessOrEqual(t, time.Until(clock.TimerDeadline(deadline)), time.Second, "a timer fires at the deadline")
	require.True(t, clock.TimerDeadline(time.Time{}).IsZero())
	clock.Refresh() // the kernel does not know the simulated suspension
	require.GreaterOrEqual(t, clock.Since(now), 9*time.Second, "the clock never goes back")
}

// TestNowFollowsSynctestTime checks that tests in virtual time can use this clock.
func TestNowFollowsSynctestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clock.Now()
		time.Sleep(time.Hour)
		require.Equal(t, time.Hour, clock.Since(before))
	})
}

func BenchmarkNow(b *testing.B) {
	for range b.N {
		clock.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for range b.N {
		_ = time.Now()
	}
}

func BenchmarkRefresh(b *testing.B) {
	for range b.N {
		clock.Refresh()
	}
}
