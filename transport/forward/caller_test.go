// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
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

// endsBeforeFlush is the writer of a caller whose connection ends before a byte of the answer is written: what a handler
// writes is buffered by the server.
type endsBeforeFlush struct{ *httptest.ResponseRecorder }

func (endsBeforeFlush) FlushError() error { return net.ErrClosed }

// dialWhole connects to an endpoint that answers one request.
func dialWhole(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nX-Pinerun-Request-Id: r-1\r\nX-Pinerun-Response-Signature: signed\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	return client, nil
}

func TestAnswerThatCouldNotBeWrittenDoesNotCountAsAnswered(t *testing.T) {
	f := (&streamedAnswer{}).newForwarder(t)
	defer f.Close()
	f.Dial = dialWhole
	table, err := routing.Build(protocol.Routing{Version: 2, Services: services, Routes: []protocol.Route{{
		Name: "plain", Host: "h.example", Prefix: "/plain/", Repeat: protocol.AtMostOnce, TimeoutMS: 60_000, TargetLatencyMS: 30_000,
		Targets: []protocol.Target{{Service: "plain", Weight: 1}}, MaxAttempts: 1,
	}}})
	require.NoError(t, err)
	f.Routing.Offer(table)
	f.Routing.Confirm(time.Now())
	r := httptest.NewRequest(http.MethodPost, "/plain/x", nil)
	r.Host = "h.example"
	r.Header.Set("X-Pinerun-Request-Id", "r-1")
	w := httptest.NewRecorder()
	f.ServeHTTP(endsBeforeFlush{w}, r)
	require.Equal(t, http.StatusOK, w.Code, "the answer came: %s", w.Body)
	require.EqualValues(t, 0, f.Counters.Value(string(metric.AnsweredInTime)))
}
