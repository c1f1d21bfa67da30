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

var begin = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// teller makes reports of one endpoint, each with the next number of its witness.
type teller struct{ numbers map[string]uint64 }

func (t *teller) report(witness string, sign protocol.SlownessObservation, life protocol.Incarnation, pace float64, ms int) slow.Report {
	if t.numbers == nil {
		t.numbers = map[string]uint64{}
	}
	t.numbers[witness]++
	return slow.NewReport(protocol.RelaySlow{
		Endpoint: "e", Observer: witness, Number: t.numbers[witness], Observation: sign, Incarnation: life, Pace: pace,
	}, at(ms))
}

func (t *teller) told(pace float64, ms int) slow.Report {
	return t.report("a", protocol.SlowTold, 0, pace, ms)
}

func (t *teller) seen(pace float64, ms int) slow.Report {
	return t.report("a", protocol.SlowSeen, 0, pace, ms)
}

// TestWhatAnEngineTellsOfItself plays what it tells, one after the other.
func TestWhatAnEngineTellsOfItself(t *testing.T) {
	for _, c := range []struct {
		name  string
		paces []float64 // one each 600 ms
		want  []slow.Change
	}{
		{"slow at once", []float64{12}, []slow.Change{slow.Slow{}}},
		{"as usual", []float64{1, 1.4, 0}, []slow.Change{slow.NoChange{}, slow.NoChange{}, slow.NoChange{}}},
		{"between the bounds nothing changes", []float64{2, 1.35, 1.45}, []slow.Change{slow.Slow{}, slow.NoChange{}, slow.Slow{}}},
		{"told again only when it grows old", []float64{12, 12, 12}, []slow.Change{slow.Slow{}, slow.NoChange{}, slow.Slow{}}},
		{"a worse pace is news", []float64{2, 12}, []slow.Change{slow.Slow{}, slow.Slow{}}},
		{"fast, but not sooner than in a second", []float64{12, 1, 1, 1}, []slow.Change{slow.Slow{}, slow.NoChange{}, slow.Recovered{}, slow.NoChange{}}},
		{"a nonsense pace", []float64{math.NaN(), -3}, []slow.Change{slow.NoChange{}, slow.NoChange{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b slow.Tracker
			var l teller
			for i, pace := range c.paces {
				require.IsType(t, c.want[i], b.Apply(l.told(pace, 600*i), at(600*i)), "%d", i)
			}
		})
	}
}

// TestOneLateAnswerIsOnlyADoubt: it may be lost. The second makes it certain, whoever has it.
func TestOneLateAnswerIsOnlyADoubt(t *testing.T) {
	var b slow.Tracker
	var l teller
	require.Equal(t, slow.NoChange{}, b.Apply(l.seen(2.9, 0), at(0)))
	require.Equal(t, slow.Suspected{}, b.Apply(l.seen(4, 10), at(10)))
	v := b.Apply(l.report("b", protocol.SlowSeen, 0, 5, 200), at(210))
	found, ok := v.(slow.Slow)
	require.True(t, ok)
	require.InDelta(t, 5, found.Slowdown(), 1e-9)
	require.Equal(t, at(200), found.Since())
	require.Equal(t, at(200).Add(slow.ReportTTL), found.Until())
	require.Equal(t, slow.NoChange{}, b.Apply(l.seen(1, 600), at(600)), "not yet")
	require.Equal(t, slow.Recovered{}, b.Apply(l.seen(1, 1300), at(1300)))
}

func TestAnAnswerInTimeClearsADoubt(t *testing.T) {
	var b slow.Tracker
	var l teller
	require.Equal(t, slow.Suspected{}, b.Apply(l.seen(4, 0), at(0)))
	require.Equal(t, slow.NoChange{}, b.Apply(l.seen(2, 30), at(30)), "neither")
	require.Equal(t, slow.Recovered{}, b.Apply(l.seen(1, 50), at(50)), "the others are told")
	require.Equal(t, slow.NoChange{}, b.Apply(l.seen(1, 60), at(60)))
	require.Equal(t, slow.Suspected{}, b.Apply(l.seen(4, 100), at(100)))
}

// TestAnAwaitedAnswerShowsOnlyALeastPace: it doesn't make what an answer showed less.
func TestAnAwaitedAnswerShowsOnlyALeastPace(t *testing.T) {
	var b slow.Tracker
	var l teller
	b.Apply(l.seen(3, 0), at(0))
	require.InDelta(t, 3, b.Apply(l.seen(3, 100), at(100)).(slow.Slow).Slowdown(), 1e-9)
	require.InDelta(t, 12, b.Apply(l.seen(12, 360), at(360)).(slow.Slow).Slowdown(), 1e-9)
	require.Equal(t, slow.NoChange{}, b.Apply(l.seen(3, 400), at(400)))
	require.InDelta(t, 12, b.Apply(l.seen(3, 1500), at(1500)).(slow.Slow).Slowdown(), 1e-9, "renewed")
}

func TestALaterLifeIsNotSlowForTheOneBefore(t *testing.T) {
	var b slow.Tracker
	var l teller
	require.IsType(t, slow.Slow{}, b.Apply(l.report("a", protocol.SlowTold, 1000, 12, 0), at(0)))
	require.Equal(t, slow.Recovered{}, b.Apply(l.report("a", protocol.SlowTold, 2000, 1, 100), at(100)), "at once")
	require.Equal(t, slow.NoChange{}, b.Apply(l.report("b", protocol.SlowTold, 1000, 12, 120), at(120)), "of the life before")
	require.IsType(t, slow.Slow{}, b.Apply(l.report("b", protocol.SlowTold, 2000, 12, 200), at(200)))
}

func TestWhatComesTwiceOrLateChangesNothing(t *testing.T) {
	var b slow.Tracker
	var l teller
	first := l.told(12, 0)
	require.IsType(t, slow.Slow{}, b.Apply(first, at(0)))
	require.Equal(t, slow.NoChange{}, b.Apply(first, at(1500)))
	require.Equal(t, slow.Recovered{}, b.Apply(l.told(1, 1600), at(1600)))
	require.Equal(t, slow.NoChange{}, b.Apply(l.report("b", protocol.SlowTold, 0, 12, 1200), at(1650)), "it was met before")
	require.Equal(t, slow.NoChange{}, b.Apply(l.told(12, 1700), at(1700).Add(slow.ReportTTL)), "too old")
	require.Equal(t, slow.NoChange{}, b.Apply(l.told(12, 9000), at(1700)), "of the future")
}

func TestNewsThatNobodyRenewsLapse(t *testing.T) {
	var b slow.Tracker
	var l teller
	require.IsType(t, slow.Slow{}, b.Apply(l.told(12, 0), at(0)))
	later := int(slow.ReportTTL/time.Millisecond) + 1
	require.Equal(t, slow.NoChange{}, b.Apply(l.told(1, later), at(later)), "it is forgotten")
	require.IsType(t, slow.Slow{}, b.Apply(l.told(12, later+1), at(later+1)))
}

// TestItNeverTurnsFasterThanItsBound draws signs of all sorts from several witnesses: from
// becoming slow to becoming fast takes a second at least in one life, so entries turn away
// from an endpoint and back at most once a second. What is slow was shown to be so.
func TestItNeverTurnsFasterThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b slow.Tracker
		var l teller
		now := 0
		slowAt, isSlow := -1, false
		var till time.Time
		for range rapid.IntRange(1, 60).Draw(t, "signs") {
			now += rapid.IntRange(0, 700).Draw(t, "later")
			age := rapid.IntRange(0, 300).Draw(t, "age")
			pace := rapid.SampledFrom([]float64{0.9, 1.1, 1.3, 1.6, 2.9, 3.5, 12, 900}).Draw(t, "pace")
			sign := rapid.SampledFrom([]protocol.SlownessObservation{protocol.SlowTold, protocol.SlowSeen}).Draw(t, "sign")
			witness := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "witness"))
			if isSlow && !at(now).Before(till) {
				isSlow = false
			}
			switch v := b.Apply(l.report(witness, sign, 7, pace, now-age), at(now)).(type) {
			case slow.Slow:
				if !isSlow {
					slowAt, isSlow = now-age, true
				}
				till = v.Until()
				require.GreaterOrEqual(t, v.Slowdown(), 1.5)
				require.True(t, v.Until().After(at(now)))
				require.False(t, v.Since().After(at(now)))
			case slow.Recovered:
				if isSlow {
					require.GreaterOrEqual(t, now-slowAt, 1000)
				}
				isSlow = false
			}
		}
	})
}
