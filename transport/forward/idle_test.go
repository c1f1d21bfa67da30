// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
)

// TestIdleEntryDerivesNoView guards against entries without open requests that derive a view for
// each change of an endpoint. An endpoint changes every 100 ms for ten seconds, once without any
// request and once while a request waits.
func TestIdleEntryDerivesNoView(t *testing.T) {
	derived := func(busy bool) (n uint64) {
		synctest.Test(t, func(t *testing.T) {
			local := fleet.Entry{Name: "one", DataCenter: "a"}
			endpoints := &registry.Registry{Entry: local}
			f := &Forwarder{Entry: local, Registry: endpoints, Routing: &routing.Store{}, Headers: plainHeaders{}, Counters: &metric.Set{}}
			table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{{Name: "llm", Engine: &protocol.EngineSpec{Layers: 10}}}})
			require.NoError(t, err)
			require.True(t, f.Routing.Offer(table))
			f.Start()
			defer f.Close()
			if busy {
				go f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)) // waits for the entry's startup
			}
			for i := range 100 {
				endpoints.Add(protocol.Endpoint{ID: fmt.Sprint("e-", i), Service: "llm", DataCenter: "a"})
				time.Sleep(100 * time.Millisecond)
			}
			n = endpoints.Rebuilds()
		})
		return n
	}
	require.Positive(t, derived(true))
	require.Zero(t, derived(false))
}
