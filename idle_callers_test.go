// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	// longIdleMS is an idle limit that no caller reaches.
	longIdleMS = 15000
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

// keptCallers are callers of one entry process whose endpoint tells which requests reached it.
type keptCallers struct {
	t        *testing.T
	entry    *entryProcess
	endpoint *platformtest.Endpoint
	store    *platformtest.Store
	all      []*keptCaller

	mutex      sync.Mutex
	unanswered []string
}

// newKeptCallers starts an entry process with one endpoint.
func newKeptCallers(t *testing.T) *keptCallers {
	store := platformtest.NewStore(t)
	k := &keptCallers{t: t, store: store, endpoint: platformtest.NewService(t, "s-1")}
	k.limitIdle(1, longIdleMS)
	store.Put("servers", k.endpoint.ID, map[string]any{"service": "plain", "address": k.endpoint.Address(), "zone": "a", "slots": 400, "state": "ready"})
	k.entry = newEntryProcess(t, platformtest.Build(t, "."), "front-1", store.Address())
	k.entry.start()
	k.entry.waitUntil(func() bool {
		status, _, err := k.entry.request(http.MethodPost, "/once/x", "warm", "key")
		return err == nil && status == http.StatusOK
	}, "requests are served")
	for i := range idleCallers {
		c := &keptCaller{address: k.entry.address, name: fmt.Sprint("idle-", i)}
		t.Cleanup(c.close)
		k.all = append(k.all, c)
	}
	return k
}

// limitIdle writes a routing table with a limit on idle connections.
func (k *keptCallers) limitIdle(version, idleMS int) {
	table := platformtest.RoutingTable(version, "key")
	table["limits"] = map[string]any{"max_body_bytes": 1000, "idle_timeout_ms": idleMS}
	k.store.Put("config", "main", table)
}

// each does something for all callers at the same time.
func (k *keptCallers) each(do func(c *keptCaller)) {
	var wait sync.WaitGroup
	for _, c := range k.all {
		wait.Go(func() { do(c) })
	}
	wait.Wait()
}

// serveOne lets each caller send requests until one is answered.
func (k *keptCallers) serveOne() {
	k.each(func(c *keptCaller) {
		for {
			if _, err := c.send(); err == nil && c.receive() == nil {
				return
			}
			c.close()
		}
	})
}

// sendDuring stops the process, lets each caller send a request on its connection and the process be signalled, and lets
// the process go on until all of them have an answer or none.
func (k *keptCallers) sendDuring(signals ...os.Signal) {
	process := k.entry.cmd.Process
	require.NoError(k.t, process.Signal(syscall.SIGSTOP))
	time.Sleep(standstill)
	sent := make(map[*keptCaller]string)
	for _, c := range k.all {
		if id, err := c.send(); err == nil {
			sent[c] = id
		}
	}
	for _, s := range signals {
		require.NoError(k.t, process.Signal(s))
	}
	require.NoError(k.t, process.Signal(syscall.SIGCONT))
	k.each(func(c *keptCaller) {
		if id := sent[c]; id != "" && c.receive() != nil {
			k.mutex.Lock()
			defer k.mutex.Unlock()
			k.unanswered = append(k.unanswered, id)
		}
	})
}

// requireNoneLost checks that every request that reached the endpoint was answered.
func (k *keptCallers) requireNoneLost() {
	received := map[string]bool{}
	for _, r := range k.endpoint.Received() {
		received[r.ID] = true
	}
	var lost []string
	for _, id := range k.unanswered {
		if received[id] {
			lost = append(lost, id)
		}
	}
	k.t.Logf("%d requests were not answered, %d of these reached the endpoint", len(k.unanswered), len(lost))
	if len(lost) > 0 {
		k.t.Logf("the entry's log of one of them:\n%s", k.entry.linesWith(`"request":"`+lost[0]+`"`))
	}
	require.Empty(k.t, lost, "requests that reached an endpoint got no answer")
}

// TestRequestReadOnAnIdleConnectionIsAnswered sends requests while the limit on idle connections that a new table lowered runs out.
func TestRequestReadOnAnIdleConnectionIsAnswered(t *testing.T) {
	k := newKeptCallers(t)
	for round := range idleRounds {
		k.limitIdle(2*round+2, longIdleMS)
		k.serveOne()
		k.limitIdle(2*round+3, shortIdleMS)
		time.Sleep(restBeforeStandstill)
		k.sendDuring()
	}
	k.requireNoneLost()
}

// TestRequestReadAsTheEntryStopsIsAnswered sends requests on idle connections at the moment of a planned stop.
func TestRequestReadAsTheEntryStopsIsAnswered(t *testing.T) {
	k := newKeptCallers(t)
	for range idleRounds {
		k.serveOne()
		k.sendDuring(syscall.SIGTERM)
		require.NoError(t, k.entry.cmd.Wait(), "a planned stop exits with code 0")
		k.each((*keptCaller).close)
		k.entry.start()
	}
	k.requireNoneLost()
}
