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
		f, x, reports := newStagedForwarder(t, 2)
		applyOwnReports(f)
		late := x.open[0].path.Runner(1)
		reports.slowdowns[late.Spec().Address] = 12
		for range 5 {
			sendEvent(x, typicalPause)
		}
		synctest.Wait()
		require.Zero(t, reports.totalQueries(), "no queries while events are on time")
		for range 2 {
			sendEvent(x, typicalPause+100*time.Millisecond)
		}
		synctest.Wait()
		require.True(t, late.IsSlow(time.Now()))
		require.InDelta(t, 12, late.ReportedSlowdown(time.Now()), 1e-9)
		require.True(t, late.Usable(time.Now()), "a slow engine is not ejected")
		require.Equal(t, int64(1), f.Counters.Value(string(metric.EndpointsSlow)))
		for range 20 {
			p, found := x.pickPath(time.Now())
			require.True(t, found)
			require.NotEqual(t, late, p.Runner(1))
		}
	})
}

// TestOnTimeEnginesAreNotQueried checks that an engine is not queried if an event passed through it
// on time since the path became late.
func TestOnTimeEnginesAreNotQueried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, reports := newStagedForwarder(t, 1)
		applyOwnReports(f)
		sendEvent(x, typicalPause)
		sendEvent(x, typicalPause+100*time.Millisecond)
		cleared := x.open[0].path.Runner(0)
		cleared.OnTime(time.Now())
		sendEvent(x, typicalPause+100*time.Millisecond)
		synctest.Wait()
		require.Zero(t, reports.queries[cleared.Spec().Address])
		require.Equal(t, 2, reports.totalQueries())
	})
}

// TestQueriesAreRateLimited guards against a flood of queries in a fleet where every engine is
// late.
func TestQueriesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, reports := newStagedForwarder(t, 1)
		applyOwnReports(f)
		for range 100 {
			sendEvent(x, 100*time.Millisecond)
		}
		synctest.Wait()
		require.LessOrEqual(t, reports.totalQueries(), int(11*queriesPerSecond))
	})
}

// TestSlowEngineIsQueriedUntilFast checks that the entry that reported an engine as slow queries it
// until it is fast again, and that it then gets work again.
func TestSlowEngineIsQueriedUntilFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, reports := newStagedForwarder(t, 2)
		applyOwnReports(f)
		r := x.open[0].path.Runner(1)
		reports.slowdowns[r.Spec().Address] = 12
		(&poll{forwarder: f, runner: r}).run()
		require.True(t, r.IsSlow(time.Now()))
		queryFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollCheckInterval) {
				f.slowdowns.queryDue(time.Now())
				synctest.Wait()
			}
		}
		queryFor(10 * time.Second)
		require.True(t, r.IsSlow(time.Now()))
		require.InDelta(t, 20, reports.totalQueries(), 3, "twice a second")
		reports.mutex.Lock()
		reports.slowdowns[r.Spec().Address] = 1
		reports.mutex.Unlock()
		queryFor(2 * slowRecheckInterval)
		require.False(t, r.IsSlow(time.Now()))
		require.Zero(t, f.Counters.Value(string(metric.EndpointsSlow)))
		before := reports.totalQueries()
		queryFor(5 * time.Second)
		require.Equal(t, before, reports.totalQueries(), "no queries once the engine is fast")
	})
}

// TestOnlyReportingEntryQueriesAgain guards against every entry querying a slow engine: only the
// entry that reported it does.
func TestOnlyReportingEntryQueriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, reports := newStagedForwarder(t, 2)
		markSlow(f, x.open[0].path.Runner(1))
		time.Sleep(slowRecheckInterval)
		f.slowdowns.queryDue(time.Now())
		synctest.Wait()
		require.Zero(t, reports.totalQueries())
		time.Sleep(slow.ReportTTL)
		f.slowdowns.queryDue(time.Now())
		require.Zero(t, f.Counters.Value(string(metric.EndpointsSlow)), "the report has expired")
	})
}

// TestOverdueStreamOnSlowPath checks that a stream that is overdue on a slow path is sent elsewhere
// while it can still be in time, that its engines are not suspected, and that a stream that is
// already too late waits.
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
		time.Sleep(450 * time.Millisecond) // a response from elsewhere would miss the target
		x.wake(time.Now())
		require.Len(t, x.open, 1)
		require.Equal(t, silenceTooLate, x.lastAction)
		time.Sleep(deadTimeout)
		x.wake(time.Now())
		require.Len(t, x.open, 2, "after deadTimeout it may be dead")
	})
}

// TestSlightSlownessDoesNotExplainSilence checks that a silent stream on a path that is hardly
// slower than usual is hedged like any other.
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

// TestNoHedgeWithoutFasterPath checks that the prompt is not prefilled again if every path is
// equally slow.
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
		require.True(t, f.choosePath(x.service, &q, "a", &p), "a path is still available")
	})
}
