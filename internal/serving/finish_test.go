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

// Callers of an entry that was stopped as planned got a stream without its end: the last event
// was there, the last chunk was not, so their clients took the answer as cut off. The entry had counted it
// as answered: its handler had returned, all requests were over, and the connections were closed
// before the server had written the end of the answer.
//
// Evidence: the body of the one stream of 20 that was not whole ended with its last event, and the error
// was an unexpected EOF.

// lastChunk ends an answer whose length is not told.
const lastChunk = "0\r\n\r\n"

// slowSocket is a listener whose connections write the end of an answer only once its server is
// about to end, or has ended.
type slowSocket struct {
	net.Listener
	reached chan struct{} // closed when the end of an answer waits
	ending  chan struct{} // closed when the server waits for its answers
	ended   chan struct{} // closed when it has ended
}

func (s *slowSocket) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: c, socket: s}, nil
}

type slowConn struct {
	net.Conn
	socket *slowSocket
}

func (c *slowConn) Write(p []byte) (int, error) {
	if bytes.HasSuffix(p, []byte(lastChunk)) {
		close(c.socket.reached)
		select {
		case <-c.socket.ending:
		case <-c.socket.ended:
		}
	}
	return c.Conn.Write(p)
}

// stopping ends a server as an entry does whose requests are over.
type stopping struct {
	server *http.Server
	socket *slowSocket
}

func (s *stopping) run() {
	<-s.socket.reached
	serving.Shutdown(s.server, time.Now().Add(time.Minute))
	_ = s.server.Close()
	close(s.socket.ended)
}

func TestTheEndOfAnAnswerIsWrittenBeforeItsServerEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	socket := &slowSocket{Listener: l, reached: make(chan struct{}), ending: make(chan struct{}), ended: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "all of it")
		_ = http.NewResponseController(w).Flush()
	})}
	server.RegisterOnShutdown(func() { close(socket.ending) })
	go (&stopping{server: server, socket: socket}).run()
	go func() { _ = server.Serve(socket) }()
	res, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(body))
	<-socket.ended
}
