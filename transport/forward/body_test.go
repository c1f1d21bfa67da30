// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
)

// recordingWriter records how many bytes of bodies are held when a response begins.
type recordingWriter struct {
	*httptest.ResponseRecorder
	counters *metric.Set
	held     int64
}

func (w *recordingWriter) WriteHeader(status int) {
	w.held = w.counters.Value(string(metric.HeldBodyBytes))
	w.ResponseRecorder.WriteHeader(status)
}

// TestRefusedBodyIsReleasedBeforeRefusalIsWritten guards against a body that stays reserved while
// its refusal waits for a slow caller. Other bodies need that memory in the meantime.
func TestRefusedBodyIsReleasedBeforeRefusalIsWritten(t *testing.T) {
	table, err := routing.Build(protocol.Routing{
		Version: 1, Services: []protocol.RoutedService{{Name: "plain"}},
		Routes: []protocol.Route{{
			Host: "h.example", Prefix: "/", Repeat: protocol.AtMostOnce, TimeoutMS: 4000, MaxAttempts: 1,
			Targets: []protocol.Target{{Service: "plain", Weight: 1}},
		}},
	})
	require.NoError(t, err)
	counters := &metric.Set{}
	budget := &backlog.Budget{Counters: counters}
	budget.SetLimit(512 << 10)
	f := &Forwarder{Routing: &routing.Store{}, Registry: &registry.Registry{}, Headers: plainHeaders{}, Counters: counters, MemoryBudget: budget}
	f.Routing.Offer(table)
	f.Routing.Confirm(time.Now())
	f.Registry.Replace(nil, time.Now())
	w := &recordingWriter{ResponseRecorder: httptest.NewRecorder(), counters: counters, held: -1}
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", 400<<10)))
	r.Host = "h.example"
	f.ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Zero(t, w.held)
	require.Zero(t, counters.Value(string(metric.HeldBodyBytes)), "released exactly once")
}
