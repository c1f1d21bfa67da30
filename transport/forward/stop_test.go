// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/forward"
)

const (
	// stopAccepts is how long a stopping entry takes new requests, and stopMargin how long before the end of the
	// grace it ends what is left.
	stopAccepts = 2500 * time.Millisecond
	stopMargin  = 250 * time.Millisecond
)

// delayingEndpoint is an endpoint that answers each request after a time.
type delayingEndpoint struct {
	work time.Duration

	mutex sync.Mutex
	ran   map[string]bool // by ID of the request
}

func (s *delayingEndpoint) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

// serve answers one request and closes the connection.
func (s *delayingEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Pinerun-Request-Id")
	s.mutex.Lock()
	s.ran[id] = true
	s.mutex.Unlock()
	time.Sleep(s.work)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Pinerun-Request-Id: %s\r\nX-Pinerun-Response-Signature: signed\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", id)
}

func (s *delayingEndpoint) hasRun(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[id]
}

// slowBody is a body that arrives late.
type slowBody struct {
	io.Reader
	until time.Time
}

// Read waits for the body to arrive.
func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Until(b.until))
	return b.Reader.Read(p)
}

// lateCall is a request and what came of it.
type lateCall struct {
	id     string
	at     time.Time
	status int
}

// run sends the request, whose body arrives after a time.
func (c *lateCall) run(f *forward.Forwarder, bodyTakes time.Duration, done *sync.WaitGroup) {
	defer done.Done()
	c.at = time.Now()
	r := httptest.NewRequest(http.MethodPost, "/plain/x", &slowBody{Reader: strings.NewReader("body"), until: c.at.Add(bodyTakes)})
	r.Host = "h.example"
	r.Header.Set("X-Pinerun-Request-Id", c.id)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	c.status = w.Code
}

// stops plays a planned stop as an entry does.
func stops(f *forward.Forwarder, grace time.Duration, done *sync.WaitGroup) {
	defer done.Done()
	endsAt := time.Now().Add(grace - stopMargin)
	f.CloseConnections()
	f.StopAt(endsAt)
	time.Sleep(min(stopAccepts, time.Until(endsAt)))
	f.RefuseNew()
	time.Sleep(time.Until(endsAt))
	f.CutOff()
}

// TestRequestsLateInTheGraceAreAnsweredOrRefused guards against requests that may run once, are passed on late in
// a planned stop and are cut at its end.
func TestRequestsLateInTheGraceAreAnsweredOrRefused(t *testing.T) {
	for _, grace := range []time.Duration{3 * time.Second, 5 * time.Second, 30 * time.Second} {
		for _, work := range []time.Duration{60 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
			for _, bodyTakes := range []time.Duration{0, time.Second} {
				t.Run(fmt.Sprint(grace, work, bodyTakes), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { stopUnderRequests(t, grace, work, bodyTakes) })
				})
			}
		}
	}
}

func stopUnderRequests(t *testing.T, grace, work, bodyTakes time.Duration) {
	e := &delayingEndpoint{work: work, ran: make(map[string]bool)}
	budget := &backlog.Budget{Counters: &metric.Set{}}
	budget.SetLimit(1 << 30)
	f := newPlainForwarder(t, e.dial, budget, protocol.Route{Repeat: protocol.AtMostOnce, TimeoutMS: 60_000, MaxAttempts: 1, TargetLatencyMS: 1.25 * float64(work.Milliseconds())})
	defer f.Close()
	var done sync.WaitGroup
	var calls []*lateCall
	begun := time.Now()
	for i := 0; time.Since(begun) < 4*time.Second+min(grace, 4*time.Second); i++ {
		if i == 400 {
			done.Add(1)
			go stops(f, grace, &done)
		}
		c := &lateCall{id: fmt.Sprint("r-", i)}
		calls = append(calls, c)
		done.Add(1)
		go c.run(f, bodyTakes, &done)
		time.Sleep(10 * time.Millisecond)
	}
	done.Wait()
	answered := 0
	for _, c := range calls {
		after := c.at.Sub(begun) - 4*time.Second
		if e.hasRun(c.id) {
			require.Equal(t, http.StatusOK, c.status, "sent %v after the signal, and passed on", after)
			answered++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, c.status, "sent %v after the signal", after)
	}
	require.Greater(t, answered, 200)
}
