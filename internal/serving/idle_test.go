// SPDX-License-Identifier: Apache-2.0

package serving_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/serving"
)

// heldRead is a listener whose connections hold back their second read once it has bytes, as the scheduler of a busy
// machine does.
type heldRead struct {
	net.Listener
	taken, release chan struct{}
}

func (l *heldRead) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, listener: l}, nil
}

type heldConn struct {
	net.Conn
	listener *heldRead
	requests int
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.requests++; c.requests == 2 {
			close(c.listener.taken)
			<-c.listener.release
		}
	}
	return n, err
}

// TestShutdownAnswersRequestThatWasRead shuts a server down that has taken a request from an idle connection.
func TestShutdownAnswersRequestThatWasRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held := &heldRead{Listener: l, taken: make(chan struct{}), release: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	go func() { _ = server.Serve(held) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	r := bufio.NewReader(c)
	for i := range 2 {
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
		require.NoError(t, err)
		if i == 1 {
			<-held.taken
			time.AfterFunc(100*time.Millisecond, func() { close(held.release) })
			serving.Shutdown(server, time.Now().Add(time.Second))
		}
		res, err := http.ReadResponse(r, nil)
		require.NoError(t, err, "request %d", i+1)
		require.NoError(t, res.Body.Close())
	}
}
