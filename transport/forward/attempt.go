// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/reroute"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// maxBodyBytes bounds a response that is not a stream, and a request if the routing table sets no
// limit.
const maxBodyBytes = 16 << 20

// errWrongResponse reports that the bytes on a connection are not the response to the request sent
// there.
var errWrongResponse = errors.New("the endpoint sent bytes that are not the response to this request")

// errResponseTooLong reports that a response is longer than any endpoint sends.
var errResponseTooLong = errors.New("the endpoint's response is too long")

// attempt is one attempt to run a request at an endpoint. Its goroutine reads and writes the
// connection; the exchange makes the decisions. Only the exchange uses the fields marked "exchange
// only".
type attempt struct {
	number           int
	path             path.Path
	passesPerLayer   int64 // work counted at each layer of the path
	endpoint         *fleet.Runner
	request          []byte
	method           string
	id               string // request ID, which the response must repeat
	newConn          bool   // requires a new connection
	forwarder        *Forwarder
	pool             *connPool
	messages         chan<- message
	reservation      *reservation // memory reserved for the request
	sentAt           time.Time
	newEndpoint      bool                 // the request had not been sent there before; exchange only
	hasEvent         bool                 // an event was received; exchange only
	disconnected     bool                 // the endpoint closed the connection; exchange only
	reportedSlow     bool                 // the endpoint was reported slow for this attempt; exchange only
	pathChange       reroute.Tracker      // orders to change the path; exchange only
	changeGraceUntil time.Time            // until when silence is expected from a path change; exchange only
	pathChangedAt    time.Time            // when the path changed, zero after the next event; exchange only
	incarnation      protocol.Incarnation // incarnation of the endpoint at the start
	firstEventAt     time.Time            // when the first event was received; exchange only
	isolated         bool                 // other quarantined work avoids the endpoint; exchange only
	reportedBroken   bool                 // the work was reported as aborted there; exchange only
	reportedRan      bool                 // the work was reported to run well there; exchange only
	recordedParts    bool                 // the parts of the prompt were recorded to run well there; exchange only
	reportedLost     []*fleet.Runner      // later stages that were reported lost; exchange only
	head             *http.Response       // head of the stream, nil until received; exchange only

	sent         int  // bytes of the request that were written; run only
	connReturned bool // the connection went back to the pool, which owns its buffer; run only
	bound        headBound
	stream       eventBound
	held         int64 // bytes reserved for what was received and not handed over; run only
	ctx          context.Context
	cancel       context.CancelFunc
	mutex        sync.Mutex
	conn         *conn
	peer         string // the entry that the last connection goes through, "" for none; under the mutex
}

func (a *attempt) run() {
	defer a.stop()
	c, err := a.pool.get(a.ctx, a.endpoint.Name(), a.endpoint.Spec().Address, a.newConn || a.forwarder.blocked(a.endpoint))
	if err != nil {
		a.post(attemptEnded{attempt: a, cause: err, unsent: true})
		return
	}
	defer a.recycleBuffer(c)
	defer a.giveBack()
	if !a.attachConn(c) {
		return
	}
	n, err := c.Write(a.request)
	a.request = nil // frees the memory while the response is awaited
	if err != nil {
		a.fail(attemptEnded{cause: err, sent: n, unsent: n == 0, stale: c.reused})
		return
	}
	a.sent = n
	a.readResponse(c)
}

// throughPeer returns the entry that the attempt's connection goes or went through, "" for none.
func (a *attempt) throughPeer() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.peer
}

// recordReached records that the endpoint answered on a new connection of this entry.
func (a *attempt) recordReached(c *conn) {
	if links := a.forwarder.Links; links != nil && c.peer == "" && !c.reused {
		links.RecordReached(a.endpoint.Spec().Address, c.openedAt)
	}
}

// markEvent records an event and reports whether it is the first of the attempt.
func (a *attempt) markEvent() bool {
	before := a.hasEvent
	a.hasEvent = true
	return !before
}

// stop ends the attempt. It closes a connection that the attempt still holds, so that the endpoint
// drops the request.
func (a *attempt) stop() {
	a.cancel()
	a.closeConn()
}

// attachConn stores the connection for stop to close. It reports false and closes the connection if
// the attempt is already stopped.
func (a *attempt) attachConn(c *conn) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	a.conn, a.peer = c, c.peer
	return true
}

// closeConn closes the attempt's connection, if any.
func (a *attempt) closeConn() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// recycleBuffer returns the connection's buffer to the pool, unless the connection itself went back
// to the pool.
func (a *attempt) recycleBuffer(c *conn) {
	if !a.connReturned {
		a.pool.buffers.put(c.reader)
	}
}

// responseStarted reports whether the head of a response or an event was received. Only the
// exchange calls it.
func (a *attempt) responseStarted() bool { return a.hasEvent || a.head != nil }

// waitsOnReusedConn reports whether nothing was received on a reused connection, which may be dead.
// Only the exchange calls it.
func (a *attempt) waitsOnReusedConn() bool {
	if a.responseStarted() {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.conn != nil && a.conn.reused
}

// returnConn returns the connection to the pool after a whole response.
func (a *attempt) returnConn(head *http.Response) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn == nil {
		return
	}
	if head.Close || a.conn.peer != "" {
		_ = a.conn.Close()
	} else {
		a.connReturned = true
		a.pool.put(a.conn, head.Header, clock.Now())
	}
	a.conn = nil
}

// post sends a message to the exchange, unless the attempt is stopped, and reports whether it did.
func (a *attempt) post(m message) bool {
	select {
	case a.messages <- m:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// fail closes the connection, releases what was reserved and reports the failure of the attempt.
func (a *attempt) fail(m attemptEnded) {
	a.closeConn()
	a.giveBack()
	m.attempt = a
	a.post(m)
}

// readResponse reads the response and passes it to the exchange.
func (a *attempt) readResponse(c *conn) {
	head, begun, err := a.readHead(c)
	if err != nil {
		a.fail(attemptEnded{cause: err, sent: a.sent, stale: c.reused && !begun})
		return
	}
	defer head.Body.Close()
	a.recordReached(c)
	terms := a.forwarder.Headers.ParseResponse(head.StatusCode, head.Header, clock.Now())
	if terms.RequestID != "" && terms.RequestID != a.id {
		a.fail(attemptEnded{cause: errWrongResponse, sent: a.sent, stale: c.reused})
		return
	}
	a.recordRateLimit(head.StatusCode, &terms)
	a.recordBackoff(head.StatusCode, &terms)
	if head.StatusCode == http.StatusOK && isStream(head.Header) {
		a.readStream(head, terms)
		return
	}
	a.readNonStream(head, terms)
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(strings.TrimSpace(h.Get("Content-Type")), "text/event-stream")
}

func (a *attempt) readStream(head *http.Response, terms protocol.AnswerTerms) {
	if err := validateResponse(head, terms); err != nil {
		a.fail(attemptEnded{cause: err, sent: a.sent})
		return
	}
	a.post(headReceived{attempt: a, head: head, terms: terms})
	a.stream = eventBound{attempt: a, body: head.Body}
	r := a.pool.buffers.get(&a.stream)
	defer a.pool.buffers.put(r)
	dataless := 0
	for events := 0; ; events++ {
		e, err := readEvent(r)
		dataless = e.datalessAfter(dataless)
		if err == nil && dataless > maxDatalessBytes {
			err = errNoData
		}
		if errors.Is(err, io.EOF) && events == 0 && endsWithConnection(head) {
			err = io.ErrUnexpectedEOF // an endpoint that crashed before its first event ends a stream in the same way
		}
		if errors.Is(err, io.EOF) {
			a.returnConn(head)
			a.post(attemptEnded{attempt: a})
			return
		}
		if err != nil {
			a.fail(attemptEnded{cause: err, sent: a.sent, partial: len(e.content)})
			return
		}
		m := eventReceived{attempt: a, event: e}
		if !a.stream.handOver(&m) || !a.post(m) {
			return
		}
		a.held -= m.reserved()
	}
}

// endsWithConnection reports whether the end of a response is the end of its connection, because it has neither a
// length nor chunks.
func endsWithConnection(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

func (a *attempt) readNonStream(head *http.Response, terms protocol.AnswerTerms) {
	body, err := a.readBody(head)
	if err == nil {
		err = validateResponse(head, terms)
	}
	if err != nil {
		a.fail(attemptEnded{cause: err, sent: a.sent})
		return
	}
	a.returnConn(head)
	if a.post(responseReceived{attempt: a, head: head, body: body, terms: terms, held: a.held}) {
		a.held = 0
	}
}

// readBody reads the body of a response that is not a stream, as the entry's memory budget allows.
func (a *attempt) readBody(head *http.Response) ([]byte, error) {
	if head.Body == http.NoBody {
		return nil, nil
	}
	body, ok := a.newBody(head.ContentLength)
	if !ok {
		return nil, a.ctx.Err()
	}
	for {
		n, err := head.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > maxBodyBytes:
			return nil, errResponseTooLong
		case len(body) < cap(body):
			continue
		}
		if !a.reserve(int64(cap(body))) {
			return nil, a.ctx.Err()
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

// newBody allocates the buffer for a response body of the announced length, once the budget allows
// it. A known length is reserved at once: responses that grow piece by piece while the budget is
// short hold the memory that the others wait for. Of six responses of 100 kB within a budget of
// 0.5 MB, none was delivered.
func (a *attempt) newBody(length int64) ([]byte, bool) {
	if length < smallBytes || length > maxBodyBytes {
		return newBodyBuffer(length), true
	}
	if !a.reserve(length) {
		return nil, false
	}
	return make([]byte, 0, length+1), true // one more byte to read the end
}

// validateResponse returns why a success is not the endpoint's own response, or nil.
func validateResponse(head *http.Response, terms protocol.AnswerTerms) error {
	if head.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if !terms.Signed || terms.RequestID == "" {
		return fmt.Errorf("%w: success without signature or request ID", errWrongResponse)
	}
	if head.Header.Get("Content-Encoding") != "" {
		return fmt.Errorf("%w: body was encoded in transit", errWrongResponse)
	}
	return nil
}

// recordHeard records as working every runner that the attempt certainly uses, and as reached the endpoint
// that the attempt is connected to. The first event says all
// that there is to say about when the request was sent.
func (x *exchange) recordHeard(a *attempt, now time.Time) {
	if a.throughPeer() == "" {
		a.endpoint.Reached(now)
	}
	for i := range a.path.Len() {
		if a.provesStage(i) {
			x.forwarder.recordWorking(a.path.Runner(i), now)
			if !a.hasEvent {
				a.path.Runner(i).Served(a.sentAt, x.urgency())
			}
		}
	}
}

// markAccepted records that every runner of the path has accepted the request.
func (a *attempt) markAccepted() {
	for i := range a.path.Len() {
		a.path.Runner(i).Accepted()
	}
}
