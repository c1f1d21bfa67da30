// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/forward"
)

// noHeaders is a header codec that reads and sets no headers.
type noHeaders struct{}

func (noHeaders) ParseRequest(http.Header, time.Time) protocol.RequestTerms {
	return protocol.RequestTerms{}
}
func (noHeaders) SetAttemptHeaders(http.Header, *protocol.AttemptTerms, time.Time) {}
func (noHeaders) ParseResponse(int, http.Header, time.Time) (terms protocol.AnswerTerms) {
	return terms
}

// testCaller sends a request right after the start of a front.
type testCaller struct {
	front  *Front
	answer *httptest.ResponseRecorder
	done   bool
}

func (c *testCaller) run() {
	c.front.forwarder.ServeHTTP(c.answer, httptest.NewRequest(http.MethodGet, "/anything", nil))
	c.done = true
}

// TestStartupWaitsForKeyConfirmation checks that requests wait until the keys are confirmed. The
// table and the endpoints arrive some milliseconds before the platform confirms that no key was
// withdrawn since; callers with keys would be refused in between.
func TestStartupWaitsForKeyConfirmation(t *testing.T) {
	for hasKeys, wantWait := range map[bool]bool{true: true, false: false} {
		synctest.Test(t, func(t *testing.T) {
			table := protocol.Routing{Version: 1}
			if hasKeys {
				table.Teams = []protocol.RoutedTeam{{Name: "team", Keys: []string{"key"}}}
			}
			f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: fixedDecoder{table: table}}}
			f.forwarder = forward.Forwarder{Routing: &f.routing, Registry: &f.endpoints, Headers: noHeaders{}, Counters: f.Counters}
			f.forwarder.Start()
			defer f.forwarder.Close()
			c := &testCaller{front: f, answer: httptest.NewRecorder()}
			go c.run()
			now := time.Now()
			f.refusals.front = f
			f.refusals.applyList(protocol.Listing{}, now)
			(&endpointSink{front: f}).Listed(protocol.Listing{}, now)
			tables := &routingSink{front: f}
			tables.Listed(protocol.Listing{Objects: []protocol.Object{{Name: "main", Version: protocol.Revision{Number: 1}}}}, now)
			synctest.Wait()
			require.Equal(t, wantWait, !c.done, "has keys: %v", hasKeys)
			tables.Confirmed(now)
			synctest.Wait()
			require.True(t, c.done)
			if hasKeys {
				require.Equal(t, http.StatusNotFound, c.answer.Code, "no route matches, and the table is confirmed")
			}
		})
	}
}

// TestStartupWaitsForRefusals delivers everything else before the refusals. An entry that had just
// started was ready before it had read which work is refused; it ran a request that crashes
// endpoints, and the endpoint crashed. In a test under load that stops all entries and starts them
// again, the caller got 502 instead of a refusal.
func TestStartupWaitsForRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: fixedDecoder{table: protocol.Routing{Version: 1}}}}
		f.forwarder = forward.Forwarder{Routing: &f.routing, Registry: &f.endpoints, Headers: noHeaders{}, Counters: f.Counters}
		f.refusals.front = f
		f.forwarder.Start()
		defer f.forwarder.Close()
		c := &testCaller{front: f, answer: httptest.NewRecorder()}
		go c.run()
		now := time.Now()
		(&endpointSink{front: f}).Listed(protocol.Listing{}, now)
		tables := &routingSink{front: f}
		tables.Listed(protocol.Listing{Objects: []protocol.Object{{Name: "main", Version: protocol.Revision{Number: 1}}}}, now)
		tables.Confirmed(now)
		synctest.Wait()
		require.False(t, c.done)
		f.refusals.applyList(protocol.Listing{}, now)
		synctest.Wait()
		require.True(t, c.done)
	})
}

// TestListBeforeStartIsApplied delivers the platform's list of refusals before anything else has
// started. An entry could crash at startup because the list arrived before refusals.front was set.
// The race detector reported it in 2 of 72 test runs on a machine under a load of 20.
func TestListBeforeStartIsApplied(t *testing.T) {
	f := &Front{Counters: &metric.Set{}}
	f.assemble()
	require.NotPanics(t, func() { (&coordinationSink{front: f}).Listed(protocol.Listing{}, time.Now()) })
	require.True(t, f.refusals.areLoaded())
}
