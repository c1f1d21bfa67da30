// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// reportParts applies an observation about a request with parts.
func (h *harness) reportParts(observation protocol.WorkObservation, endpoint string, work protocol.Fingerprint, parts ...protocol.Fingerprint) bool {
	return h.tracker.Apply(quarantine.NewReport(protocol.WorkReport{
		Work: work, Parts: parts, Endpoint: endpoint, Incarnation: 1, Observer: "entry", Observation: observation,
	}, h.now), h.now)
}

// vouch applies the report of an entry that a part ran well there at an earlier time.
func (h *harness) vouch(part protocol.Fingerprint, at time.Time) {
	h.tracker.Apply(quarantine.NewReport(protocol.WorkReport{
		Work: part, Parts: []protocol.Fingerprint{part}, Endpoint: "e", Observer: "entry", Observation: protocol.WorkRan,
	}, at), h.now)
}

// crashParts crashes an endpoint that runs one request, and waits until all reports may have arrived.
func (h *harness) crashParts(endpoint string, work protocol.Fingerprint, parts ...protocol.Fingerprint) {
	h.now = h.now.Add(time.Second)
	h.reportParts(protocol.WorkBroke, endpoint, work, parts...)
	h.tracker.RecordCrash(endpoint, 1, h.now)
	h.now = h.now.Add(afterSettling)
	h.tracker.NewRefusals(h.now, h.now)
}

func (h *harness) partStatus(work protocol.Fingerprint, parts ...protocol.Fingerprint) quarantine.Status {
	return h.tracker.Status(content(work, parts...), h.now)
}

var first, bad, companion = fingerprint(500), fingerprint(501), fingerprint(502)

func TestDifferentRequestsWithOnePartAreRefused(t *testing.T) {
	h := newHarness()
	for n := range 3 {
		_, refused := h.partStatus(fingerprint(100), bad).(quarantine.Refused)
		require.False(t, refused, "after %d crashes", n)
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), bad)
	}
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(100), bad), "whatever else the request holds")
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(101)), "a request without the part")
}

// TestOneRepeatedRequestDoesNotRefuseItsParts repeats the same work: its own part may be the cause.
func TestOneRepeatedRequestDoesNotRefuseItsParts(t *testing.T) {
	h := newHarness()
	for n := range 3 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(0), bad)
	}
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(0), bad))
	require.Equal(t, fmt.Sprintf("%T", quarantine.RequireIsolation{}), fmt.Sprintf("%T", h.partStatus(fingerprint(1), bad)))
	h.crashParts("e-3", fingerprint(1), bad)
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(2), bad))
}

// TestRequestWithAnotherPartOfAnEarlierCrashIsNoIsolatedRun guards against a verdict on what runs beside a part that crashed just before.
func TestRequestWithAnotherPartOfAnEarlierCrashIsNoIsolatedRun(t *testing.T) {
	h, other := newHarness(), fingerprint(510)
	for n := range 2 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), first)
	}
	h.now = h.now.Add(time.Second)
	h.reportParts(protocol.WorkBroke, "other", fingerprint(20), other)
	h.tracker.RecordCrash("other", 1, h.now)
	h.now = h.now.Add(100 * time.Millisecond)
	h.reportParts(protocol.WorkBroke, "e-2", fingerprint(2), first)
	h.reportParts(protocol.WorkBroke, "e-2", fingerprint(21), other)
	h.tracker.RecordCrash("e-2", 1, h.now)
	h.now = h.now.Add(afterSettling)
	require.Empty(t, h.tracker.NewRefusals(h.now, h.now))
}

// refusePartThatRanWell crashes endpoints with a part that ran well before until it is refused.
func (h *harness) refusePartThatRanWell(t *testing.T) {
	h.vouch(first, h.now)
	for n := range 6 {
		_, refused := h.partStatus(fingerprint(100), first).(quarantine.Refused)
		require.False(t, refused, "after %d crashes", n)
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), first)
	}
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(100), first))
}

// TestTrialClearsPartThatRanWell guards against a wrong verdict on what all requests share, which no run can refute.
func TestTrialClearsPartThatRanWell(t *testing.T) {
	h := newHarness()
	h.refusePartThatRanWell(t)
	trialAt := h.partStatus(fingerprint(100), first).(quarantine.Refused).Until()
	require.LessOrEqual(t, trialAt.Sub(h.now), 2*time.Second)
	h.now = trialAt
	require.Equal(t, fmt.Sprintf("%T", quarantine.RequireIsolation{}), fmt.Sprintf("%T", h.partStatus(fingerprint(100), first)))
	h.reportParts(protocol.WorkIsolatedRun, "e", fingerprint(100), first)
	require.IsType(t, quarantine.Waiting{}, h.partStatus(fingerprint(101), first), "one request finds out")
	h.now = h.now.Add(time.Second)
	h.reportParts(protocol.WorkRan, "e", fingerprint(100), first)
	h.reportParts(protocol.WorkIsolatedRunOver, "e", fingerprint(100), first)
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(101), first))
}

// TestFailedTrialIsTheLast guards against trials that crash one endpoint after another.
func TestFailedTrialIsTheLast(t *testing.T) {
	h := newHarness()
	h.refusePartThatRanWell(t)
	h.now = h.partStatus(fingerprint(100), first).(quarantine.Refused).Until()
	h.crashParts("e-6", fingerprint(100), first)
	until := h.partStatus(fingerprint(101), first).(quarantine.Refused).Until()
	require.GreaterOrEqual(t, until.Sub(h.now), 10*time.Minute)
	h.now = until.Add(-time.Second)
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(101), first))
}

// TestLateReportOfFailureBeforeGoodRunIsIgnored guards against crashes that accuse a part which has run well since.
func TestLateReportOfFailureBeforeGoodRunIsIgnored(t *testing.T) {
	h := newHarness()
	failedAt := h.now
	h.now = h.now.Add(time.Second)
	h.reportParts(protocol.WorkRan, "e", fingerprint(100), first)
	for n := range 8 {
		h.tracker.RecordCrash(fmt.Sprint("e-", n), 1, failedAt)
		h.tracker.Apply(quarantine.NewReport(protocol.WorkReport{
			Work: fingerprint(n), Parts: []protocol.Fingerprint{first}, Endpoint: fmt.Sprint("e-", n), Incarnation: 1, Observer: "entry", Observation: protocol.WorkBroke,
		}, failedAt.Add(time.Duration(n)*50*time.Millisecond)), h.now)
	}
	h.now = h.now.Add(afterSettling)
	require.Empty(t, h.tracker.NewRefusals(h.now, h.now))
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(101), first))
}

// TestPartThatRanWellIsNotRefusedForBadPartBesideIt guards against a verdict on the subject of requests with a bad part, for earlier crashes.
func TestPartThatRanWellIsNotRefusedForBadPartBesideIt(t *testing.T) {
	h := newHarness()
	subject := fingerprint(510)
	h.vouch(subject, h.now)
	for n := range 4 {
		h.crashParts(fmt.Sprint("early-", n), fingerprint(n), subject)
	}
	for n := range 3 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(10+n), bad, subject)
	}
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(100), bad))
	_, refused := h.partStatus(fingerprint(101), subject).(quarantine.Refused)
	require.False(t, refused, "the bad part explains the last crashes")
}

// TestCrashesAtTwoMomentsRefuseNoPartThatRanWell guards against a verdict on what all requests share, after a cut broke off many at once.
func TestCrashesAtTwoMomentsRefuseNoPartThatRanWell(t *testing.T) {
	h := newHarness()
	h.vouch(first, h.now)
	for n := range 5 {
		h.now = h.now.Add(40 * time.Millisecond)
		h.reportParts(protocol.WorkBroke, fmt.Sprint("e-", n), fingerprint(n), first)
		h.tracker.RecordCrash(fmt.Sprint("e-", n), 1, h.now)
	}
	for n := range 2 {
		h.crashParts(fmt.Sprint("late-", n), fingerprint(10+n), first)
	}
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(100), first))
}

// TestCrashesAtOneMomentDoNotPushOutEarlierOnes guards against a part that crashes several endpoints at a time for ever.
func TestCrashesAtOneMomentDoNotPushOutEarlierOnes(t *testing.T) {
	h := newHarness()
	h.vouch(bad, h.now)
	for n := range 6 {
		h.now = h.now.Add(time.Second)
		for i := range 4 {
			id := fmt.Sprint("e-", n, "-", i)
			h.reportParts(protocol.WorkBroke, id, fingerprint(4*n+i), bad)
			h.tracker.RecordCrash(id, 1, h.now)
		}
	}
	require.Equal(t, fmt.Sprintf("%T", quarantine.RequireIsolation{}), fmt.Sprintf("%T", h.partStatus(fingerprint(100), bad)))
}

// TestCrashesAtOneMomentRefuseNoSharedPart guards against a verdict from crashes whose requests were all sent before the first of them.
func TestCrashesAtOneMomentRefuseNoSharedPart(t *testing.T) {
	h := newHarness()
	for n := range 3 {
		h.now = h.now.Add(45 * time.Millisecond)
		h.reportParts(protocol.WorkBroke, fmt.Sprint("e-", n), fingerprint(n), first)
		h.tracker.RecordCrash(fmt.Sprint("e-", n), 1, h.now)
	}
	h.now = h.now.Add(afterSettling)
	require.Empty(t, h.tracker.NewRefusals(h.now, h.now))
	require.Equal(t, fmt.Sprintf("%T", quarantine.RequireIsolation{}), fmt.Sprintf("%T", h.partStatus(fingerprint(100), first)), "one request finds out")
	h.crashParts("e-3", fingerprint(3), first)
	require.IsType(t, quarantine.Waiting{}, h.partStatus(fingerprint(100), first), "no further run begins")
	h.now = h.now.Add(evidenceTime)
	require.Len(t, h.tracker.NewRefusals(h.now, h.now), 1)
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(100), first), "a crash after those is that of an isolated run")
}

// TestRunsAtWorkAreAwaitedBeforeAPartIsRefused guards against the refusal of a part that all requests share, after a start
// from nothing, by three crashes that came before the runs at sound endpoints had shown anything.
func TestRunsAtWorkAreAwaitedBeforeAPartIsRefused(t *testing.T) {
	for _, ran := range []bool{false, true} {
		h := newHarness()
		for n, gap := range []time.Duration{20 * time.Millisecond, 35 * time.Millisecond, 270 * time.Millisecond} {
			h.now = h.now.Add(gap)
			h.reportParts(protocol.WorkBroke, fmt.Sprint("e-", n), fingerprint(n), first)
			h.tracker.RecordCrash(fmt.Sprint("e-", n), 1, h.now)
		}
		third := h.now
		for h.now.Before(third.Add(evidenceTime - 400*time.Millisecond)) {
			h.now = h.now.Add(20 * time.Millisecond)
			require.Empty(t, h.tracker.NewRefusals(h.now, h.now))
			status := h.partStatus(fingerprint(100), first)
			require.NotEqual(t, "quarantine.Refused", fmt.Sprintf("%T", status))
			require.NotEqual(t, quarantine.Unrestricted{}, status, "one request at a time at most")
		}
		if ran {
			require.True(t, h.reportParts(protocol.WorkRan, "e-9", fingerprint(7), first))
			require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(100), first))
		}
		h.now = h.now.Add(evidenceTime)
		h.tracker.NewRefusals(h.now, h.now)
		_, refused := h.partStatus(fingerprint(100), first).(quarantine.Refused)
		require.Equal(t, !ran, refused, "the part is refused unless a run showed that it is sound")
	}
}

func TestRunOfAnyRequestClearsPart(t *testing.T) {
	h := newHarness()
	for n := range 3 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), first, bad)
	}
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(100), first, bad))
	require.True(t, h.reportParts(protocol.WorkRan, "e-9", fingerprint(7), first))
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(100), first))
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(100), bad), "the other part is the cause")
}

// TestPartThatRanWellBeforeIsNotSuspectedForOneCrash crashes one endpoint with a dozen requests that share a part.
func TestPartThatRanWellBeforeIsNotSuspectedForOneCrash(t *testing.T) {
	h := newHarness()
	ranAt := h.now
	h.now = h.now.Add(50 * time.Minute)
	for n := range 12 {
		h.reportParts(protocol.WorkBroke, "e-1", fingerprint(n), first)
	}
	h.vouch(first, ranAt)
	h.tracker.RecordCrash("e-1", 1, h.now)
	h.now = h.now.Add(afterSettling)
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(100), first))
}

// evidenceTime is how long after its first crash a part that nobody remembers to have run well is not refused.
const evidenceTime = 1500 * time.Millisecond

// TestOutageRestrictsNoPart crashes a dozen endpoints at once, as the loss of a data center does.
func TestOutageRestrictsNoPart(t *testing.T) {
	h := newHarness()
	ranAt := h.now
	h.now = h.now.Add(time.Minute)
	for n := range 12 {
		for r := range 10 {
			h.reportParts(protocol.WorkBroke, fmt.Sprint("e-", n), fingerprint(10*n+r), first)
		}
		h.tracker.RecordCrash(fmt.Sprint("e-", n), 1, h.now)
	}
	h.vouch(first, ranAt)
	h.now = h.now.Add(afterSettling)
	require.Empty(t, h.tracker.NewRefusals(h.now, h.now))
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(1001), first))
}

// TestPartThatRanWellAndTurnsBadIsRefused crashes one endpoint after the other with a part that ran well before.
func TestPartThatRanWellAndTurnsBadIsRefused(t *testing.T) {
	h := newHarness()
	h.reportParts(protocol.WorkRan, "e-0", fingerprint(1000), bad)
	crashes := 0
	for ; crashes < 20; crashes++ {
		if _, refused := h.partStatus(fingerprint(2000), bad).(quarantine.Refused); refused {
			break
		}
		h.crashParts(fmt.Sprint("e-", crashes), fingerprint(crashes), bad)
	}
	require.Equal(t, 6, crashes)
}

// TestSoundPartThatIsAlwaysBesideTheBadOneMayRunAlone separates two parts by a request with one of them.
func TestSoundPartThatIsAlwaysBesideTheBadOneMayRunAlone(t *testing.T) {
	h := newHarness()
	for n := range 3 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), bad, companion)
	}
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(100), bad, companion))
	require.IsType(t, quarantine.RequireIsolation{}, h.partStatus(fingerprint(101), companion))
	h.reportParts(protocol.WorkRan, "e-9", fingerprint(101), companion)
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(102), companion))
	require.IsType(t, quarantine.Refused{}, h.partStatus(fingerprint(103), bad), "the other one is the cause")
}

// TestPartOfAnotherTeamIsClearedByItsRuns lets a team add the part of another one to its own crashing requests.
func TestPartOfAnotherTeamIsClearedByItsRuns(t *testing.T) {
	h := newHarness()
	for n := range 40 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), first, bad)
		h.reportParts(protocol.WorkRan, "e-x", fingerprint(1000+n), first)
		require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(2000+n), first), "after %d crashes", n+1)
	}
}

// TestRefusalOfPartEndsAndOneRunDecides covers an engine whose fault is mended while a part is refused.
func TestRefusalOfPartEndsAndOneRunDecides(t *testing.T) {
	h := newHarness()
	for n := range 3 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), bad)
	}
	refused := h.partStatus(fingerprint(100), bad).(quarantine.Refused)
	h.now = refused.Until()
	h.tracker.NewRefusals(h.now, h.now)
	require.IsType(t, quarantine.RequireIsolation{}, h.partStatus(fingerprint(100), bad))
	require.True(t, h.reportParts(protocol.WorkIsolatedRun, "e-9", fingerprint(100), bad))
	require.IsType(t, quarantine.Waiting{}, h.partStatus(fingerprint(101), bad), "one run at a time")
	h.reportParts(protocol.WorkRan, "e-9", fingerprint(100), bad)
	require.Equal(t, quarantine.Unrestricted{}, h.partStatus(fingerprint(101), bad))
}

func TestStoredRefusalOfPartSurvivesRestart(t *testing.T) {
	h := newHarness()
	for n := range 2 {
		h.crashParts(fmt.Sprint("e-", n), fingerprint(n), bad, companion)
	}
	h.now = h.now.Add(time.Second)
	h.reportParts(protocol.WorkBroke, "e-2", fingerprint(2), bad, companion)
	h.tracker.RecordCrash("e-2", 1, h.now)
	h.now = h.now.Add(afterSettling)
	restarted := newHarness()
	restarted.now = h.now.Add(time.Minute)
	refusals := h.tracker.NewRefusals(h.now, h.now)
	require.Len(t, refusals, 2)
	for i := range refusals {
		r := &refusals[i]
		stored := protocol.RefusedWork{Crashes: r.Crashes(), UntilMS: r.Until().UnixMilli(), Part: r.Part()}
		for _, f := range r.With() {
			stored.With = append(stored.With, f.String())
		}
		require.True(t, restarted.tracker.RestoreRefusal(r.Suspect(), &stored, restarted.now, restarted.now))
	}
	restarted.tracker.NewRefusals(restarted.now, restarted.now)
	require.IsType(t, quarantine.Refused{}, restarted.partStatus(fingerprint(100), bad, companion))
	require.IsType(t, quarantine.RequireIsolation{}, restarted.partStatus(fingerprint(101), companion), "it may be the sound one")
	require.True(t, restarted.tracker.Release(bad, restarted.now))
	require.True(t, restarted.tracker.Release(companion, restarted.now))
	require.Equal(t, quarantine.Unrestricted{}, restarted.partStatus(fingerprint(100), bad, companion))
}

// partModel is a tracker, and what really happened to parts.
type partModel struct {
	model
	ranAt   map[int]time.Time                         // when each part last ran well
	crashes map[int]map[endpointIncarnation]time.Time // the crashes that each part was in
}

// drawParts draws up to three of five parts.
func drawParts(t *rapid.T) []int {
	return rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 3, rapid.ID[int]).Draw(t, "parts")
}

func (m *partModel) observe(t *rapid.T, observation protocol.WorkObservation) {
	m.now = m.now.Add(time.Millisecond)
	parts, endpoint := drawParts(t), drawEndpoint(t)
	var all []protocol.Fingerprint
	id := endpointIncarnation{endpoint, m.incarnations[endpoint]}
	for _, n := range parts {
		all = append(all, fingerprint(500+n))
		if observation == protocol.WorkRan {
			m.ranAt[n] = m.now
			continue
		}
		if m.crashes[n] == nil {
			m.crashes[n] = make(map[endpointIncarnation]time.Time)
		}
		if _, known := m.crashes[n][id]; !known || m.crashes[n][id].Before(m.ranAt[n]) {
			m.crashes[n][id] = m.now
		}
	}
	message := protocol.WorkReport{
		Work: fingerprint(rapid.IntRange(0, 30).Draw(t, "work")), Parts: all, Endpoint: fmt.Sprint(endpoint), Incarnation: id.incarnation, Observer: "entry", Observation: observation,
	}
	for range rapid.IntRange(1, 2).Draw(t, "times") {
		m.tracker.Apply(quarantine.NewReport(message, m.now), m.now)
	}
}

// checkParts requires that no part is restricted without the crashes that justify it.
func (m *partModel) checkParts(t *rapid.T) {
	for n := range 5 {
		crashes := 0
		for id, at := range m.crashes[n] {
			if m.crashed[id] && at.After(m.ranAt[n]) {
				crashes++
			}
		}
		switch s := m.tracker.Status(content(fingerprint(1000), fingerprint(500+n)), m.now).(type) {
		case quarantine.Refused:
			if crashes < minRefusalCrashes || !m.ranAt[n].IsZero() && crashes < 6 {
				t.Fatalf("part %d is refused after %d crashes, ran at %s", n, crashes, m.ranAt[n])
			}
		case quarantine.RequireIsolation:
			if crashes == 0 {
				t.Fatalf("part %d must run in isolation, but was in no crash since it ran well", n)
			}
		case quarantine.PreferIsolation:
			t.Fatalf("part %d restricts a request after a single crash", n)
		case quarantine.Waiting:
			if wait := s.Until().Sub(m.now); wait > maxWait || wait <= 0 {
				t.Fatalf("part %d waits for %s", n, wait)
			}
		}
	}
}

// TestOnlyRealCrashesCountAgainstParts lets requests with shared parts fail and run, endpoints leave, crash, restart and answer
// probes, and reports arrive twice and out of order.
func TestOnlyRealCrashesCountAgainstParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &partModel{model: *newModel(), ranAt: make(map[int]time.Time), crashes: make(map[int]map[endpointIncarnation]time.Time)}
		t.Repeat(map[string]func(*rapid.T){
			"":            m.checkParts,
			"fails":       func(t *rapid.T) { m.observe(t, protocol.WorkBroke) },
			"succeeds":    func(t *rapid.T) { m.observe(t, protocol.WorkRan) },
			"leaves":      m.leave,
			"ends":        m.end,
			"answers":     m.answerProbe,
			"time passes": m.advance,
		})
	})
}
