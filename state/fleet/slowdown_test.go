// SPDX-License-Identifier: Apache-2.0

package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowRunnerCostsMoreUntilCleared checks that a slow runner costs more, but stays usable.
func TestSlowRunnerCostsMoreUntilCleared(t *testing.T) {
	r, now := newTestView().Runner("a"), time.Unix(100, 0)
	fixed, perLayer := r.RequestCost(now, 10, 100, 1)
	cost := r.Cost(now, 10)
	r.MarkSlow(12, now, now.Add(3*time.Second))
	slowFixed, slowPerLayer := r.RequestCost(now, 10, 100, 1)
	require.InDelta(t, 12*fixed, slowFixed, 1e-9)
	require.InDelta(t, 12*perLayer, slowPerLayer, 1e-9)
	require.InDelta(t, 12*cost, r.Cost(now, 10), 1e-9)
	require.True(t, r.Usable(now))
	require.False(t, r.Lost(now))
	require.Equal(t, now.UnixNano(), r.SlowSince(now.Add(time.Second)).UnixNano())

	_, expired := r.RequestCost(now.Add(3*time.Second), 10, 100, 1)
	require.InDelta(t, perLayer, expired, 1e-9, "a report that is not renewed expires")
	r.ClearSlow()
	_, cleared := r.RequestCost(now.Add(time.Second), 10, 100, 1)
	require.InDelta(t, perLayer, cleared, 1e-9)
	require.True(t, r.SlowSince(now.Add(time.Second)).IsZero())
}

// TestReportedSlowdownIsNotMeasured checks that a reported slowdown leaves the entry's own
// measurements alone.
func TestReportedSlowdownIsNotMeasured(t *testing.T) {
	r, now := newTestView().Runner("a"), time.Unix(100, 0)
	r.MarkSlow(100, now, now.Add(3*time.Second))
	r.ObserveStep(time.Second, 1, now)
	r.ClearSlow()
	mean, _ := r.Slowdown(now)
	require.InDelta(t, 1, mean, 1e-9)
}
