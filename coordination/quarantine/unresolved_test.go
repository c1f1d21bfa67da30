// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// failUnresolved fails work at an endpoint that may or may not have crashed.
func (h *harness) failUnresolved(endpoint string, works ...protocol.Fingerprint) {
	h.now = h.now.Add(50 * time.Millisecond)
	for _, f := range works {
		h.report(protocol.WorkBroke, f, endpoint, "entry")
	}
	h.tracker.RecordUnresolved(endpoint, 1, h.now)
}

// TestWorkWaitsForUnresolvedCrashes: a port that accepts connections while its engine is down
// leaves a crash unresolved. Work that is sent on in the meantime crashes each engine behind such a
// port.
func TestWorkWaitsForUnresolvedCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		resolve func(h *harness)
		want    quarantine.Status
	}{
		"both crashed": {
			resolve: func(h *harness) {
				h.tracker.RecordCrash("e-1", 1, h.now)
				h.tracker.RecordCrash("e-2", 1, h.now)
			},
			want: quarantine.RequireIsolation{},
		},
		"both are in the same incarnation": {
			resolve: func(h *harness) {
				h.tracker.RecordAnswer("e-1", 1, true, h.now)
				h.tracker.RecordAnswer("e-2", 1, true, h.now)
			},
			want: quarantine.Unrestricted{},
		},
		"both answer, maybe in the next incarnation": {
			resolve: func(h *harness) {
				h.tracker.RecordAnswer("e-1", 1, false, h.now)
				h.tracker.RecordAnswer("e-2", 1, false, h.now)
			},
			want: quarantine.PreferIsolation{},
		},
		"unresolved until the timeout": {
			resolve: func(h *harness) { h.now = h.now.Add(quarantine.UnresolvedTimeout) },
			want:    quarantine.PreferIsolation{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, work := newHarness(), fingerprint(0)
			h.failUnresolved("e-1", work)
			require.IsType(t, quarantine.PreferIsolation{}, h.status(work), "one further attempt is allowed")
			h.failUnresolved("e-2", work)
			require.IsType(t, quarantine.Waiting{}, h.status(work))
			c.resolve(h)
			require.IsType(t, c.want, h.status(work))
		})
	}
}

// TestUnresolvedReportOfPeerDelaysWork: work also waits for a crash that another entry has not
// resolved, but no longer than UnresolvedTimeout after the failure, because reports may arrive
// late.
func TestUnresolvedReportOfPeerDelaysWork(t *testing.T) {
	for ago, status := range map[time.Duration]quarantine.Status{
		time.Millisecond: quarantine.Waiting{}, quarantine.UnresolvedTimeout: quarantine.PreferIsolation{},
	} {
		h, work := newHarness(), fingerprint(0)
		for _, e := range []string{"e-1", "e-2"} {
			message := protocol.WorkReport{Work: work, Endpoint: e, Incarnation: 1, Observer: "entry", Observation: protocol.WorkBroke}
			h.tracker.Apply(quarantine.NewReport(message, h.now.Add(-ago)).AsUnresolved(), h.now)
		}
		require.IsType(t, status, h.status(work), ago)
	}
}

// TestLaterCrashOfSameIncarnationDoesNotCount: the endpoint answered a probe in the same
// incarnation, and was stopped for another reason later.
func TestLaterCrashOfSameIncarnationDoesNotCount(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	h.failUnresolved("e-1", work)
	h.tracker.RecordAnswer("e-1", 1, true, h.now)
	h.now = h.now.Add(10 * time.Second)
	h.tracker.RecordCrash("e-1", 1, h.now)
	require.IsType(t, quarantine.Unrestricted{}, h.status(work))
}

// TestAnswerToEarlierProbeClearsNothing: the work failed after the probe was sent.
func TestAnswerToEarlierProbeClearsNothing(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	probedAt := h.now
	h.failUnresolved("e-1", work)
	h.failUnresolved("e-2", work)
	h.tracker.RecordAnswer("e-1", 1, true, probedAt)
	require.IsType(t, quarantine.Waiting{}, h.status(work))
}
