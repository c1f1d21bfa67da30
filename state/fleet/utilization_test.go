// SPDX-License-Identifier: Apache-2.0

package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// newTestView returns the view of a model with ten layers: two runners hold the first half, one
// the rest.
func newTestView() *fleet.View {
	return fleet.NewView(nil, []protocol.Model{{Name: "m", Layers: 10}}, []protocol.Runner{
		{Name: "a", Model: "m", From: 0, To: 5, Speed: 1000, StepSeconds: 0.001, Capacity: 1000},
		{Name: "b", Model: "m", From: 0, To: 5, Speed: 1000, StepSeconds: 0.001, Capacity: 1000},
		{Name: "c", Model: "m", From: 5, To: 10, Speed: 1000, StepSeconds: 0.001, Capacity: 1500},
	}, fleet.Entry{Name: "e1"})
}

func TestCostGrowsWithUtilization(t *testing.T) {
	v, now := newTestView(), time.Unix(100, 0)
	r := v.Runner("a")
	_, empty := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, 10.0/1000+100*0.001, empty, 1e-9)
	r.Sent(250 * 5) // 250 tokens in five layers, a quarter of the capacity, for each of four entries
	_, full := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, 37*empty, full, 1e-9, "a full runner refuses requests, so a runner many times slower is preferred")
	r.Settled(125 * 5)
	_, half := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, (1+6.0/4+30.0/64)*empty, half, 1e-9, "half of the capacity adds little")
	r.Settled(125 * 5)
	_, again := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, empty, again, 1e-9)
}

func TestRefusalBackoffDoubles(t *testing.T) {
	r, now := newTestView().Runner("a"), time.Unix(100, 0)
	backoff := func() time.Duration { return r.EjectedUntil().Sub(now) }
	for _, want := range []time.Duration{150, 300, 600, 1200, 2400, 2400} {
		r.Refused(now)
		require.Equal(t, want*time.Millisecond, backoff())
		now = r.EjectedUntil()
		require.True(t, r.Usable(now))
	}
	r.Accepted()
	r.Refused(now)
	require.Equal(t, 150*time.Millisecond, backoff())
}

func TestMarkWorkingClearsSuspicion(t *testing.T) {
	r, now := newTestView().Runner("a"), time.Unix(100, 0)
	r.Suspect(now.Add(time.Second))
	require.False(t, r.Usable(now))
	r.MarkWorking()
	require.True(t, r.Usable(now))
	require.False(t, r.Lost(now))
	r.Failed(now)
	require.False(t, r.Lost(now), "one failure may have any cause")
	r.Failed(now)
	require.True(t, r.Lost(now))
	r.MarkWorking()
	require.False(t, r.Lost(now))
	require.True(t, r.Usable(now))
}

// TestLostRunnerIsExcludedUntilHeard checks that a message which was in flight when the loss was
// observed does not disprove the loss.
func TestLostRunnerIsExcludedUntilHeard(t *testing.T) {
	r, now := newTestView().Runner("a"), time.Unix(100, 0)
	r.MarkLost(now, now.Add(4*time.Second))
	require.True(t, r.Lost(now))
	require.False(t, r.Usable(now))
	r.MarkWorking()
	require.False(t, r.ClearLostIfHeard(now.Add(500*time.Millisecond)))
	require.False(t, r.Usable(now.Add(500*time.Millisecond)))
	require.True(t, r.ClearLostIfHeard(now.Add(1500*time.Millisecond)))
	require.True(t, r.Usable(now.Add(1500*time.Millisecond)))
	require.False(t, r.ClearLostIfHeard(now.Add(1600*time.Millisecond)), "it is no longer lost")
	r.MarkLost(now, now.Add(4*time.Second))
	require.True(t, r.Usable(now.Add(4*time.Second)), "the observations have expired")
	require.False(t, r.ClearLostIfHeard(now.Add(5*time.Second)), "it is no longer lost by then")
}

// utilization returns the runner's utilization without a further request.
func utilization(r *fleet.Runner, now time.Time) float64 { return r.Utilization(now, 0) }

func TestUtilizationAddsReportAndOwnRequests(t *testing.T) {
	r := newTestView().Runner("a") // 1,000 tokens in each of five layers
	now := time.Unix(100, 0)
	require.Zero(t, utilization(r, now), "no report and no open requests")
	r.Sent(1000)
	own := utilization(r, now)
	require.InDelta(t, 0.2, own, 0.03, "this entry's open requests")
	r.ReportUtilization(0.5, now)
	require.InDelta(t, 0.5, utilization(r, now), 1e-9, "the report includes the requests open then")
	r.Sent(1000)
	require.InDelta(t, 0.5+own, utilization(r, now), 1e-9)
	r.Settled(2000)
	require.InDelta(t, 0.5-own, utilization(r, now), 1e-9, "requests finished since have freed their capacity")
	require.InDelta(t, 0, utilization(r, now.Add(2*time.Second)), 1e-9, "an old report is ignored")
}

func TestRefusalForCapacityMeansFull(t *testing.T) {
	r := newTestView().Runner("a")
	now := time.Unix(100, 0)
	r.RefusedForCapacity(now)
	require.InDelta(t, 1, utilization(r, now), 1e-9)
	require.Zero(t, utilization(r, now.Add(300*time.Millisecond)))
}

func TestRunnerOfUnknownCapacityIsNeverFull(t *testing.T) {
	v := fleet.NewView(nil, []protocol.Model{{Name: "m", Layers: 1}}, []protocol.Runner{{Name: "p", Model: "m", To: 1, Speed: 1}}, fleet.Entry{Name: "e1"})
	r := v.Runner("p")
	r.Sent(1 << 20)
	r.RefusedForCapacity(time.Unix(100, 0))
	require.Zero(t, r.Utilization(time.Unix(100, 0), 1000))
}

// TestServedSentAtCountsNoMoreUrgentRequest has urgent requests overtake others, which says nothing
// about those that wait.
func TestServedSentAtCountsNoMoreUrgentRequest(t *testing.T) {
	r := fleet.NewRunner(protocol.Runner{Name: "r"}, "a")
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	r.Served(at(5), 4)
	r.Served(at(3), 4)
	r.Served(at(9), 0)
	r.Served(at(7), 100)
	require.Equal(t, at(9), r.ServedSentAt(0))
	require.Equal(t, at(7), r.ServedSentAt(4))
	require.Equal(t, at(7), r.ServedSentAt(9))
	require.True(t, fleet.NewRunner(protocol.Runner{Name: "other"}, "a").ServedSentAt(0).Before(at(1)))
}
