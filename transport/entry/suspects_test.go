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

// told is what runners of a test say of themselves.
type told struct {
	born protocol.Incarnation
}

func (s *told) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(protocol.LoadReport{Lifetime: s.born})
}

// newSuspects returns an entry's suspects before three runners that say that they were born at a time.
func newSuspects(t *testing.T, born protocol.Incarnation) *suspects {
	var specs []protocol.Runner
	for _, name := range []string{"a", "b", "c"} {
		s := httptest.NewServer(&told{born: born})
		t.Cleanup(s.Close)
		specs = append(specs, protocol.Runner{
			Name: name, VM: name, DataCenter: "dc", Accelerator: "x", Model: "m", To: 1, Speed: 1, Epoch: 1, Address: s.Listener.Addr().String(),
		})
	}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "m", Version: "1", Layers: 1, Open: 1, Context: 9}}, protocol.Fleet{Name: "dc", Runners: specs})
	require.NoError(t, err)
	e := &Entry{}
	e.suspects.entry, e.suspects.book.Self = e, "e1"
	e.view.Store(fleet.NewViewFromConfig(nil, c, fleet.Entry{Name: "e1", DataCenter: "dc"}))
	t.Cleanup(e.suspects.close)
	return &e.suspects
}

// news says that some work broke at the first life of each runner, one after the other.
func news(work protocol.Fingerprint) []protocol.RelayWork {
	var all []protocol.RelayWork
	for i, name := range []string{"a", "b", "c"} {
		all = append(all, protocol.RelayWork{
			Work: work, Endpoint: name, Incarnation: 1000, Observer: "e2", Observation: protocol.WorkBroke, AgoMS: float64(900 - 300*i),
		})
	}
	return all
}

// settled waits until no runner is asked any more, and returns what the work may do then.
func settled(t *testing.T, s *suspects, work protocol.Fingerprint) quarantine.Status {
	t.Helper()
	require.Eventually(t, func() bool { return s.endings.Open() == 0 }, time.Minute, time.Millisecond)
	return s.book.Status(work, clock.Now())
}

// TestAPeersWordAloneRefusesNobody tells of ends of runners that are in the same life, which they say.
func TestAPeersWordAloneRefusesNobody(t *testing.T) {
	s := newSuspects(t, 1000)
	work := protocol.Fingerprint{1}
	s.hear(news(work), "e2")
	require.Equal(t, quarantine.Unrestricted{}, settled(t, s, work))
}

// TestEndsThatAPeerTellsCountOnceTheyShow tells the same of runners that are in a later life.
func TestEndsThatAPeerTellsCountOnceTheyShow(t *testing.T) {
	s := newSuspects(t, 2000)
	work := protocol.Fingerprint{1}
	s.hear(news(work), "e2")
	s.hear(news(work), "e3") // and again
	refused, ok := settled(t, s, work).(quarantine.Refused)
	require.True(t, ok)
	require.Equal(t, 3, refused.Crashes())
}
