// SPDX-License-Identifier: Apache-2.0

package slow_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/protocol"
)

var startTime = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// reporter makes reports about one endpoint, each with the next number of its observer.
type reporter struct{ numbers map[string]uint64 }

func (r *reporter) report(observer string, observation protocol.SlownessObservation, incarnation protocol.Incarnation, slowdown float64, ms int) slow.Report {
	if r.numbers == nil {
		r.numbers = map[string]uint64{}
	}
	r.numbers[observer]++
	return slow.NewReport(protocol.SlownessReport{
		Endpoint: "e", Observer: observer, Number: r.numbers[observer], Observation: observation, Incarnation: incarnation, Slowdown: slowdown,
	}, at(ms))
}

func (r *reporter) reported(slowdown float64, ms int) slow.Report {
	return r.report("a", protocol.SlowReported, 0, slowdown, ms)
}

func (r *reporter) measured(slowdown float64, ms int) slow.Report {
	return r.report("a", protocol.SlowMeasured, 0, slowdown, ms)
}

// TestReportedSlowdown applies a sequence of slowdowns that an endpoint reports.
func TestReportedSlowdown(t *testing.T) {
	for _, c := range []struct {
		name      string
		slowdowns []float64 // one every 600 ms
		want      []slow.Change
	}{
		{"slow at once", []float64{12}, []slow.Change{slow.Slow{}}},
		{"normal", []float64{1, 1.4, 0}, []slow.Change{slow.NoChange{}, slow.NoChange{}, slow.NoChange{}}},
		{"no change between the thresholds", []float64{2, 1.35, 1.45}, []slow.Change{slow.Slow{}, slow.NoChange{}, slow.Slow{}}},
		{"renewed only when old", []float64{12, 12, 12}, []slow.Change{slow.Slow{}, slow.NoChange{}, slow.Slow{}}},
		{"larger slowdown", []float64{2, 12}, []slow.Change{slow.Slow{}, slow.Slow{}}},
		{"recovered after the least time", []float64{12, 1, 1, 1}, []slow.Change{slow.Slow{}, slow.NoChange{}, slow.Recovered{}, slow.NoChange{}}},
		{"invalid slowdown", []float64{math.NaN(), -3}, []slow.Change{slow.NoChange{}, slow.NoChange{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker slow.Tracker
			var r reporter
			for i, slowdown := range c.slowdowns {
				require.IsType(t, c.want[i], tracker.Apply(r.reported(slowdown, 600*i), at(600*i)), "%d", i)
			}
		})
	}
}

// TestOneLateResponseOnlySuspects: the response may be lost. A second late response, at any entry,
// makes the endpoint slow.
func TestOneLateResponseOnlySuspects(t *testing.T) {
	var tracker slow.Tracker
	var r reporter
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.measured(2.9, 0), at(0)))
	require.Equal(t, slow.Suspected{}, tracker.Apply(r.measured(4, 10), at(10)))
	change := tracker.Apply(r.report("b", protocol.SlowMeasured, 0, 5, 200), at(210))
	found, ok := change.(slow.Slow)
	require.True(t, ok)
	require.InDelta(t, 5, found.Slowdown(), 1e-9)
	require.Equal(t, at(200), found.Since())
	require.Equal(t, at(200).Add(slow.ReportTTL), found.Until())
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.measured(1, 600), at(600)), "within the least time")
	require.Equal(t, slow.Recovered{}, tracker.Apply(r.measured(1, 1300), at(1300)))
}

func TestTimelyResponseClearsSuspicion(t *testing.T) {
	var tracker slow.Tracker
	var r reporter
	require.Equal(t, slow.Suspected{}, tracker.Apply(r.measured(4, 0), at(0)))
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.measured(2, 30), at(30)), "neither slow nor normal")
	require.Equal(t, slow.Recovered{}, tracker.Apply(r.measured(1, 50), at(50)), "the report is passed on")
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.measured(1, 60), at(60)))
	require.Equal(t, slow.Suspected{}, tracker.Apply(r.measured(4, 100), at(100)))
}

// TestPendingResponseGivesLowerBound: a pending response does not lower a slowdown that a response
// has shown.
func TestPendingResponseGivesLowerBound(t *testing.T) {
	var tracker slow.Tracker
	var r reporter
	tracker.Apply(r.measured(3, 0), at(0))
	require.InDelta(t, 3, tracker.Apply(r.measured(3, 100), at(100)).(slow.Slow).Slowdown(), 1e-9)
	require.InDelta(t, 12, tracker.Apply(r.measured(12, 360), at(360)).(slow.Slow).Slowdown(), 1e-9)
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.measured(3, 400), at(400)))
	require.InDelta(t, 12, tracker.Apply(r.measured(3, 1500), at(1500)).(slow.Slow).Slowdown(), 1e-9, "renewed")
}

func TestNewIncarnationStartsNormal(t *testing.T) {
	var tracker slow.Tracker
	var r reporter
	require.IsType(t, slow.Slow{}, tracker.Apply(r.report("a", protocol.SlowReported, 1000, 12, 0), at(0)))
	require.Equal(t, slow.Recovered{}, tracker.Apply(r.report("a", protocol.SlowReported, 2000, 1, 100), at(100)), "at once")
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.report("b", protocol.SlowReported, 1000, 12, 120), at(120)), "of the earlier incarnation")
	require.IsType(t, slow.Slow{}, tracker.Apply(r.report("b", protocol.SlowReported, 2000, 12, 200), at(200)))
}

func TestDuplicateAndLateReportsAreIgnored(t *testing.T) {
	var tracker slow.Tracker
	var r reporter
	first := r.reported(12, 0)
	require.IsType(t, slow.Slow{}, tracker.Apply(first, at(0)))
	require.Equal(t, slow.NoChange{}, tracker.Apply(first, at(1500)))
	require.Equal(t, slow.Recovered{}, tracker.Apply(r.reported(1, 1600), at(1600)))
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.report("b", protocol.SlowReported, 0, 12, 1200), at(1650)), "observed before the recovery")
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.reported(12, 1700), at(1700).Add(slow.ReportTTL)), "too old")
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.reported(12, 9000), at(1700)), "of the future")
}

func TestSlownessExpiresWithoutRenewal(t *testing.T) {
	var tracker slow.Tracker
	var r reporter
	require.IsType(t, slow.Slow{}, tracker.Apply(r.reported(12, 0), at(0)))
	later := int(slow.ReportTTL/time.Millisecond) + 1
	require.Equal(t, slow.NoChange{}, tracker.Apply(r.reported(1, later), at(later)), "it has expired")
	require.IsType(t, slow.Slow{}, tracker.Apply(r.reported(12, later+1), at(later+1)))
}

// TestSlownessLastsAtLeastMinimum applies random reports of several observers. An endpoint stays
// slow for at least a second within one incarnation, so entries stop and resume using it at most
// once a second. An endpoint becomes slow only by a report that shows it.
func TestSlownessLastsAtLeastMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker slow.Tracker
		var r reporter
		now := 0
		slowSince, isSlow := -1, false
		var slowUntil time.Time
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now += rapid.IntRange(0, 700).Draw(t, "later")
			age := rapid.IntRange(0, 300).Draw(t, "age")
			slowdown := rapid.SampledFrom([]float64{0.9, 1.1, 1.3, 1.6, 2.9, 3.5, 12, 900}).Draw(t, "slowdown")
			observation := rapid.SampledFrom([]protocol.SlownessObservation{protocol.SlowReported, protocol.SlowMeasured}).Draw(t, "observation")
			observer := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "observer"))
			if isSlow && !at(now).Before(slowUntil) {
				isSlow = false
			}
			switch change := tracker.Apply(r.report(observer, observation, 7, slowdown, now-age), at(now)).(type) {
			case slow.Slow:
				if !isSlow {
					slowSince, isSlow = now-age, true
				}
				slowUntil = change.Until()
				require.GreaterOrEqual(t, change.Slowdown(), 1.5)
				require.True(t, change.Until().After(at(now)))
				require.False(t, change.Since().After(at(now)))
			case slow.Recovered:
				if isSlow {
					require.GreaterOrEqual(t, now-slowSince, 1000)
				}
				isSlow = false
			}
		}
	})
}
