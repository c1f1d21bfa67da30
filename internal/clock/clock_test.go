// SPDX-License-Identifier: Apache-2.0

package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/clock"
)

// TestASuspensionCounts suspends the machine, as far as a test can: the steady clock leaves it
// out, Now does not.
func TestASuspensionCounts(t *testing.T) {
	steady, set := time.Now(), clock.Now()
	till := set.Add(10 * time.Second)
	slept := clock.Suspended()
	defer clock.SimulateSuspension(4 * time.Second)()
	defer clock.SimulateSuspension(5 * time.Second)()
	require.GreaterOrEqual(t, clock.Suspended()-slept, 9*time.Second)
	require.Less(t, time.Since(steady), 5*time.Second)
	require.GreaterOrEqual(t, clock.Since(set), 9*time.Second)
	require.LessOrEqual(t, clock.Until(till), time.Second)
	require.LessOrEqual(t, time.Until(clock.TimerDeadline(till)), time.Second, "a timer fires when the time is over")
	require.True(t, clock.TimerDeadline(time.Time{}).IsZero())
	clock.Refresh() // the kernel knows nothing of it
	require.GreaterOrEqual(t, clock.Since(set), 9*time.Second, "it never steps back")
}

// TestItIsTheTimeOfVirtualTests: tests that play in virtual time do so with this clock too.
func TestItIsTheTimeOfVirtualTests(t *testing.T) {
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

func BenchmarkSteadyNow(b *testing.B) {
	for range b.N {
		_ = time.Now()
	}
}

func BenchmarkLook(b *testing.B) {
	for range b.N {
		clock.Refresh()
	}
}
