// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/platform/platformtest"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
)

// interimEndpoint answers all requests but the first on a connection that was used before: it sends an interim answer
// to that and closes the connection.
type interimEndpoint struct {
	listener net.Listener
	closed   atomic.Bool // it did that
}

func (e *interimEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *interimEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	buffered := bufio.NewReader(c)
	for requests := 0; ; requests++ {
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if requests > 0 && e.closed.CompareAndSwap(false, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			return
		}
		if _, err := io.WriteString(c, wholeAnswer); err != nil {
			return
		}
	}
}

// TestEndpointThatClosesAfterAnInterimAnswerIsAvoided guards against taking its connection for one that was closed
// while it was idle.
func TestEndpointThatClosesAfterAnInterimAnswerIsAvoided(t *testing.T) {
	e := &interimEndpoint{listener: platformtest.Listen()}
	defer func() { _ = e.listener.Close() }()
	go e.run()
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", e.listener.Addr().String())
	}
	f := newPlainForwarder(t, dial, &backlog.Budget{Counters: &metric.Set{}}, protocol.Route{Repeat: protocol.Repeatable, TimeoutMS: 4000, MaxAttempts: 2})
	defer f.Close()
	var lines bytes.Buffer
	f.Logger = slog.New(slog.NewTextHandler(&lines, nil))
	for !e.closed.Load() {
		w, complete := callPlain(f)
		require.True(t, complete)
		require.Equal(t, http.StatusOK, w.Code)
	}
	require.Contains(t, lines.String(), "runner ejected")
}
