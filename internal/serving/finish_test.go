// SPDX-License-Identifier: Apache-2.0

package serving_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/serving"
)

// These tests guard against streams that lose their last chunk during a planned stop. The handler
// had returned and the entry had counted the request as answered, but the connections were closed
// before the server had written the last chunk, so clients saw a truncated answer.
//
// In the observed failure, 1 of 20 streams ended with its last event and an unexpected EOF.

// lastChunk ends an answer of unknown length.
const lastChunk = "0\r\n\r\n"

// delayedListener is a listener whose connections delay the last chunk of an answer until
// the server shuts down or has been closed.
type delayedListener struct {
	net.Listener
	reached  chan struct{} // closed when the last chunk is about to be written
	shutdown chan struct{} // closed when the server waits for its answers
	closed   chan struct{} // closed when the server has been closed
}

func (s *delayedListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{Conn: c, listener: s}, nil
}

type delayedConn struct {
	net.Conn
	listener *delayedListener
}

func (c *delayedConn) Write(p []byte) (int, error) {
	if bytes.HasSuffix(p, []byte(lastChunk)) {
		close(c.listener.reached)
		select {
		case <-c.listener.shutdown:
		case <-c.listener.closed:
		}
	}
	return c.Conn.Write(p)
}

// serverStopper stops a server like an entry whose requests have all finished.
type serverStopper struct {
	server   *http.Server
	listener *delayedListener
}

func (s *serverStopper) run() {
	<-s.listener.reached
	serving.Shutdown(s.server, time.Now().Add(time.Minute))
	_ = s.server.Close()
	close(s.listener.closed)
}

func TestShutdownWaitsForLastChunk(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &delayedListener{Listener: l, reached: make(chan struct{}), shutdown: make(chan struct{}), closed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "all of it")
		_ = http.NewResponseController(w).Flush()
	})}
	server.RegisterOnShutdown(func() { close(listener.shutdown) })
	go (&serverStopper{server: server, listener: listener}).run()
	go func() { _ = server.Serve(listener) }()
	res, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(body))
	<-listener.closed
}
