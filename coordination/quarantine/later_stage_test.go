// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// crashLaterStage crashes an endpoint that is a later stage of the paths of some work.
func (h *harness) crashLaterStage(endpoint string, works ...protocol.Fingerprint) {
	h.now = h.now.Add(time.Second)
	h.tracker.RecordCrash(endpoint, 1, h.now)
	for _, f := range works {
		h.report(protocol.WorkBrokeAtLaterStage, f, endpoint, "entry")
	}
	h.now = h.now.Add(afterSettling)
}

// TestLaterStageCrashesCountFromThird: every request that waits for a stage is present when the
// stage crashes. Such crashes therefore count from the third on, and refuse work only after an
// isolated run.
func TestLaterStageCrashesCountFromThird(t *testing.T) {
	h, poison, concurrent := newHarness(), fingerprint(0), fingerprint(1)
	h.crashLaterStage("e-1", poison, concurrent)
	h.crashLaterStage("e-2", poison, concurrent)
	require.IsType(t, quarantine.Unrestricted{}, h.status(poison))
	require.True(t, h.tracker.IsSuspected(content(poison)), "a successful run clears it")
	h.crashLaterStage("e-3", poison, concurrent)
	require.IsType(t, quarantine.RequireIsolation{}, h.status(poison))
	require.IsType(t, quarantine.RequireIsolation{}, h.status(concurrent))
	h.report(protocol.WorkRan, concurrent, "e-9", "entry")
	h.crashLaterStage("e-4", poison)
	require.IsType(t, quarantine.Refused{}, h.status(poison))
	require.IsType(t, quarantine.Unrestricted{}, h.status(concurrent))
}

// TestLaterStageCrashesAloneDoNotRefuse: when half of a fleet crashes at once, the same request
// waits for one stage after the other and must not be refused for it.
func TestLaterStageCrashesAloneDoNotRefuse(t *testing.T) {
	h, work, other := newHarness(), fingerprint(0), fingerprint(1)
	for i := range 8 {
		h.crashLaterStage(fmt.Sprint("e-", i), work, other)
		_, refused := h.status(work).(quarantine.Refused)
		require.False(t, refused)
	}
}

// TestSilentLaterStagesDoNotCount: a later stage that is only silent, or still runs, is no crash.
func TestSilentLaterStagesDoNotCount(t *testing.T) {
	h, work := newHarness(), fingerprint(0)
	for i := range 4 {
		h.report(protocol.WorkBrokeAtLaterStage, work, fmt.Sprint("e-", i), "entry")
	}
	require.IsType(t, quarantine.Unrestricted{}, h.status(work))
}
