// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// startTime is the time at which the tests start.
var startTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// afterSettling is longer than the reports about a crash may take.
const afterSettling = 200 * time.Millisecond

// fingerprint returns the fingerprint with a number.
func fingerprint(n int) protocol.Fingerprint {
	var f protocol.Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(n)+1)
	return f
}

// content returns the content of a request of some work with the given shared parts.
func content(work protocol.Fingerprint, parts ...protocol.Fingerprint) *quarantine.Content {
	c := quarantine.NewContent(work, parts)
	return &c
}

// harness is a tracker with a virtual clock.
type harness struct {
	tracker quarantine.Tracker
	now     time.Time
}

func newHarness() *harness { return &harness{now: startTime} }

// report applies an observation of an entry about work at an endpoint, made now.
func (h *harness) report(observation protocol.WorkObservation, work protocol.Fingerprint, endpoint, observer string) bool {
	return h.tracker.Apply(quarantine.NewReport(protocol.WorkReport{Work: work, Endpoint: endpoint, Incarnation: 1, Observer: observer, Observation: observation}, h.now), h.now)
}

// crash crashes an endpoint that runs some work, and waits until all reports may have arrived.
func (h *harness) crash(endpoint string, works ...protocol.Fingerprint) {
	h.now = h.now.Add(time.Second)
	for _, f := range works {
		h.report(protocol.WorkBroke, f, endpoint, "entry")
	}
	h.tracker.RecordCrash(endpoint, 1, h.now)
	h.now = h.now.Add(afterSettling)
}

func (h *harness) status(work protocol.Fingerprint) quarantine.Status {
	return h.tracker.Status(content(work), h.now)
}

func TestWorkIsRefusedAfterThreeCrashes(t *testing.T) {
	h, poison, concurrent := newHarness(), fingerprint(0), fingerprint(1)
	require.IsType(t, quarantine.Unrestricted{}, h.status(poison))
	h.crash("e-1", poison, concurrent)
	require.IsType(t, quarantine.PreferIsolation{}, h.status(poison))
	h.crash("e-2", poison)
	require.IsType(t, quarantine.RequireIsolation{}, h.status(poison))
	h.crash("e-3", poison)
	r, ok := h.status(poison).(quarantine.Refused)
	require.True(t, ok)
	require.Equal(t, 3, r.Crashes())
	require.IsType(t, quarantine.PreferIsolation{}, h.status(concurrent))
	all := h.tracker.NewRefusals(h.now, startTime)
	require.Len(t, all, 1)
	require.Equal(t, poison, all[0].Suspect())
	require.Len(t, all[0].Crashes(), 3)
	require.Empty(t, h.tracker.NewRefusals(h.now, startTime), "each refusal is returned once")
}

// TestIsolatedRunsSeparateConcurrentWork: two pieces of work share three crashes, so neither is
// refused. In isolation, one crashes a fourth endpoint and the other runs without a crash.
func TestIsolatedRunsSeparateConcurrentWork(t *testing.T) {
	h, poison, concurrent := newHarness(), fingerprint(0), fingerprint(1)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		h.crash(e, poison, concurrent)
	}
	require.IsType(t, quarantine.RequireIsolation{}, h.status(poison))
	require.IsType(t, quarantine.RequireIsolation{}, h.status(concurrent))
	h.report(protocol.WorkRan, concurrent, "e-5", "entry")
	h.crash("e-4", poison)
	require.IsType(t, quarantine.Refused{}, h.status(poison))
	require.IsType(t, quarantine.Unrestricted{}, h.status(concurrent))
}

func TestCrashWithSeveralObserversCountsOnce(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	for i := range 5 {
		h.report(protocol.WorkBroke, work, "e-1", fmt.Sprint("entry-", i))
	}
	h.crash("e-1", work)
	require.IsType(t, quarantine.PreferIsolation{}, h.status(work))
}

// TestFailuresWithoutCrashDoNotCount: connections are reset, responses are cut off, or an entry
// sends false reports.
func TestFailuresWithoutCrashDoNotCount(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	for i := range 6 {
		h.report(protocol.WorkBroke, work, fmt.Sprint("e-", i), "entry")
	}
	h.now = h.now.Add(afterSettling)
	require.IsType(t, quarantine.PreferIsolation{}, h.status(work))
	h.now = h.now.Add(10 * time.Second)
	require.IsType(t, quarantine.Unrestricted{}, h.status(work))
	h.tracker.RecordCrash("e-1", 1, h.now)
	require.IsType(t, quarantine.PreferIsolation{}, h.status(work), "the record of the next incarnation confirms it late")
}

// TestCrashConfirmsEarlierAndLaterReports: reports of the crash and of the failed work arrive in
// any order.
func TestCrashConfirmsEarlierAndLaterReports(t *testing.T) {
	for _, first := range []bool{true, false} {
		h, work := newHarness(), fingerprint(0)
		for i := range 3 {
			e := fmt.Sprint("e-", i)
			if first {
				h.tracker.RecordCrash(e, 1, h.now)
			}
			h.report(protocol.WorkBroke, work, e, "entry")
			if !first {
				h.tracker.RecordCrash(e, 1, h.now)
			}
			h.now = h.now.Add(time.Second)
		}
		require.IsType(t, quarantine.Refused{}, h.status(work))
	}
}

func TestCrashOfEarlierIncarnationConfirmsNothing(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	h.tracker.RecordCrash("e-1", 1, h.now)
	h.tracker.Apply(quarantine.NewReport(protocol.WorkReport{Work: work, Endpoint: "e-1", Incarnation: 2, Observer: "entry", Observation: protocol.WorkBroke}, h.now), h.now)
	h.now = h.now.Add(10 * time.Second)
	require.IsType(t, quarantine.Unrestricted{}, h.status(work))
}

// TestAnnouncedEndIsNoCrash: the announcement counts for the incarnation that made it, and its reports may be late.
func TestAnnouncedEndIsNoCrash(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	for i := range 3 {
		e := fmt.Sprint("e-", i)
		h.report(protocol.WorkBroke, work, e, "entry")
		h.now = h.now.Add(time.Second)
		h.tracker.RecordLeaving(e, 1, h.now)
		h.tracker.RecordCrash(e, 1, h.now.Add(time.Second))
		h.now = h.now.Add(2 * time.Second)
		h.report(protocol.WorkBroke, work, e, "other")
	}
	h.now = h.now.Add(10 * time.Second)
	require.Equal(t, quarantine.Unrestricted{}, h.status(work))
	for i := range 3 {
		e := fmt.Sprint("e-", i)
		h.tracker.Apply(quarantine.NewReport(protocol.WorkReport{Work: work, Endpoint: e, Incarnation: 2, Observer: "entry", Observation: protocol.WorkBroke}, h.now), h.now)
		h.tracker.RecordCrash(e, 2, h.now)
		h.now = h.now.Add(time.Second)
	}
	require.IsType(t, quarantine.Refused{}, h.status(work), "the next incarnations crashed")
}

// TestFailureLongAfterAnExitNeedsEvidenceOfItsOwn: what failed was sent when the endpoints had been gone for seconds.
func TestFailureLongAfterAnExitNeedsEvidenceOfItsOwn(t *testing.T) {
	for _, incarnation := range []protocol.Incarnation{0, 1} {
		h, work := newHarness(), fingerprint(0)
		fail := func(endsAgain bool) {
			for i := range 3 {
				e := fmt.Sprint("e-", i)
				h.now = h.now.Add(time.Second)
				h.tracker.Apply(quarantine.NewReport(protocol.WorkReport{Work: work, Endpoint: e, Incarnation: incarnation, Observer: "entry", Observation: protocol.WorkBroke}, h.now), h.now)
				if endsAgain {
					h.tracker.RecordCrash(e, incarnation, h.now)
				}
			}
			h.now = h.now.Add(afterSettling)
		}
		for i := range 3 {
			h.tracker.RecordCrash(fmt.Sprint("e-", i), incarnation, h.now)
		}
		fail(false)
		require.IsType(t, quarantine.PreferIsolation{}, h.status(work))
		fail(true)
		require.IsType(t, quarantine.Refused{}, h.status(work))
	}
}

// TestLateReportDoesNotUndoSuccessfulRun: a report that arrives late describes a time before the
// work ran successfully.
func TestLateReportDoesNotUndoSuccessfulRun(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	h.crash("e-1", work)
	h.crash("e-2", work)
	old := h.now
	h.now = h.now.Add(time.Second)
	require.True(t, h.report(protocol.WorkRan, work, "e-9", "entry"))
	late := protocol.WorkReport{Work: work, Endpoint: "e-3", Incarnation: 1, Observer: "other", Observation: protocol.WorkBroke}
	require.False(t, h.tracker.Apply(quarantine.NewReport(late, old), h.now))
	require.IsType(t, quarantine.Unrestricted{}, h.status(work))
	require.False(t, h.report(protocol.WorkRan, fingerprint(7), "e-9", "entry"), "work that is not suspected")
}

func TestRunBeforeCrashDoesNotClearWork(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	before := h.now
	h.crash("e-1", work)
	ran := protocol.WorkReport{Work: work, Endpoint: "e-2", Incarnation: 1, Observer: "other", Observation: protocol.WorkRan}
	require.False(t, h.tracker.Apply(quarantine.NewReport(ran, before), h.now))
	require.IsType(t, quarantine.PreferIsolation{}, h.status(work))
}

func TestRepeatedRefusalLastsLonger(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		h.crash(e, work)
	}
	first := h.status(work).(quarantine.Refused).Until()
	h.now = first
	require.IsType(t, quarantine.RequireIsolation{}, h.status(work))
	h.crash("e-4", work)
	r := h.status(work).(quarantine.Refused)
	require.Greater(t, r.Until().Sub(h.now), first.Sub(startTime))
	h.now = r.Until()
	h.report(protocol.WorkRan, work, "e-5", "entry")
	require.IsType(t, quarantine.Unrestricted{}, h.status(work), "the cause has been fixed")
}

// TestRefusalRepeatsBeyondStoredCrashes: work that crashes an endpoint after each refusal has more
// crashes than are remembered.
func TestRefusalRepeatsBeyondStoredCrashes(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	for i := range 40 {
		h.crash(fmt.Sprint("e-", i), work)
		if r, refused := h.status(work).(quarantine.Refused); refused {
			h.now = r.Until()
		}
		require.Equal(t, i >= 2, h.tracker.RefusedCount(h.now.Add(-time.Nanosecond)) == 1)
	}
}

func TestReportFromFutureIsIgnored(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	message := protocol.WorkReport{Work: work, Endpoint: "e", Incarnation: 1, Observer: "entry", Observation: protocol.WorkBroke}
	require.False(t, h.tracker.Apply(quarantine.NewReport(message, h.now.Add(time.Second)), h.now))
	require.True(t, h.tracker.Empty())
}

func TestStoredRefusalSurvivesRestart(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		h.crash(e, work)
	}
	all := h.tracker.NewRefusals(h.now, h.now)
	stored := protocol.RefusedWork{Crashes: all[0].Crashes(), UntilMS: all[0].Until().UnixMilli()}
	next := newHarness()
	next.now = h.now.Add(time.Minute)
	require.True(t, next.tracker.RestoreRefusal(work, &stored, next.now, next.now))
	require.IsType(t, quarantine.Refused{}, next.status(work))
	require.Equal(t, 1, next.tracker.RefusedCount(next.now))
	require.True(t, next.tracker.Release(work, next.now))
	require.IsType(t, quarantine.Unrestricted{}, next.status(work))
	require.False(t, next.tracker.Release(work, next.now))
}

// TestStoredRefusalsWithTheSameCrashesStay guards against refusals from the store that withdraw each other.
func TestStoredRefusalsWithTheSameCrashesStay(t *testing.T) {
	h, other := newHarness(), fingerprint(1)
	h.now = h.now.Add(time.Minute)
	stored := protocol.RefusedWork{UntilMS: h.now.Add(time.Minute).UnixMilli()}
	for n := range 3 {
		at := h.now.Add(time.Duration(n-10) * time.Second).UnixMilli()
		stored.Crashes = append(stored.Crashes, protocol.WorkCrash{Endpoint: fmt.Sprint("e-", n), Incarnation: 1, AtMS: at})
	}
	require.True(t, h.tracker.RestoreRefusal(fingerprint(0), &stored, h.now, h.now))
	require.True(t, h.tracker.RestoreRefusal(other, &stored, h.now, h.now))
	for range 3 {
		h.now = h.now.Add(time.Second)
		h.tracker.NewRefusals(h.now, h.now)
	}
	require.IsType(t, quarantine.Refused{}, h.status(fingerprint(0)))
	require.IsType(t, quarantine.Refused{}, h.status(other))
}

// TestStoredRefusalWithoutEvidenceIsIgnored: the record comes from another writer, or from one with
// a wrong clock.
func TestStoredRefusalWithoutEvidenceIsIgnored(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	crashes := []protocol.WorkCrash{{Endpoint: "a"}, {Endpoint: "b"}, {Endpoint: "c"}}
	soon, never := h.now.Add(time.Minute).UnixMilli(), h.now.Add(1000*time.Hour).UnixMilli()
	for name, r := range map[string]protocol.RefusedWork{
		"empty": {}, "two crashes": {Crashes: crashes[:2], UntilMS: soon}, "expired": {Crashes: crashes, UntilMS: h.now.UnixMilli()}, "too long": {Crashes: crashes, UntilMS: never},
		"the same crash": {Crashes: []protocol.WorkCrash{crashes[0], crashes[0], crashes[0]}, UntilMS: soon},
	} {
		require.False(t, h.tracker.RestoreRefusal(work, &r, h.now, h.now), name)
		require.IsType(t, quarantine.Unrestricted{}, h.status(work), name)
	}
}

func TestIsolatedRunReservesEndpoint(t *testing.T) {
	h, work, other := newHarness(), fingerprint(0), fingerprint(1)
	h.crash("e-1", work, other)
	h.crash("e-2", work, other)
	require.True(t, h.report(protocol.WorkIsolatedRun, work, "e-3", "entry"))
	require.False(t, h.report(protocol.WorkIsolatedRun, work, "e-3", "entry"), "already known")
	require.Equal(t, []string{"e-3"}, h.tracker.ReservedEndpoints(content(other), h.now))
	require.Empty(t, h.tracker.ReservedEndpoints(content(work), h.now))
	require.IsType(t, quarantine.Waiting{}, h.status(work), "one isolated run at a time")
	require.IsType(t, quarantine.RequireIsolation{}, h.status(other))
	require.False(t, h.report(protocol.WorkIsolatedRunOver, work, "e-3", "another"), "isolated run of another entry")
	require.True(t, h.report(protocol.WorkIsolatedRunOver, work, "e-3", "entry"))
	require.Empty(t, h.tracker.ReservedEndpoints(content(other), h.now))
	h.report(protocol.WorkIsolatedRun, work, "e-3", "entry")
	h.now = h.now.Add(time.Minute)
	require.Empty(t, h.tracker.ReservedEndpoints(content(other), h.now), "the end of an isolated run may not be reported")
}

func TestTrackerEvictsLeastSuspectedWork(t *testing.T) {
	h, poison := newHarness(), fingerprint(1_000_000)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		h.crash(e, poison)
	}
	for n := range 10_000 {
		h.now = h.now.Add(time.Microsecond)
		h.report(protocol.WorkBroke, fingerprint(n), "e-9", "entry")
	}
	h.tracker.RecordCrash("e-9", 1, h.now)
	require.IsType(t, quarantine.Refused{}, h.status(poison))
	require.IsType(t, quarantine.Unrestricted{}, h.status(fingerprint(0)))
	require.IsType(t, quarantine.PreferIsolation{}, h.status(fingerprint(9_999)))
	h.now = h.now.Add(1000 * time.Hour)
	h.tracker.NewRefusals(h.now, h.now)
	require.True(t, h.tracker.Empty())
}

// TestReportOrderDoesNotMatter applies the same reports to two trackers in different orders.
func TestReportOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type testReport struct {
			work, endpoint int
			crashed        bool
		}
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) testReport {
			return testReport{work: rapid.IntRange(0, 3).Draw(t, "work"), endpoint: rapid.IntRange(0, 5).Draw(t, "endpoint"), crashed: rapid.Bool().Draw(t, "crashed")}
		}), 0, 40).Draw(t, "reports")
		apply := func(order []int) []quarantine.Status {
			h := newHarness()
			for _, i := range order {
				r := reports[i]
				if r.crashed {
					h.tracker.RecordCrash(fmt.Sprint(r.endpoint), 1, h.now)
				} else {
					h.report(protocol.WorkBroke, fingerprint(r.work), fmt.Sprint(r.endpoint), "entry")
				}
			}
			h.now = h.now.Add(afterSettling)
			var all []quarantine.Status
			for w := range 4 {
				all = append(all, h.status(fingerprint(w)))
			}
			return all
		}
		order := make([]int, len(reports))
		for i := range order {
			order[i] = i
		}
		shuffled := append([]int(nil), order...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		require.Equal(t, apply(order), apply(shuffled))
	})
}
