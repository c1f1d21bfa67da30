// SPDX-License-Identifier: Apache-2.0

package fleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
)

var now = time.Unix(1_800_000_000, 0)

var localEntry = fleet.Entry{Name: "e1", DataCenter: "dc"}

func newConfig(t require.TestingT, n int) *config.Config {
	f := protocol.Fleet{Name: "dc"}
	for i := range n {
		f.Runners = append(f.Runners, protocol.Runner{
			Name: fmt.Sprint("runner-", i), VM: fmt.Sprint("vm-", i), DataCenter: "dc", Accelerator: "a",
			Address: "127.0.0.1:1", Model: "m", From: i % 8, To: i%8 + 1, Speed: 100,
		})
	}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "m", Version: "1", Layers: 8, MaxOpen: 1, Context: 9}}, f)
	require.NoError(t, err)
	return c
}

// TestInvalidLoadReportsAreIgnored checks that a report changes nothing if it is of another
// runner, has invalid values, comes from the future or is too old.
func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := fleet.NewViewFromConfig(nil, newConfig(t, 8), localEntry).Runner("runner-3")
		good := protocol.LoadReport{Runner: "runner-3", From: 3, To: 4, Queued: 50, UnixMS: now.UnixMilli()}
		require.Equal(t, fleet.ReportAccepted, r.Report(good, now))
		delay := r.QueueDelay(now)
		require.InDelta(t, 0.5, delay, 0.001)
		bad := good
		want := fleet.ReportInvalid
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			bad.Runner, want = "runner-4", fleet.ReportWrongRunner
		case 1:
			bad.Queued = -rapid.Int64Range(1, 1<<40).Draw(t, "queued")
		case 2:
			bad.From, bad.To = rapid.IntRange(4, 99).Draw(t, "from"), 100
		case 3:
			bad.UnixMS += rapid.Int64Range(2001, 1<<40).Draw(t, "ahead")
			want = fleet.ReportFromFuture
		case 4:
			bad.UnixMS -= rapid.Int64Range(5001, 1<<40).Draw(t, "behind")
			want = fleet.ReportExpired
		}
		require.Equal(t, want, r.Report(bad, now))
		require.InDelta(t, delay, r.QueueDelay(now), 0)
	})
}

func TestRebuildKeepsMeasurements(t *testing.T) {
	c := newConfig(t, 8)
	before := fleet.NewViewFromConfig(nil, c, localEntry)
	before.Runner("runner-1").ObserveStep(time.Second, 0.1, now)
	after := fleet.NewViewFromConfig(before, c, localEntry)
	require.Same(t, before.Runner("runner-1"), after.Runner("runner-1"))
}

func TestTimeoutRaisesSlowdown(t *testing.T) {
	r := fleet.NewViewFromConfig(nil, newConfig(t, 1), localEntry).Runner("runner-0")
	r.ObserveTimeout(time.Second, 0.1, now)
	mean, _ := r.Slowdown(now)
	require.InDelta(t, 20, mean, 0.01)
	mean, _ = r.Slowdown(now.Add(time.Minute))
	require.InDelta(t, 1, mean, 0.1, "it decays")
}

// BenchmarkView measures the cost of a fleet's view: the memory per runner and the time per
// rebuild.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{40, 160, 640, 1600, 4900} {
		b.Run(fmt.Sprint("runners=", n), func(b *testing.B) {
			var empty, before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&empty)
			c := newConfig(b, n)
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := fleet.NewViewFromConfig(nil, c, localEntry)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				v = fleet.NewViewFromConfig(v, c, localEntry)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			b.ReportMetric(float64(before.HeapAlloc)-float64(empty.HeapAlloc), "config-heap-B")
			runtime.KeepAlive(v)
		})
	}
}

// TestMissingModelHasNoGroups guards against the end of the process by a model that a view lacks.
func TestMissingModelHasNoGroups(t *testing.T) {
	m := (*fleet.View)(nil).Model("none")
	require.Empty(t, m.Groups())
	require.Zero(t, m.Layers())
}
