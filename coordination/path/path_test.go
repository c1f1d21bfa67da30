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
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
)

var now = time.Unix(1_800_000_000, 0)

func view(t require.TestingT, layers int, runners []protocol.Runner) *fleet.View {
	for i := range runners {
		r := &runners[i]
		r.Name, r.VM, r.DataCenter, r.Accelerator = fmt.Sprint("r", i), "v", "dc", "a"
		r.Address, r.Model = "127.0.0.1:1", "m"
	}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "m", Version: "1", Layers: layers, MaxOpen: 1, Context: 9}},
		protocol.Fleet{Name: "dc", Runners: runners})
	require.NoError(t, err)
	return fleet.NewViewFromConfig(nil, c, fleet.Entry{Name: "e1", DataCenter: "dc"})
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// TestPathCoversEveryLayerOnce draws fleets, loads and policies. A path must cover every layer
// once, unless some layer can't be reached.
func TestPathCoversEveryLayerOnce(t *testing.T) {
	var counter uint64
	policies := []path.Policy{nil, path.LowestCost{}, path.LowestReportedLoad{}, path.Random{}, path.RoundRobin{Counter: &counter}, path.FixedPipeline{Index: &counter}}
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 24).Draw(t, "layers")
		var runners []protocol.Runner
		for range rapid.IntRange(1, 30).Draw(t, "runners") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			runners = append(runners, protocol.Runner{From: from, To: to, Speed: rapid.Float64Range(1, 1e4).Draw(t, "speed")})
		}
		v := view(t, layers, runners)
		for _, r := range v.Runners() {
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				r.MarkLeaving()
			case 1:
				r.Failed(now)
			case 2:
				r.Sent(rapid.Int64Range(0, 1e6).Draw(t, "sent"))
			}
		}
		d := path.Choose(v.Model("m"), path.Query{
			Now: now, Positions: 3, Rand: newRand(), Policy: rapid.SampledFrom(policies).Draw(t, "policy"),
		})
		switch d := d.(type) {
		case *path.Found:
			at := 0
			for i := range d.Path().Len() {
				r := d.Path().Runner(i)
				require.Equal(t, at, r.Span().From)
				require.False(t, r.Leaving())
				at = r.Span().To
			}
			require.Equal(t, layers, at)
		case path.Missing:
			require.Less(t, d.Layer(), layers)
		}
	})
}

func TestChooseWithoutPath(t *testing.T) {
	require.IsType(t, path.Missing{}, path.Choose(nil, path.Query{Now: now, Rand: newRand()}))
	v := view(t, 4, []protocol.Runner{{From: 0, To: 2, Speed: 1}})
	missing, ok := path.Choose(v.Model("m"), path.Query{Now: now, Rand: newRand()}).(path.Missing)
	require.True(t, ok)
	require.Equal(t, 2, missing.Layer())
}

func TestAvoidedRunnerIsTakenOnlyIfAlone(t *testing.T) {
	v := view(t, 4, []protocol.Runner{{From: 0, To: 4, Speed: 9}, {From: 0, To: 4, Speed: 1}})
	bad := v.Runner("r0")
	q := path.Query{Now: now, Positions: 1, Rand: newRand(), Avoid: []*fleet.Runner{bad}}
	require.Equal(t, "r1", path.Choose(v.Model("m"), q).(*path.Found).Path().Runner(0).Name())
	v.Runner("r1").MarkLeaving()
	require.Equal(t, "r0", path.Choose(v.Model("m"), q).(*path.Found).Path().Runner(0).Name())
}

func TestEjectionCantEmptyGroup(t *testing.T) {
	v := view(t, 4, []protocol.Runner{{From: 0, To: 4, Speed: 9}, {From: 0, To: 4, Speed: 9}})
	v.Runner("r0").Failed(now)
	v.Runner("r0").Failed(now)
	v.Runner("r1").Failed(now)
	found := path.Choose(v.Model("m"), path.Query{Now: now, Positions: 1, Rand: newRand()}).(*path.Found)
	require.Equal(t, "r1", found.Path().Runner(0).Name(), "the ejection that ends first")
}

// TestOtherRunnersOnlyIfSubsetIsUnusable checks that an entry keeps to its own subset of a large
// group, and takes another runner only if the whole subset is ejected.
func TestOtherRunnersOnlyIfSubsetIsUnusable(t *testing.T) {
	runners := make([]protocol.Runner, 100)
	for i := range runners {
		runners[i] = protocol.Runner{From: 0, To: 4, Speed: 9}
	}
	v := view(t, 4, runners)
	own := v.Model("m").Groups()[0].Runners()
	require.Len(t, own, fleet.SubsetSize)
	q := path.Query{Now: now, Positions: 1, Rand: newRand()}
	used := map[*fleet.Runner]bool{}
	for range 200 {
		used[path.Choose(v.Model("m"), q).(*path.Found).Path().Runner(0)] = true
	}
	require.Len(t, used, fleet.SubsetSize)
	for _, r := range own {
		r.Failed(now)
	}
	other := path.Choose(v.Model("m"), q).(*path.Found).Path().Runner(0)
	require.NotContains(t, own, other)
}

// benchView returns a view of n runners, ten for the span of each stage.
func benchView(b *testing.B, n int) *fleet.View {
	const layers = 80
	stages := max(1, min(16, n/10))
	runners := make([]protocol.Runner, n)
	for i := range runners {
		s := i % stages
		runners[i] = protocol.Runner{From: s * layers / stages, To: (s + 1) * layers / stages, Speed: 1000 + float64(i%3)*500}
	}
	return view(b, layers, runners)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 160, 640, 1600, 4900} {
		b.Run(fmt.Sprint("runners=", n), func(b *testing.B) {
			v := benchView(b, n)
			q := path.Query{Now: now, Positions: 64, Rand: newRand()}
			var p path.Path
			b.ReportAllocs()
			for b.Loop() {
				if path.ChooseInto(v.Model("m"), &q, &p) >= 0 {
					b.Fatal("no path")
				}
			}
		})
	}
}
