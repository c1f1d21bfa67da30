// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// deadline is how long a caller waits.
const deadline = 6 * time.Second

// The kinds of calls, after the routes of platformtest.Table: what must not run twice,
// what may, and what is answered by a stream.
const (
	once   = "once"
	again  = "again"
	stream = "stream"
)

var kinds = []string{once, again, stream}

// The keys of the one team: usualKey is never taken away, spareKey comes and goes.
const (
	usualKey = "key"
	spareKey = "spare"
)

// call is one request of a caller and what came of it.
type call struct {
	id     string
	work   string // what is asked for, "" for what nobody else asks for
	kind   string
	key    string
	entry  *entry
	sent   time.Time
	status int // 0 when no head came
	header http.Header
	body   string
	broken error // why the answer did not come whole
	left   bool  // the caller gave up early
	pace   pace  // at which the answer is read
}

// content names what is asked for.
func (c *call) content() string { return cmp.Or(c.work, c.id) }

// runsOnce reports whether the request must not run twice.
func (c *call) runsOnce() bool { return c.kind == once }

// promised reports whether the answer says that the request has not run and never
// will.
func (c *call) promised() bool {
	switch c.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// callers send requests at a steady rate, each of a group on connections that it
// keeps open.
type callers struct {
	world *world
	mutex sync.Mutex
	calls []*call
	wait  sync.WaitGroup
	stop  chan struct{}
	seq   int
}

// caller is one of them: it keeps its connection to one entry.
type caller struct {
	callers *callers
	entry   *entry
	kind    string
	slow    bool // it asks for long streams
	draw    *rand.Rand
	client  *http.Client
}

// startCallers sends three kinds of requests to every entry, one after the other on
// each connection.
func startCallers(w *world, draw *rand.Rand) *callers {
	cs := &callers{world: w, stop: make(chan struct{})}
	for _, e := range w.entries {
		for _, kind := range kinds {
			c := &caller{
				callers: cs, entry: e, kind: kind, draw: rand.New(rand.NewPCG(draw.Uint64(), 1)),
				client: &http.Client{Transport: &http.Transport{}},
			}
			cs.wait.Add(1)
			go c.run()
		}
	}
	return cs
}

// close ends the callers and waits for their last answers.
func (cs *callers) close() {
	close(cs.stop)
	cs.wait.Wait()
}

// all returns the calls that have ended.
func (cs *callers) all() []*call {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	return slices.Clone(cs.calls)
}

func (cs *callers) id() string {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	cs.seq++
	return "soak-" + strconv.Itoa(cs.seq)
}

func (cs *callers) note(c *call) {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	cs.calls = append(cs.calls, c)
}

func (c *caller) run() {
	defer c.callers.wait.Done()
	defer c.client.CloseIdleConnections()
	for {
		select {
		case <-c.callers.stop:
			return
		case <-time.After(time.Duration(10+c.draw.IntN(60)) * time.Millisecond):
		}
		c.callers.note(c.ask())
	}
}

// ask sends one request, now and then with the spare key, and now and then leaves
// before the answer.
func (c *caller) ask() *call {
	if c.slow {
		return c.askSlowly()
	}
	q := &call{id: c.callers.id(), kind: c.kind, key: usualKey, entry: c.entry, sent: time.Now()}
	wait := deadline
	switch c.draw.IntN(20) {
	case 0:
		q.left = true
		wait = time.Duration(c.draw.IntN(20)) * time.Millisecond
	case 1, 2, 3:
		q.key = spareKey
	}
	send(c.client, q, wait)
	return q
}

// send sends a request and notes what comes of it.
func send(client *http.Client, q *call, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", q.entry.callers.address(), q.kind, q.content())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(bodyOf(q.content())))
	if err != nil {
		q.broken = err
		return
	}
	req.GetBody = nil // the library must not send it again by itself
	req.Host = "h.example"
	req.Header.Set("X-Pinerun-Request-Id", q.id)
	req.Header.Set("X-Pinerun-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+q.key)
	res, err := client.Do(req)
	if err != nil {
		q.broken = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	q.status, q.header = res.StatusCode, res.Header
	body, err := q.pace.readAll(res.Body)
	q.body, q.broken = string(body), err
}

func bodyOf(id string) string { return "body of " + id }

// whole is a stream as it has to come.
func whole() string { return streamOf(platformtest.StreamEvents, 0) }

func streamOf(events, size int) string {
	var all strings.Builder
	for n := range events {
		all.WriteString(platformtest.PaddedEvent(n+1, size))
	}
	return all.String()
}
