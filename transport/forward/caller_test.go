// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/forward"
)

// panicsOnAttempt is a codec with a fault.
type panicsOnAttempt struct{ forward.HeaderCodec }

func (panicsOnAttempt) SetAttemptHeaders(http.Header, *protocol.AttemptTerms, time.Time) {
	panic("a fault")
}

func TestRequestWhoseHandlerPanicsIsAnswered(t *testing.T) {
	s := &streamedAnswer{writes: []int{100}}
	f := s.newForwarder(t)
	defer f.Close()
	f.Headers = panicsOnAttempt{f.Headers}
	r := httptest.NewRequest(http.MethodPost, "/plain/x", nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Contains(t, w.Body.String(), "may have run")
	require.EqualValues(t, 1, f.Counters.Value(string(metric.RequestsFailed)))
}
