// SPDX-License-Identifier: Apache-2.0

package reroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/reroute"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const model = "m"

var now = time.Unix(100, 0)

// gather returns a view of runners r0, r1, r2 and so on that hold the spans.
func gather(layers int, spans ...protocol.Span) *fleet.View {
	runners := make([]protocol.Runner, len(spans))
	for i, s := range spans {
		runners[i] = protocol.Runner{
			Name: name(i), Model: model, From: s.From, To: s.To, Speed: 1e6, StepSeconds: 1e-5, Capacity: 1e4, Address: name(i),
		}
	}
	return fleet.NewView(nil, []protocol.Model{{Name: model, Layers: layers}}, runners, fleet.Entry{Name: "e1"})
}

func name(i int) string { return fmt.Sprint("r", i) }

func search() path.Query {
	return path.Query{Now: now, Positions: 800, OutputTokens: 200, Entries: 1, Rand: rand.New(rand.NewPCG(1, 2))}
}

// cheapestPath returns the cheapest path through the view.
func cheapestPath(t require.TestingT, v *fleet.View, avoid ...*fleet.Runner) path.Path {
	var p path.Path
	q := search()
	q.Avoid = avoid
	require.Negative(t, path.ChooseSubspans(v.Model(model), &q, &p))
	return p
}

func choose(v *fleet.View, q *reroute.Query) reroute.Decision {
	q.Search = search()
	return reroute.Choose([]*fleet.Model{v.Model(model)}, q)
}

func TestOnlyLostStageIsReplaced(t *testing.T) {
	v := gather(9, protocol.Span{From: 0, To: 3}, protocol.Span{From: 3, To: 6}, protocol.Span{From: 6, To: 9})
	p := cheapestPath(t, v)
	require.Equal(t, reroute.Wait{}, choose(v, &reroute.Query{Path: p, Lost: []*fleet.Runner{v.Runner("r1")}}), "no other runner holds its layers")

	v = gather(9, protocol.Span{From: 0, To: 3}, protocol.Span{From: 3, To: 6}, protocol.Span{From: 6, To: 9}, protocol.Span{From: 2, To: 7})
	p = cheapestPath(t, v, v.Runner("r3"))
	d, ok := choose(v, &reroute.Query{Path: p, Lost: []*fleet.Runner{v.Runner("r1")}, Tokens: 900, RemainingTokens: 100}).(*reroute.Change)
	require.True(t, ok)
	require.Equal(t, 3, d.Path().Len())
	require.True(t, d.Path().HasStage(v.Runner("r0"), protocol.Span{From: 0, To: 3}))
	require.True(t, d.Path().HasStage(v.Runner("r3"), protocol.Span{From: 3, To: 6}))
	require.True(t, d.Path().HasStage(v.Runner("r2"), protocol.Span{From: 6, To: 9}))
}

func TestLostFirstStageCantBeReplaced(t *testing.T) {
	v := gather(4, protocol.Span{From: 0, To: 2}, protocol.Span{From: 2, To: 4}, protocol.Span{From: 0, To: 2})
	p := cheapestPath(t, v, v.Runner("r2"))
	lost := []*fleet.Runner{v.Runner("r0")}
	require.Equal(t, reroute.Wait{}, choose(v, &reroute.Query{Path: p, Lost: lost}))
	other := cheapestPath(t, v, lost...)
	require.Equal(t, reroute.Resend{}, choose(v, &reroute.Query{Path: p, Lost: lost, Alternative: &other}))
}

// TestAllStagesAfterFirstAreReplacedIfGapCantBeFilled has a path in which the only other holder of
// the lost layers runs a stage already. That runner takes the layers of both stages.
func TestAllStagesAfterFirstAreReplacedIfGapCantBeFilled(t *testing.T) {
	v := gather(6, protocol.Span{From: 0, To: 2}, protocol.Span{From: 2, To: 4}, protocol.Span{From: 2, To: 6}, protocol.Span{From: 4, To: 6})
	three := cheapestPath(t, v, v.Runner("r2"))
	var p path.Path
	q := search()
	q.Avoid = []*fleet.Runner{v.Runner("r3")}
	require.True(t, path.ReplaceStages(v.Model(model), &q, &three, q.Avoid, &p))
	require.True(t, p.HasStage(v.Runner("r2"), protocol.Span{From: 4, To: 6}))
	v.Runner("r3").MarkLeaving()
	d, ok := choose(v, &reroute.Query{Path: p, Lost: []*fleet.Runner{v.Runner("r1")}}).(*reroute.Change)
	require.True(t, ok)
	require.Equal(t, 2, d.Path().Len())
	require.True(t, d.Path().HasStage(v.Runner("r2"), protocol.Span{From: 2, To: 6}))
}

// TestSlowReplacementIsNotTaken checks that the request is sent again if another path completes it
// sooner.
func TestSlowReplacementIsNotTaken(t *testing.T) {
	v := gather(4, protocol.Span{From: 0, To: 2}, protocol.Span{From: 2, To: 4}, protocol.Span{From: 2, To: 4}, protocol.Span{From: 0, To: 4})
	p := cheapestPath(t, v, v.Runner("r2"), v.Runner("r3"))
	lost := []*fleet.Runner{v.Runner("r1")}
	other := cheapestPath(t, v, v.Runner("r0"), v.Runner("r1"), v.Runner("r2"))
	query := func() *reroute.Query {
		return &reroute.Query{Path: p, Lost: lost, Tokens: 800, RemainingTokens: 200, Alternative: &other}
	}
	require.IsType(t, &reroute.Change{}, choose(v, query()))
	for range 40 {
		v.Runner("r2").ObserveStep(time.Second, 0.01, now)
	}
	v.Runner("r3").Suspect(now.Add(time.Second)) // it can't fill the gap either
	require.Equal(t, reroute.Resend{}, choose(v, query()))
}

// TestFullRunnerIsNoReplacement guards against orders to a runner without capacity, which are
// wasted.
func TestFullRunnerIsNoReplacement(t *testing.T) {
	v := gather(4, protocol.Span{From: 0, To: 2}, protocol.Span{From: 2, To: 4}, protocol.Span{From: 2, To: 4})
	p := cheapestPath(t, v, v.Runner("r2"))
	v.Runner("r2").ReportUtilization(0.95, now)
	require.Equal(t, reroute.Wait{}, choose(v, &reroute.Query{Path: p, Lost: []*fleet.Runner{v.Runner("r1")}, Tokens: 800}))
}

// TestChangedPathIsComplete draws runners and losses. A changed path runs every layer once and in
// order, keeps its first stage, contains no runner twice and none that is lost, ejected or leaving.
func TestChangedPathIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(2, 24).Draw(t, "layers")
		spans := []protocol.Span{{From: 0, To: layers}}
		for range rapid.IntRange(1, 16).Draw(t, "runners") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			spans = append(spans, protocol.Span{From: from, To: rapid.IntRange(from+1, layers).Draw(t, "to")})
		}
		v := gather(layers, spans...)
		v.Runner("r0").Exclude(now.Add(time.Second)) // it would be the complete path
		p := cheapestPath(t, v)
		v.Runner("r0").MarkWorking()
		q := &reroute.Query{Path: p, Tokens: 800, RemainingTokens: 100}
		for i := range p.Len() {
			if rapid.Bool().Draw(t, "lost") {
				q.Lost = append(q.Lost, p.Runner(i))
				p.Runner(i).MarkLost(now, now.Add(time.Second))
			}
		}
		for i := range spans {
			if rapid.IntRange(0, 5).Draw(t, "leaving") == 0 {
				v.Runner(name(i)).MarkLeaving()
			}
		}
		d, ok := choose(v, q).(*reroute.Change)
		if !ok {
			return
		}
		at := 0
		seen := map[*fleet.Runner]bool{}
		for i := range d.Path().Len() {
			r, span := d.Path().Runner(i), d.Path().Span(i)
			require.Equal(t, at, span.From)
			require.True(t, r.Span().From <= span.From && span.To <= r.Span().To && span.Layers() > 0)
			require.False(t, seen[r], "the runner is in the path twice")
			require.NotContains(t, q.Lost, r)
			require.True(t, p.HasStage(r, span) || r.Usable(now), "an unusable runner gets new work")
			seen[r], at = true, span.To
		}
		require.Equal(t, layers, at)
		require.Equal(t, p.Runner(0), d.Path().Runner(0))
		require.Equal(t, p.Span(0), d.Path().Span(0))
	})
}

// BenchmarkChoose measures the decision for a path of which the fourth stage is lost, among engines
// that hold 75 different spans.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{98, 600} {
		var spans []protocol.Span
		for i := range n {
			from := i * 7 % 75
			spans = append(spans, protocol.Span{From: from, To: min(80, from+10)})
		}
		v := gather(80, spans...)
		p := cheapestPath(b, v)
		other := cheapestPath(b, v, p.Runner(0))
		q := &reroute.Query{Path: p, Lost: []*fleet.Runner{p.Runner(3)}, Tokens: 900, RemainingTokens: 100, Alternative: &other, Search: search()}
		models := []*fleet.Model{v.Model(model)}
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				reroute.Choose(models, q)
			}
		})
	}
}
