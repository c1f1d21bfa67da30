// SPDX-License-Identifier: Apache-2.0

package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/admit"
)

// settle drives a limit with gaps that grow with the number of running requests
// and returns the limit at the end.
func settle(l *admit.Limit, gapPerRequest time.Duration, saturated bool) int {
	const goal = 40 * time.Millisecond
	now := start
	for range 20_000 {
		now = now.Add(10 * time.Millisecond)
		l.Observe(time.Duration(l.Capacity(200))*gapPerRequest, goal, saturated, now)
	}
	return l.Capacity(200)
}

func TestLimitConvergesToTargetGap(t *testing.T) {
	var l admit.Limit
	require.Equal(t, 200, l.Capacity(200), "the limit starts at the maximum")
	require.InDelta(t, 40, settle(&l, time.Millisecond, true), 6)
	require.InDelta(t, 80, settle(&l, time.Millisecond/2, true), 12, "a faster system runs more requests")
	require.InDelta(t, 20, settle(&l, 2*time.Millisecond, true), 4, "a slower system runs fewer requests")
	require.Equal(t, 200, settle(&l, time.Microsecond, true), "the limit never exceeds the maximum")
}

func TestLimitDoesNotGrowUnlessSaturated(t *testing.T) {
	var l admit.Limit
	l.Capacity(200)
	settle(&l, 2*time.Millisecond, true)
	low := l.Capacity(200)
	settle(&l, time.Millisecond, false)
	require.Equal(t, low, l.Capacity(200))
}
