// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// countedDeadline is the deadline of a counted request, and answerBound how long its caller waits for any end.
	countedDeadline = 4 * time.Second
	answerBound     = countedDeadline + 5*time.Second
	// countingCallersPerEntry is the number of counting callers of each entry.
	countingCallersPerEntry = 16
	// entryIdleSlack is how long an entry keeps an idle connection beyond the limit in force.
	entryIdleSlack = 500 * time.Millisecond
	// maxCountedRest bounds how long a counting caller rests between two requests.
	maxCountedRest = 2200 * time.Millisecond
	pieceInterval  = 15 * time.Millisecond
	continueWait   = 300 * time.Millisecond
	endWait        = 100 * time.Millisecond
)

// countedKinds are the routes of counted requests. The last two are not in every version.
var countedKinds = []string{nonIdempotent, nonIdempotent, idempotent, idempotent, stream, stream, otherRoute, addedRoute}

// counter runs counting callers and keeps what they saw.
type counter struct {
	testbed  *testbed
	versions *versionSeries
	stop     chan struct{}
	wait     sync.WaitGroup

	mutex sync.Mutex
	conns []*countedConn
}

// startCounter starts the counting callers of all entries.
func startCounter(tb *testbed, versions *versionSeries, seed uint64) *counter {
	k := &counter{testbed: tb, versions: versions, stop: make(chan struct{})}
	for i, e := range tb.entries {
		for n := range countingCallersPerEntry {
			c := &countingCaller{counter: k, entry: e, name: fmt.Sprintf("counted-%d-%d", i, n), rng: rand.New(rand.NewPCG(seed, uint64(i*countingCallersPerEntry+n+100)))}
			k.wait.Add(1)
			go c.run()
		}
	}
	return k
}

// close stops the callers, once each has the end of its last request, and waits for their connections.
func (k *counter) close() {
	close(k.stop)
	k.wait.Wait()
	for _, c := range k.allConns() {
		c.close()
		<-c.done
	}
}

func (k *counter) allConns() []*countedConn {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return slices.Clone(k.conns)
}

func (k *counter) add(c *countedConn) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.conns = append(k.conns, c)
}

// countingCaller sends requests to one entry, one after the other or two at once, on connections that it keeps.
type countingCaller struct {
	counter *counter
	entry   *entry
	name    string
	sent    int
	rng     *rand.Rand
	conn    *countedConn // nil for none
}

func (c *countingCaller) run() {
	defer c.counter.wait.Done()
	for c.rest() {
		if !c.connect() {
			continue
		}
		for _, q := range c.send() {
			c.await(q)
		}
		if c.conn != nil && c.conn.hasEnded() {
			c.drop()
		}
	}
}

// connect opens a connection if there is none, and reports whether there is one then.
func (c *countingCaller) connect() bool {
	if c.conn != nil && c.conn.hasEnded() {
		c.drop()
	}
	if c.conn != nil {
		return true
	}
	conn, err := dialCounted(c.entry)
	if err != nil {
		return false // its process is gone, or starting
	}
	c.counter.add(conn)
	c.conn = conn
	return true
}

func (c *countingCaller) drop() {
	c.conn.close()
	c.conn = nil
}

// rest waits before the next request, also for times around the idle limit in force and until a version arrives. It reports
// whether the caller goes on.
func (c *countingCaller) rest() bool {
	wait := c.drawMS(20)
	changed := make(<-chan struct{})
	switch c.rng.IntN(8) {
	case 0:
		wait = min(maxCountedRest, c.counter.versions.idleLimit()+entryIdleSlack+c.drawMS(400)-100*time.Millisecond)
	case 1:
		wait, changed = maxCountedRest, c.counter.versions.changed()
	case 2:
		wait = c.drawMS(300)
	}
	select {
	case <-time.After(wait):
		return true
	case <-changed:
		time.Sleep(c.drawMS(40))
		return true
	case <-c.counter.stop:
		return false
	}
}

// drawMS draws a time below a number of milliseconds.
func (c *countingCaller) drawMS(limit int) time.Duration {
	return time.Duration(c.rng.IntN(limit*1000)) * time.Microsecond
}

// newRequest draws the next request.
func (c *countingCaller) newRequest() *countedRequest {
	c.sent++
	q := &countedRequest{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), kind: countedKinds[c.rng.IntN(len(countedKinds))], key: permanentKey,
		form: drawForm(c.rng), over: make(chan struct{}), continued: make(chan struct{}),
	}
	if c.rng.IntN(6) == 0 {
		q.key = spareKey
	}
	return q
}

// send sends one request, or two at once, and returns them. It may close the connection or its sending side afterwards.
func (c *countingCaller) send() []*countedRequest {
	q := c.newRequest()
	batch := []*countedRequest{q}
	if c.rng.IntN(8) == 0 {
		q.form = requestForm{chunked: q.form.chunked}
		next := c.newRequest()
		next.form = requestForm{chunked: next.form.chunked, pipelined: true}
		batch = append(batch, next)
		c.write(batch, strings.Join(append(q.pieces(), next.pieces()...), ""))
		return batch
	}
	c.write(batch, q.pieces()...)
	switch {
	case q.form.leaves:
		time.Sleep(c.drawMS(120))
		c.drop()
	case q.form.shutsDown:
		if c.rng.IntN(2) == 0 {
			time.Sleep(c.drawMS(120)) // also in the middle of a stream
		}
		_ = c.conn.conn.CloseWrite()
	}
	return batch
}

// write writes requests in pieces, and notes when their last byte was written.
func (c *countingCaller) write(batch []*countedRequest, pieces ...string) {
	for _, q := range batch {
		c.conn.begin(q)
	}
	first := batch[0]
	for i, p := range pieces {
		switch {
		case i == 0:
		case i == 1 && first.form.expectsContinue:
			select {
			case <-first.continued:
			case <-first.over:
				return // refused without its body
			case <-c.conn.done:
				return
			case <-time.After(continueWait):
			}
		default:
			time.Sleep(pieceInterval)
		}
		if _, err := c.conn.conn.Write([]byte(p)); err != nil {
			return
		}
	}
	for _, q := range batch {
		q.sentWhole = time.Now()
	}
}

// await waits until a request is over.
func (c *countingCaller) await(q *countedRequest) {
	t := time.NewTimer(answerBound)
	defer t.Stop()
	select {
	case <-q.over:
	case <-q.conn.done:
	case <-t.C:
		q.gaveUp = true // neither an answer nor the end of its connection came
		c.drop()
	}
	if c.conn != nil && (!q.form.keepsConnection() || q.endsConnection()) {
		c.awaitEnd()
		c.drop()
	}
}

// awaitEnd waits for the end of the connection after its last answer, but not for long.
func (c *countingCaller) awaitEnd() {
	select {
	case <-c.conn.done:
	case <-time.After(endWait):
	}
}
