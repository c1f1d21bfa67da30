// SPDX-License-Identifier: Apache-2.0

package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestASlowRunnerCostsMoreUntilItIsFast, and is left out never.
func TestASlowRunnerCostsMoreUntilItIsFast(t *testing.T) {
	r, now := roomy().Runner("a"), time.Unix(100, 0)
	fixed, layer := r.RequestCost(now, 10, 100, 1)
	cost := r.Cost(now, 10)
	r.MarkSlow(12, now, now.Add(3*time.Second))
	slowFixed, slowLayer := r.RequestCost(now, 10, 100, 1)
	require.InDelta(t, 12*fixed, slowFixed, 1e-9)
	require.InDelta(t, 12*layer, slowLayer, 1e-9)
	require.InDelta(t, 12*cost, r.Cost(now, 10), 1e-9)
	require.True(t, r.Usable(now))
	require.False(t, r.Lost(now))
	require.Equal(t, now.UnixNano(), r.SlowSince(now.Add(time.Second)).UnixNano())

	_, lapsed := r.RequestCost(now.Add(3*time.Second), 10, 100, 1)
	require.InDelta(t, layer, lapsed, 1e-9, "news that nobody renews lapse")
	r.ClearSlow()
	_, again := r.RequestCost(now.Add(time.Second), 10, 100, 1)
	require.InDelta(t, layer, again, 1e-9)
	require.True(t, r.SlowSince(now.Add(time.Second)).IsZero())
}

// TestTheWordOfOthersIsNotMeasured: what was measured here stays what it is.
func TestTheWordOfOthersIsNotMeasured(t *testing.T) {
	r, now := roomy().Runner("a"), time.Unix(100, 0)
	r.MarkSlow(100, now, now.Add(3*time.Second))
	r.ObserveStep(time.Second, 1, now)
	r.ClearSlow()
	mean, _ := r.Slowdown(now)
	require.InDelta(t, 1, mean, 1e-9)
}
