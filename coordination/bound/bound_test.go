// SPDX-License-Identifier: Apache-2.0

package bound_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/bound"
	"pinerun.example/pinerun/protocol"
)

func runner(from, to int, speed float64) protocol.Runner {
	return protocol.Runner{From: from, To: to, Speed: speed}
}

func TestBoundsOfKnownCases(t *testing.T) {
	tests := []struct {
		name        string
		layers      int
		runners     []protocol.Runner
		flow, fleet float64
	}{
		{"one runner holds all layers", 10, []protocol.Runner{runner(0, 10, 100)}, 10, 10},
		{"the slower half limits", 10, []protocol.Runner{runner(0, 5, 100), runner(5, 10, 50)}, 10, 15},
		{"two paths add up", 10, []protocol.Runner{runner(0, 10, 100), runner(0, 5, 50), runner(5, 10, 50)}, 20, 20},
		{"a crossing path is used", 4, []protocol.Runner{
			runner(0, 2, 20), runner(0, 3, 30), runner(2, 3, 10), runner(2, 4, 10), runner(3, 4, 15),
		}, 20, 21.25},
		{"a layer without a holder", 10, []protocol.Runner{runner(0, 5, 100), runner(6, 10, 100)}, 0, 20},
		{"spans outside the model are ignored", 10, []protocol.Runner{runner(5, 12, 100), runner(3, 3, 9)}, 0, 0},
		{"no runner", 10, nil, 0, 0},
		{"no layers", 0, []protocol.Runner{runner(0, 1, 1)}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := bound.Of(tt.layers, tt.runners)
			require.InDelta(t, tt.flow, b.Flow(), 1e-6)
			require.InDelta(t, tt.fleet, b.Fleet(), 1e-6)
		})
	}
}

// TestNoScheduleExceedsBounds splits positions over random paths until a runner is full. That flow
// can't exceed Flow, and Flow can't exceed Fleet.
func TestNoScheduleExceedsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 8).Draw(t, "layers")
		var runners []protocol.Runner
		for range rapid.IntRange(1, 12).Draw(t, "runners") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			runners = append(runners, runner(from, to, rapid.Float64Range(1, 100).Draw(t, "speed")))
		}
		b := bound.Of(layers, runners)
		require.LessOrEqual(t, greedyFlow(t, layers, runners), b.Flow()+1e-6)
		require.LessOrEqual(t, b.Flow(), b.Fleet()+1e-6)
	})
}

// greedyFlow sends as much as fits along random paths.
func greedyFlow(t *rapid.T, layers int, runners []protocol.Runner) float64 {
	remaining := make([]float64, len(runners))
	for i, r := range runners {
		remaining[i] = r.Speed
	}
	total := 0.0
	for range 20 {
		var used []int
		at, rate := 0, 1e9
		for at < layers {
			var next []int
			for i, r := range runners {
				if r.From == at && remaining[i] > 0 {
					next = append(next, i)
				}
			}
			if len(next) == 0 {
				break
			}
			i := rapid.SampledFrom(next).Draw(t, "next")
			used = append(used, i)
			rate = min(rate, remaining[i]/float64(runners[i].To-runners[i].From))
			at = runners[i].To
		}
		if at < layers {
			continue
		}
		for _, i := range used {
			remaining[i] -= rate * float64(runners[i].To-runners[i].From)
		}
		total += rate
	}
	return total
}
