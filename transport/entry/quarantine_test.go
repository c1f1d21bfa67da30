// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
)

// loadServer serves the load reports of test runners.
type loadServer struct {
	incarnation protocol.Incarnation
}

func (s *loadServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(protocol.LoadReport{Incarnation: s.incarnation})
}

// newWorkQuarantine returns the quarantine of an entry with three runners that report the given
// incarnation.
func newWorkQuarantine(t *testing.T, incarnation protocol.Incarnation) *workQuarantine {
	var specs []protocol.Runner
	for _, name := range []string{"a", "b", "c"} {
		s := httptest.NewServer(&loadServer{incarnation: incarnation})
		t.Cleanup(s.Close)
		specs = append(specs, protocol.Runner{
			Name: name, VM: name, DataCenter: "dc", Accelerator: "x", Model: "m", To: 1, Speed: 1, Epoch: 1, Address: s.Listener.Addr().String(),
		})
	}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "m", Version: "1", Layers: 1, MaxOpen: 1, Context: 9}}, protocol.Fleet{Name: "dc", Runners: specs})
	require.NoError(t, err)
	e := &Entry{}
	e.quarantine.entry, e.quarantine.tracker.Self = e, "e1"
	e.view.Store(fleet.NewViewFromConfig(nil, c, fleet.Entry{Name: "e1", DataCenter: "dc"}))
	t.Cleanup(e.quarantine.close)
	return &e.quarantine
}

// crashReports returns reports that the connections of some work broke at incarnation 1000 of each
// runner, one after the other.
func crashReports(work protocol.Fingerprint) []protocol.WorkReport {
	var reports []protocol.WorkReport
	for i, name := range []string{"a", "b", "c"} {
		reports = append(reports, protocol.WorkReport{
			Work: work, Endpoint: name, Incarnation: 1000, Observer: "e2", Observation: protocol.WorkBroke, AgoMS: float64(900 - 300*i),
		})
	}
	return reports
}

// awaitStatus waits until no probe is running, and returns the status of the work.
func awaitStatus(t *testing.T, q *workQuarantine, work protocol.Fingerprint) quarantine.Status {
	t.Helper()
	require.Eventually(t, func() bool { return q.crashChecks.Open() == 0 }, time.Minute, time.Millisecond)
	content := quarantine.NewContent(work, nil)
	return q.tracker.Status(&content, clock.Now())
}

// TestUnconfirmedPeerReportsRefuseNothing receives reports of crashes of runners whose load reports
// name the same incarnation as before. Such reports must not get work refused.
func TestUnconfirmedPeerReportsRefuseNothing(t *testing.T) {
	q := newWorkQuarantine(t, 1000)
	work := protocol.Fingerprint{1}
	q.receive(crashReports(work), "e2")
	require.Equal(t, quarantine.Unrestricted{}, awaitStatus(t, q, work))
}

// TestPeerReportedCrashesCountOnceConfirmed receives the same reports from two peers, about runners
// that report a later incarnation. Each crash must count, and count once.
func TestPeerReportedCrashesCountOnceConfirmed(t *testing.T) {
	q := newWorkQuarantine(t, 2000)
	work := protocol.Fingerprint{1}
	q.receive(crashReports(work), "e2")
	q.receive(crashReports(work), "e3") // the same crashes from another peer
	refused, ok := awaitStatus(t, q, work).(quarantine.Refused)
	require.True(t, ok)
	require.Equal(t, 3, refused.Crashes())
}
