// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

const (
	// idleCallers is the number of callers that keep their connections, and idleRounds how often each of them rests.
	idleCallers = 150
	idleRounds  = 4
	// shortIdleMS is the idle limit of the table that arrives while the callers rest.
	shortIdleMS = 200
	// standstill is how long the entry process is stopped while requests arrive.
	standstill = 400 * time.Millisecond
	// restBeforeStandstill is shorter than the idle limit with its slack, and longer than that less the standstill.
	restBeforeStandstill = 500 * time.Millisecond
)

// keptCaller sends requests one after the other on a connection that it keeps.
type keptCaller struct {
	address string
	name    string
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
}

// send sends a request, on a new connection if there is none, and returns its ID.
func (c *keptCaller) send() (string, error) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	_, err := fmt.Fprintf(c.conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Pinerun-Request-Id: %s\r\n"+
		"X-Pinerun-Deadline-Ms: 5000\r\nAuthorization: Token key\r\nContent-Length: 4\r\n\r\nbody", id)
	return id, err
}

// receive reads a whole response. After an error the connection is not used again.
func (c *keptCaller) receive() error {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		c.close()
		return err
	}
	return nil
}

func (c *keptCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// linesWith returns the lines of the entry's log that contain a text.
func (p *entryProcess) linesWith(text string) string {
	var lines strings.Builder
	for line := range strings.Lines(readFile(p.t, p.logFile)) {
		if strings.Contains(line, text) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// TestRequestReadOnAnIdleConnectionIsAnswered sends requests while the limit on idle connections that a new table lowered runs out.
func TestRequestReadOnAnIdleConnectionIsAnswered(t *testing.T) {
	store := platformtest.NewStore(t)
	tableWithIdle := func(version, idleMS int) map[string]any {
		table := platformtest.RoutingTable(version, "key")
		table["limits"] = map[string]any{"max_body_bytes": 1000, "idle_timeout_ms": idleMS}
		return table
	}
	store.Put("config", "main", tableWithIdle(1, 15000))
	endpoint := platformtest.NewService(t, "s-1")
	store.Put("servers", endpoint.ID, map[string]any{"service": "plain", "address": endpoint.Address(), "zone": "a", "slots": 400, "state": "ready"})
	p := newEntryProcess(t, platformtest.Build(t, "."), "front-1", store.Address())
	p.start()
	p.waitUntil(func() bool {
		status, _, err := p.request(http.MethodPost, "/once/x", "warm", "key")
		return err == nil && status == http.StatusOK
	}, "requests are served")

	var callers []*keptCaller
	for i := range idleCallers {
		c := &keptCaller{address: p.address, name: fmt.Sprint("idle-", i)}
		t.Cleanup(c.close)
		callers = append(callers, c)
	}
	each := func(do func(c *keptCaller)) {
		var wait sync.WaitGroup
		for _, c := range callers {
			wait.Go(func() { do(c) })
		}
		wait.Wait()
	}
	var mutex sync.Mutex
	var unanswered []string
	for round := range idleRounds {
		store.Put("config", "main", tableWithIdle(2*round+2, 15000))
		each(func(c *keptCaller) {
			for {
				if _, err := c.send(); err == nil && c.receive() == nil {
					return
				}
				c.close()
			}
		})
		store.Put("config", "main", tableWithIdle(2*round+3, shortIdleMS))
		time.Sleep(restBeforeStandstill)
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(standstill)
		sent := make(map[*keptCaller]string)
		for _, c := range callers {
			if id, err := c.send(); err == nil {
				sent[c] = id
			}
		}
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
		each(func(c *keptCaller) {
			if id := sent[c]; id != "" && c.receive() != nil {
				mutex.Lock()
				unanswered = append(unanswered, id)
				mutex.Unlock()
			}
		})
	}
	received := map[string]bool{}
	for _, r := range endpoint.Received() {
		received[r.ID] = true
	}
	var lost []string
	for _, id := range unanswered {
		if received[id] {
			lost = append(lost, id)
		}
	}
	t.Logf("%d of %d requests were not answered, %d of these reached the endpoint", len(unanswered), idleCallers*idleRounds, len(lost))
	if len(lost) > 0 {
		t.Logf("the entry's log of one of them:\n%s", p.linesWith(`"request":"`+lost[0]+`"`))
	}
	require.Empty(t, lost, "requests that reached an endpoint got no answer")
}
