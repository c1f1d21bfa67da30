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

// deadline is the deadline of a request, after which its caller gives up.
const deadline = 6 * time.Second

// The kinds of calls, named after the routes of platformtest.RoutingTable: calls that must not
// run twice, calls that may, and calls with a streamed answer.
const (
	nonIdempotent = "once"
	idempotent    = "again"
	stream        = "stream"
)

var kinds = []string{nonIdempotent, idempotent, stream}

// The keys of the only team. permanentKey is always valid; spareKey is granted and revoked
// during the run.
const (
	permanentKey = "key"
	spareKey     = "spare"
)

// call is one request of a caller and its result.
type call struct {
	id          string
	work        string // requested work that several calls share, "" for work unique to this call
	parts       string // the parts of the prompt, "" for those of a sound request
	kind        string
	key         string
	entry       *entry
	sent        time.Time
	status      int // 0 if no response header arrived
	header      http.Header
	body        string
	err         error       // why the answer is incomplete
	abandoned   bool        // the caller was to give up early
	readPattern readPattern // how the caller reads the answer
}

// content returns the name of the requested work.
func (c *call) content() string { return cmp.Or(c.work, c.id) }

// sentParts returns the parts of the prompt.
func (c *call) sentParts() string { return cmp.Or(c.parts, soundParts(c.content())) }

// runsAtMostOnce reports whether the request must not run more than once.
func (c *call) runsAtMostOnce() bool { return c.kind == nonIdempotent }

// promisesNotRun reports whether the status guarantees that the request has not run and
// will not run.
func (c *call) promisesNotRun() bool { return promisesNotRun(c.status) }

// promisesNotRun reports whether a status guarantees that the request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// callers is a group of callers that send requests at a steady rate. It records their calls.
type callers struct {
	testbed *testbed
	mutex   sync.Mutex
	calls   []*call
	wait    sync.WaitGroup
	stop    chan struct{}
	seq     int
}

// caller sends requests to one entry, one after the other on a persistent connection.
type caller struct {
	callers *callers
	entry   *entry
	kind    string
	slow    bool // it requests long streams and reads them slowly
	rng     *rand.Rand
	client  *http.Client
}

// startCallers starts one caller for each entry and each kind of call.
func startCallers(tb *testbed, rng *rand.Rand) *callers {
	cs := &callers{testbed: tb, stop: make(chan struct{})}
	for _, e := range tb.entries {
		for _, kind := range kinds {
			c := &caller{
				callers: cs, entry: e, kind: kind, rng: rand.New(rand.NewPCG(rng.Uint64(), 1)),
				client: &http.Client{Transport: &http.Transport{}},
			}
			cs.wait.Add(1)
			go c.run()
		}
	}
	return cs
}

// close stops the callers and waits for their last answers.
func (cs *callers) close() {
	close(cs.stop)
	cs.wait.Wait()
}

// all returns the completed calls.
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

func (cs *callers) record(c *call) {
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
		case <-time.After(time.Duration(10+c.rng.IntN(60)) * time.Millisecond):
		}
		c.callers.record(c.sendRequest())
	}
}

// sendRequest sends one request. It sometimes uses the spare key and sometimes gives up
// before the answer arrives.
func (c *caller) sendRequest() *call {
	if c.slow {
		return c.sendSlowRequest()
	}
	q := &call{id: c.callers.id(), kind: c.kind, key: permanentKey, entry: c.entry, sent: time.Now()}
	wait := deadline
	switch c.rng.IntN(20) {
	case 0:
		q.abandoned = true
		wait = time.Duration(c.rng.IntN(20)) * time.Millisecond
	case 1, 2, 3:
		q.key = spareKey
	}
	do(c.client, q, wait)
	return q
}

// do sends a request, waits for at most the given time and stores the result in q.
func do(client *http.Client, q *call, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", q.entry.callerLink.address(), q.kind, q.content())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(bodyOf(q.content())))
	if err != nil {
		q.err = err
		return
	}
	req.GetBody = nil // prevents net/http from retrying the request
	req.Host = "h.example"
	req.Header.Set("X-Pinerun-Request-Id", q.id)
	req.Header.Set("X-Pinerun-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+q.key)
	req.Header.Set("X-Pinerun-Prompt-Prefix", q.sentParts())
	res, err := client.Do(req)
	if err != nil {
		q.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	q.status, q.header = res.StatusCode, res.Header
	body, err := q.readPattern.readAll(res.Body)
	q.body, q.err = string(body), err
}

func bodyOf(id string) string { return "body of " + id }

// variedStreamOf returns the complete body of the stream of a request with the usual number of events.
func variedStreamOf(id string) string {
	var all strings.Builder
	for n := range platformtest.StreamEvents {
		all.WriteString(platformtest.VariedEvent(id, n+1))
	}
	return all.String()
}

// paddedStream returns the complete body of a stream whose events have the same padding.
func paddedStream(events, size int) string {
	var all strings.Builder
	for n := range events {
		all.WriteString(platformtest.PaddedEvent(n+1, size))
	}
	return all.String()
}
