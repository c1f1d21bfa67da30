// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
)

// newCallerServer listens for callers at any port.
func newCallerServer(t *testing.T, maxConnections int) *callerServer {
	c := &callerServer{
		limits: func() protocol.CallerLimits { return protocol.CallerLimits{} }, memoryBudget: &backlog.Budget{}, maxConnections: maxConnections,
		counters: &metric.Set{}, logger: slog.New(slog.DiscardHandler), waiting: map[*backlog.Conn]waitingSince{},
	}
	require.NoError(t, c.listen("127.0.0.1:0"))
	t.Cleanup(c.close)
	return c
}

// TestRequestsThatRanAreAnsweredWhileConnectionsAreClosed closes every connection that waits, all the time, and more than are
// allowed, while callers send requests on kept connections: one at a time, in pieces, two at once, and with bodies.
func TestRequestsThatRanAreAnsweredWhileConnectionsAreClosed(t *testing.T) {
	const callers, maxConnections, period = 40, 35, 2 * time.Second
	c := newCallerServer(t, maxConnections)
	var ran sync.Map
	c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		backlog.FromContext(r.Context()).SetAwaitsHandler(false)
		ran.Store(r.URL.Path, true)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	end := time.Now().Add(period)
	var wait sync.WaitGroup
	wait.Go(func() {
		for time.Now().Before(end) {
			c.closeKept(true)
			c.sweep(time.Now())
			time.Sleep(200 * time.Microsecond)
		}
	})
	var mutex sync.Mutex
	answered, unanswered := 0, []string{}
	for i := range callers {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				a, u := callUntilClosed(c.socket.Addr().String(), fmt.Sprintf("/%d/%d", i, n), end)
				mutex.Lock()
				answered, unanswered = answered+a, append(unanswered, u...)
				mutex.Unlock()
			}
		})
	}
	wait.Wait()
	for _, id := range unanswered {
		_, lost := ran.Load(id)
		require.False(t, lost, "%s ran and was not answered", id)
	}
	require.Positive(t, answered)
	require.Positive(t, c.counters.Value("connections_closed"))
	t.Logf("%d answered, %d not, %d connections closed", answered, len(unanswered), c.counters.Value("connections_closed"))
}

// callUntilClosed sends requests on one connection until it ends, and returns how many were answered and the paths of
// those that were not.
func callUntilClosed(address, prefix string, end time.Time) (answered int, unanswered []string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	for i := 0; time.Now().Before(end); i++ {
		paths := []string{fmt.Sprintf("%s/%d", prefix, i)}
		if i%4 == 3 {
			paths = append(paths, paths[0]+"-second")
		}
		text := ""
		for _, p := range paths {
			text += "POST " + p + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody"
		}
		half := len(text)
		if i%3 == 2 {
			half = len(text) / 2
		}
		_, err = io.WriteString(conn, text[:half])
		if half < len(text) && err == nil {
			time.Sleep(500 * time.Microsecond)
			_, err = io.WriteString(conn, text[half:])
		}
		for n := range paths {
			if err == nil {
				err = receiveOK(r)
			}
			if err != nil {
				return answered, append(unanswered, paths[n:]...)
			}
			answered++
		}
	}
	return answered, nil
}

func receiveOK(r *bufio.Reader) error {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestNewestConnectionIsClosedIfRequestsArriveOnTheOthers opens one connection more than are allowed.
func TestNewestConnectionIsClosedIfRequestsArriveOnTheOthers(t *testing.T) {
	c := newCallerServer(t, 2)
	l := c.memoryBudget.NewListener(c.socket)
	accept := func(sends string) net.Conn {
		caller, err := net.Dial("tcp", c.socket.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
		_, err = io.WriteString(caller, sends)
		require.NoError(t, err)
		n, err := l.Accept()
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond) // the bytes arrive
		c.connStateChanged(n, http.StateNew)
		return caller
	}
	first := accept("request")
	accept("request")
	newest := accept("request")
	require.NoError(t, newest.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := newest.Read(make([]byte, 1))
	require.Error(t, err, "closed")
	require.EqualValues(t, 1, c.counters.Value("connections_closed"))
	require.NoError(t, first.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = first.Read(make([]byte, 1))
	var n net.Error
	require.ErrorAs(t, err, &n)
	require.True(t, n.Timeout(), "open")
}
