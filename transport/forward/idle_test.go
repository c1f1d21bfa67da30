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

// TestIdleEntryDerivesNoView lets an endpoint change each 100 ms for ten seconds, before
// an entry that serves nobody and before one with a request that waits all the while.
func TestIdleEntryDerivesNoView(t *testing.T) {
	derived := func(busy bool) (n uint64) {
		synctest.Test(t, func(t *testing.T) {
			home := fleet.Entry{Name: "one", DataCenter: "a"}
			endpoints := &registry.Registry{Entry: home}
			f := &Forwarder{Home: home, Registry: endpoints, Routing: &routing.Store{}, Headers: plainHeaders{}, Counters: &metric.Set{}}
			table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{{Name: "llm", Engine: &protocol.EngineFacts{Layers: 10}}}})
			require.NoError(t, err)
			require.True(t, f.Routing.Offer(table))
			f.Start()
			defer f.Close()
			if busy {
				go f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)) // waits for the entry to open
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
