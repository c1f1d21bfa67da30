// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/metric"
)

func TestLateEngineIsQueriedAndAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := newStagedForwarder(t, 2)
		applyOwnReports(f)
		late := x.open[0].path.Runner(1)
		asks.paces[late.Spec().Address] = 12
		for range 5 {
			sendEvent(x, typicalPause)
		}
		synctest.Wait()
		require.Zero(t, asks.total(), "nobody is asked while events come on time")
		for range 2 {
			sendEvent(x, typicalPause+100*time.Millisecond)
		}
		synctest.Wait()
		require.True(t, late.IsSlow(time.Now()))
		require.InDelta(t, 12, late.ReportedSlowdown(time.Now()), 1e-9)
		require.True(t, late.Usable(time.Now()), "it is not left out")
		require.Equal(t, int64(1), f.Counters.Value(string(metric.EndpointsSlow)))
		for range 20 {
			p, found := x.pickPath(time.Now())
			require.True(t, found)
			require.NotEqual(t, late, p.Runner(1))
		}
	})
}

// TestOnTimeEnginesAreNotQueried: what came on time through them since the
// path began to be late clears them.
func TestOnTimeEnginesAreNotQueried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := newStagedForwarder(t, 1)
		applyOwnReports(f)
		sendEvent(x, typicalPause)
		sendEvent(x, typicalPause+100*time.Millisecond)
		cleared := x.open[0].path.Runner(0)
		cleared.OnTime(time.Now())
		sendEvent(x, typicalPause+100*time.Millisecond)
		synctest.Wait()
		require.Zero(t, asks.asked[cleared.Spec().Address])
		require.Equal(t, 2, asks.total())
	})
}

// TestQueriesAreRateLimited: a fleet that is late everywhere is asked a few times a second.
func TestQueriesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := newStagedForwarder(t, 1)
		applyOwnReports(f)
		for range 100 {
			sendEvent(x, 100*time.Millisecond)
		}
		synctest.Wait()
		require.LessOrEqual(t, asks.total(), int(11*queriesPerSecond))
	})
}

// TestSlowEngineIsQueriedUntilFast, by the entry that told that it is slow; then it gets
// work again.
func TestSlowEngineIsQueriedUntilFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := newStagedForwarder(t, 2)
		applyOwnReports(f)
		r := x.open[0].path.Runner(1)
		asks.paces[r.Spec().Address] = 12
		(&poll{forwarder: f, runner: r}).run()
		require.True(t, r.IsSlow(time.Now()))
		look := func(d time.Duration) {
			for till := time.Now().Add(d); time.Now().Before(till); time.Sleep(pollCheckInterval) {
				f.slowdowns.queryDue(time.Now())
				synctest.Wait()
			}
		}
		look(10 * time.Second)
		require.True(t, r.IsSlow(time.Now()))
		require.InDelta(t, 20, asks.total(), 3, "twice a second")
		asks.mutex.Lock()
		asks.paces[r.Spec().Address] = 1
		asks.mutex.Unlock()
		look(2 * slowRecheckInterval)
		require.False(t, r.IsSlow(time.Now()))
		require.Zero(t, f.Counters.Value(string(metric.EndpointsSlow)))
		asked := asks.total()
		look(5 * time.Second)
		require.Equal(t, asked, asks.total(), "nobody is asked any more")
	})
}

// TestOnlyReportingEntryQueriesAgain: with thirty entries an engine is asked by one of them.
func TestOnlyReportingEntryQueriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := newStagedForwarder(t, 2)
		markSlow(f, x.open[0].path.Runner(1))
		time.Sleep(slowRecheckInterval)
		f.slowdowns.queryDue(time.Now())
		synctest.Wait()
		require.Zero(t, asks.total())
		time.Sleep(slow.ReportTTL)
		f.slowdowns.queryDue(time.Now())
		require.Zero(t, f.Counters.Value(string(metric.EndpointsSlow)), "the news lapsed")
	})
}

// TestOverdueStreamOnSlowPath is asked for elsewhere while that keeps it in time,
// its engines are not suspected, and a stream that is late already waits.
func TestOverdueStreamOnSlowPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, _ := newStagedForwarder(t, 2)
		r := x.open[0].path.Runner(1)
		markSlow(f, r)
		time.Sleep(x.timing.firstEventLimit)
		x.wake(time.Now())
		require.Len(t, x.open, 2)
		require.NotEqual(t, r, x.open[1].path.Runner(1))
		for _, other := range f.Registry.View().Runners() {
			require.True(t, other.Usable(time.Now()), other.Name())
		}

		_, x, _ = newStagedForwarder(t, 2)
		markSlow(x.forwarder, x.open[0].path.Runner(1))
		time.Sleep(450 * time.Millisecond) // an answer elsewhere would come after the aim
		x.wake(time.Now())
		require.Len(t, x.open, 1)
		require.Equal(t, silenceTooLate, x.lastAction)
		time.Sleep(deadTimeout)
		x.wake(time.Now())
		require.Len(t, x.open, 2, "silent for so long it may be dead")
	})
}

// TestSlightSlownessDoesNotExplainSilence: a stream that is silent on a path hardly slower than
// usual is asked for elsewhere as any other.
func TestSlightSlownessDoesNotExplainSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, x, _ := newStagedForwarder(t, 2)
		now := time.Now()
		x.open[0].path.Runner(1).MarkSlow(1.6, now, now.Add(time.Minute))
		time.Sleep(450 * time.Millisecond)
		x.wake(time.Now())
		require.Len(t, x.open, 2)
	})
}

// TestNoHedgeWithoutFasterPath: where every path is as slow, the prompt isn't read again.
func TestNoHedgeWithoutFasterPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, _ := newStagedForwarder(t, 2)
		for _, r := range f.Registry.View().Runners() {
			markSlow(f, r)
		}
		time.Sleep(x.timing.firstEventLimit)
		x.wake(time.Now())
		require.Len(t, x.open, 1)
		require.Equal(t, silenceNoGain, x.lastAction)
		var p path.Path
		q := x.pathQuery(time.Now())
		require.True(t, f.choosePath(x.service, &q, "a", &p), "somebody serves")
	})
}
