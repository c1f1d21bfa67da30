// SPDX-License-Identifier: Apache-2.0

package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/admit"
)

// settle runs a limit against a system whose gap grows with what runs at once,
// and returns where it ends.
func settle(l *admit.Limit, gapPerRequest time.Duration, full bool) int {
	const goal = 40 * time.Millisecond
	now := start
	for range 20_000 {
		now = now.Add(10 * time.Millisecond)
		l.Observe(time.Duration(l.Capacity(200))*gapPerRequest, goal, full, now)
	}
	return l.Capacity(200)
}

func TestTheLimitFindsTheGoalAndFollowsIt(t *testing.T) {
	var l admit.Limit
	require.Equal(t, 200, l.Capacity(200), "it starts at the maximum")
	require.InDelta(t, 40, settle(&l, time.Millisecond, true), 6)
	require.InDelta(t, 80, settle(&l, time.Millisecond/2, true), 12, "a faster system takes more")
	require.InDelta(t, 20, settle(&l, 2*time.Millisecond, true), 4, "a slower one less")
	require.Equal(t, 200, settle(&l, time.Microsecond, true), "never above the maximum")
}

func TestTheLimitDoesNotGrowWhileNothingWaits(t *testing.T) {
	var l admit.Limit
	l.Capacity(200)
	settle(&l, 2*time.Millisecond, true)
	low := l.Capacity(200)
	settle(&l, time.Millisecond, false)
	require.Equal(t, low, l.Capacity(200))
}
