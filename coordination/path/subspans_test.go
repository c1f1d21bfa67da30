// SPDX-License-Identifier: Apache-2.0

package path_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const testModel = "m"

func gather(layers int, spans []protocol.Span) *fleet.View {
	runners := make([]protocol.Runner, len(spans))
	for i, s := range spans {
		runners[i] = protocol.Runner{Name: fmt.Sprint("r", i), Model: testModel, From: s.From, To: s.To, Speed: 1e6}
	}
	return fleet.NewView(nil, []protocol.Model{{Name: testModel, Layers: layers}}, runners, fleet.Entry{Name: "e1"})
}

// TestSubspansCoverEveryLayerOnce draws runners and checks that a path is found exactly if every
// layer has a holder that may be taken, and that the stages meet without gap or overlap inside the
// spans of their runners.
func TestSubspansCoverEveryLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 24).Draw(t, "layers")
		var spans []protocol.Span
		for range rapid.IntRange(0, 14).Draw(t, "runners") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			spans = append(spans, protocol.Span{From: from, To: rapid.IntRange(from+1, layers).Draw(t, "to")})
		}
		view := gather(layers, spans)
		now := time.Unix(100, 0)
		covered := make([]bool, layers)
		for i, s := range spans {
			r := view.Runner(fmt.Sprint("r", i))
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				r.MarkLeaving()
				continue
			case 1:
				r.Failed(now)
			}
			for l := s.From; l < s.To; l++ {
				covered[l] = true
			}
		}
		complete := true
		for _, c := range covered {
			complete = complete && c
		}
		var p path.Path
		q := path.Query{Now: now, Positions: 10, Rand: rand.New(rand.NewPCG(1, 2))}
		missing := path.ChooseSubspans(view.Model(testModel), &q, &p)
		require.Equal(t, complete, missing < 0)
		if !complete {
			require.False(t, covered[missing], "layer %d has a holder but is reported as missing", missing)
			return
		}
		at := 0
		for i := range p.Len() {
			s, held := p.Span(i), p.Runner(i).Span()
			require.Equal(t, at, s.From)
			require.True(t, held.From <= s.From && s.To <= held.To && s.Layers() > 0)
			require.False(t, p.Runner(i).Leaving())
			at = s.To
		}
		require.Equal(t, layers, at)
	})
}

func TestSubspansAvoidEjectedRunner(t *testing.T) {
	view := gather(10, []protocol.Span{{From: 0, To: 10}, {From: 0, To: 6}, {From: 4, To: 10}})
	now := time.Unix(100, 0)
	q := path.Query{Now: now, Positions: 1000, Rand: rand.New(rand.NewPCG(1, 2))}
	var p path.Path
	require.Negative(t, path.ChooseSubspans(view.Model(testModel), &q, &p))
	require.Equal(t, 1, p.Len(), "one runner that holds all layers is cheapest")
	view.Runner("r0").Suspect(now.Add(time.Second))
	require.Negative(t, path.ChooseSubspans(view.Model(testModel), &q, &p))
	require.Equal(t, 2, p.Len())
	view.Runner("r1").Exclude(now.Add(time.Second))
	require.Negative(t, path.ChooseSubspans(view.Model(testModel), &q, &p), "the last resort is taken rather than none")
	view.Runner("r0").MarkWorking()
	require.Negative(t, path.ChooseSubspans(view.Model(testModel), &q, &p))
	require.Equal(t, "r0", p.Runner(0).Name())
}

func TestSubspansDontAllocate(t *testing.T) {
	view, q := subspansFleet(14)
	var p path.Path
	require.Zero(t, testing.AllocsPerRun(100, func() { path.ChooseSubspans(view.Model(testModel), &q, &p) }))
}

// subspansFleet returns a data center with that many runners for 80 layers.
func subspansFleet(runners int) (*fleet.View, path.Query) {
	spans := make([]protocol.Span, runners)
	for i := range spans {
		from := (i * 7) % 75
		spans[i] = protocol.Span{From: from, To: min(80, from+10)}
	}
	spans[0] = protocol.Span{From: 0, To: 10}
	return gather(80, spans), path.Query{Now: time.Unix(100, 0), Positions: 800, Rand: rand.New(rand.NewPCG(1, 2))}
}

func BenchmarkSubspans(b *testing.B) {
	for _, n := range []int{14, 40, 400, 4900} {
		view, q := subspansFleet(n)
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var p path.Path
			for b.Loop() {
				path.ChooseSubspans(view.Model(testModel), &q, &p)
			}
		})
	}
}

// TestSlownessNeverHidesOnlyHolder draws which runners are slow. The same layers can be reached as
// if no runner were slow.
func TestSlownessNeverHidesOnlyHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 24).Draw(t, "layers")
		spans := []protocol.Span{}
		for range rapid.IntRange(1, 14).Draw(t, "runners") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			spans = append(spans, protocol.Span{From: from, To: rapid.IntRange(from+1, layers).Draw(t, "to")})
		}
		view := gather(layers, spans)
		now := time.Unix(100, 0)
		q := path.Query{Now: now, Positions: 100, OutputTokens: 100, Rand: rand.New(rand.NewPCG(1, 2))}
		var before, after path.Path
		reached := path.ChooseSubspans(view.Model(testModel), &q, &before)
		for i := range spans {
			if slowdown := rapid.SampledFrom([]float64{1, 1, 1.5, 12, 1000}).Draw(t, "pace"); slowdown > 1 {
				view.Runner(fmt.Sprint("r", i)).MarkSlow(slowdown, now, now.Add(time.Second))
			}
		}
		require.Equal(t, reached, path.ChooseSubspans(view.Model(testModel), &q, &after))
	})
}

// TestSlowHolderIsTakenOnlyIfAlone checks that a slow runner runs a stage only if no other runner
// holds its layers.
func TestSlowHolderIsTakenOnlyIfAlone(t *testing.T) {
	view := gather(10, []protocol.Span{{From: 0, To: 5}, {From: 0, To: 5}, {From: 5, To: 10}})
	now := time.Unix(100, 0)
	view.Runner("r0").MarkSlow(12, now, now.Add(time.Second))
	view.Runner("r2").MarkSlow(12, now, now.Add(time.Second))
	for seed := range uint64(20) {
		q := path.Query{Now: now, Positions: 1000, OutputTokens: 100, Rand: rand.New(rand.NewPCG(seed, 2))}
		var p path.Path
		require.Equal(t, -1, path.ChooseSubspans(view.Model(testModel), &q, &p))
		require.Equal(t, "r1", p.Runner(0).Name())
		require.Equal(t, "r2", p.Runner(1).Name())
	}
}
