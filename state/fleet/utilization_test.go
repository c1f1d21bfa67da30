// SPDX-License-Identifier: Apache-2.0

package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// roomy is a model of ten layers: two runners hold the first half, one the rest.
func roomy() *fleet.View {
	return fleet.NewView(nil, []protocol.Model{{Name: "m", Layers: 10}}, []protocol.Runner{
		{Name: "a", Model: "m", From: 0, To: 5, Speed: 1000, Step: 0.001, Room: 1000},
		{Name: "b", Model: "m", From: 0, To: 5, Speed: 1000, Step: 0.001, Room: 1000},
		{Name: "c", Model: "m", From: 5, To: 10, Speed: 1000, Step: 0.001, Room: 1500},
	}, fleet.Entry{Name: "e1"})
}

func TestACrowdedRunnerCostsMore(t *testing.T) {
	v, now := roomy(), time.Unix(100, 0)
	r := v.Runner("a")
	_, empty := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, 10.0/1000+100*0.001, empty, 1e-9)
	r.Sent(250 * 5) // 250 tokens through five layers, a quarter of the room for each of four
	_, full := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, 37*empty, full, 1e-9, "a full runner refuses: rather one that is many times slower")
	r.Settled(125 * 5)
	_, half := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, (1+6.0/4+30.0/64)*empty, half, 1e-9, "half of the room is hardly crowded")
	r.Settled(125 * 5)
	_, again := r.RequestCost(now, 10, 100, 4)
	require.InDelta(t, empty, again, 1e-9)
}

func TestRefusalsRestLongerEachTime(t *testing.T) {
	r, now := roomy().Runner("a"), time.Unix(100, 0)
	rest := func() time.Duration { return r.EjectedUntil().Sub(now) }
	for _, want := range []time.Duration{150, 300, 600, 1200, 2400, 2400} {
		r.Refused(now)
		require.Equal(t, want*time.Millisecond, rest())
		now = r.EjectedUntil()
		require.True(t, r.Usable(now))
	}
	r.Accepted()
	r.Refused(now)
	require.Equal(t, 150*time.Millisecond, rest())
}

func TestASuspectIsClearedByASignOfWork(t *testing.T) {
	r, now := roomy().Runner("a"), time.Unix(100, 0)
	r.Suspect(now.Add(time.Second))
	require.False(t, r.Usable(now))
	r.MarkWorking()
	require.True(t, r.Usable(now))
	require.False(t, r.Lost(now))
	r.Failed(now)
	require.False(t, r.Lost(now), "one failure may be anything")
	r.Failed(now)
	require.True(t, r.Lost(now))
	r.MarkWorking()
	require.False(t, r.Lost(now))
	require.True(t, r.Usable(now))
}

// TestWhatOthersFoundLostIsLeftOutUntilItIsHeard: what was under way when the sign was met
// disproves nothing.
func TestWhatOthersFoundLostIsLeftOutUntilItIsHeard(t *testing.T) {
	r, now := roomy().Runner("a"), time.Unix(100, 0)
	r.MarkLost(now, now.Add(4*time.Second))
	require.True(t, r.Lost(now))
	require.False(t, r.Usable(now))
	r.MarkWorking()
	require.False(t, r.ClearLostIfHeard(now.Add(500*time.Millisecond)))
	require.False(t, r.Usable(now.Add(500*time.Millisecond)))
	require.True(t, r.ClearLostIfHeard(now.Add(1500*time.Millisecond)))
	require.True(t, r.Usable(now.Add(1500*time.Millisecond)))
	require.False(t, r.ClearLostIfHeard(now.Add(1600*time.Millisecond)), "that is known")
	r.MarkLost(now, now.Add(4*time.Second))
	require.True(t, r.Usable(now.Add(4*time.Second)), "the signs count no longer")
	require.False(t, r.ClearLostIfHeard(now.Add(5*time.Second)), "nobody takes it as lost any more")
}

// fillOf returns which part of a runner's room is taken.
func fillOf(r *fleet.Runner, now time.Time) float64 { return r.Utilization(now, 0) }

func TestWhatIsReportedAndWhatWasSentSinceCountTogether(t *testing.T) {
	r := roomy().Runner("a") // 1,000 tokens in each of five layers
	now := time.Unix(100, 0)
	require.Zero(t, fillOf(r, now), "nothing is known and nothing is open")
	r.Sent(1000)
	own := fillOf(r, now)
	require.InDelta(t, 0.2, own, 0.03, "what this entry has open")
	r.ReportUtilization(0.5, now)
	require.InDelta(t, 0.5, fillOf(r, now), 1e-9, "the report counts what was open then")
	r.Sent(1000)
	require.InDelta(t, 0.5+own, fillOf(r, now), 1e-9)
	r.Settled(2000)
	require.InDelta(t, 0.5-own, fillOf(r, now), 1e-9, "what has ended since has left its room")
	require.InDelta(t, 0, fillOf(r, now.Add(2*time.Second)), 1e-9, "an old report counts for nothing")
}

func TestARefusalForRoomTellsThatARunnerIsFull(t *testing.T) {
	r := roomy().Runner("a")
	now := time.Unix(100, 0)
	r.RefusedForCapacity(now)
	require.InDelta(t, 1, fillOf(r, now), 1e-9)
	require.Zero(t, fillOf(r, now.Add(300*time.Millisecond)))
}

func TestARunnerOfUnknownRoomIsNeverFull(t *testing.T) {
	v := fleet.NewView(nil, []protocol.Model{{Name: "m", Layers: 1}}, []protocol.Runner{{Name: "p", Model: "m", To: 1, Speed: 1}}, fleet.Entry{Name: "e1"})
	r := v.Runner("p")
	r.Sent(1 << 20)
	r.RefusedForCapacity(time.Unix(100, 0))
	require.Zero(t, r.Utilization(time.Unix(100, 0), 1000))
}
