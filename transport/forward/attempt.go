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

// maxBodyBytes bounds an answer that is not a stream, and a request where the
// routing table sets no limit.
const maxBodyBytes = 16 << 20

// errWrongResponse says that bytes on a connection are not the answer to the
// request sent there.
var errWrongResponse = errors.New("the endpoint sent something that is not the answer to this request")

// errResponseTooLong says that an answer is longer than any endpoint sends.
var errResponseTooLong = errors.New("the endpoint's answer is too long")

// attempt is one send of a request to an endpoint. Its goroutine reads and
// writes; the exchange decides.
type attempt struct {
	number           int
	path             path.Path
	passesPerLayer   int64 // work pledged at each layer of the path
	endpoint         *fleet.Runner
	request          []byte
	method           string
	id               string // of the request, to recognise its answer
	newConn          bool   // whether it needs a connection of its own
	headers          HeaderCodec
	pool             *connPool
	messages         chan<- message
	reservation      *reservation // the room of the request
	sentAt           time.Time
	newEndpoint      bool                 // the request had not been sent there before; the exchange's
	hasEvent         bool                 // an event came; the exchange's
	disconnected     bool                 // the endpoint broke the connection off; the exchange's
	reportedSlow     bool                 // it was told that its endpoint is slow; the exchange's
	pathChange       reroute.Tracker      // orders to change its path; the exchange's
	changeGraceUntil time.Time            // until when a change of path may hold it up; the exchange's
	pathChangedAt    time.Time            // when its path changed, until an event comes; the exchange's
	incarnation      protocol.Incarnation // of the endpoint when it was sent; the exchange's
	firstEventAt     time.Time            // when the first event came; the exchange's
	isolated         bool                 // other work that may end endpoints keeps away; the exchange's
	reportedBroken   bool                 // it was told that the work broke there; the exchange's
	reportedRan      bool                 // it was told that the work ran well there; the exchange's
	reportedLost     []*fleet.Runner      // later stages of which it was told that they are lost; the exchange's
	head             *http.Response       // head of the stream, once it came; the exchange's

	connReturned bool // the connection rests, or was closed at rest; of run
	cancelled    context.Context
	cancel       context.CancelFunc
	mutex        sync.Mutex
	conn         *conn
}

func (a *attempt) run() {
	defer a.stop()
	c, err := a.pool.get(a.cancelled, a.endpoint.Name(), a.endpoint.Spec().Address, a.newConn)
	if err != nil {
		a.post(attemptEnded{attempt: a, cause: err, unsent: true})
		return
	}
	defer a.recycleBuffer(c)
	if !a.attachConn(c) {
		return
	}
	n, err := c.Write(a.request)
	a.request = nil // the answer may take long
	if err != nil {
		a.closeConn()
		a.post(attemptEnded{attempt: a, cause: err, unsent: n == 0, stale: c.reused})
		return
	}
	a.readResponse(c)
}

// markEvent reports whether this is the markEvent event of the attempt.
func (a *attempt) markEvent() bool {
	before := a.hasEvent
	a.hasEvent = true
	return !before
}

// stop ends the attempt: a connection that is still held is closed, so that the
// endpoint drops the request.
func (a *attempt) stop() {
	a.cancel()
	a.closeConn()
}

// attachConn keeps the connection where stop finds it, unless the attempt was stopped.
func (a *attempt) attachConn(c *conn) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.cancelled.Err() != nil {
		_ = c.Close()
		return false
	}
	a.conn = c
	return true
}

// closeConn closes the connection that the attempt holds, if any.
func (a *attempt) closeConn() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// recycleBuffer takes the connection's buffer for others to use, unless the connection rests.
func (a *attempt) recycleBuffer(c *conn) {
	if !a.connReturned {
		a.pool.buffers.put(c.reader)
	}
}

// responseStarted reports whether the head of an answer or an event came. Only the exchange asks.
func (a *attempt) responseStarted() bool { return a.hasEvent || a.head != nil }

// waitsOnReusedConn reports whether nothing came on a connection that had rested before: it may be dead. Only
// the exchange asks.
func (a *attempt) waitsOnReusedConn() bool {
	if a.responseStarted() {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.conn != nil && a.conn.reused
}

// returnConn lets the connection rest after a whole answer.
func (a *attempt) returnConn(head *http.Response) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.conn == nil {
		return
	}
	if head.Close {
		_ = a.conn.Close()
	} else {
		a.connReturned = true
		a.pool.put(a.conn, head.Header, clock.Now())
	}
	a.conn = nil
}

// post tells the exchange, unless the attempt was stopped.
func (a *attempt) post(m message) {
	select {
	case a.messages <- m:
	case <-a.cancelled.Done():
	}
}

// readResponse reads the answer and tells the exchange.
func (a *attempt) readResponse(c *conn) {
	head, begun, err := a.readHead(c)
	if err != nil {
		a.closeConn()
		a.post(attemptEnded{attempt: a, cause: err, stale: c.reused && !begun})
		return
	}
	defer head.Body.Close()
	terms := a.headers.ParseResponse(head.StatusCode, head.Header)
	if terms.RequestID != "" && terms.RequestID != a.id {
		a.closeConn()
		a.post(attemptEnded{attempt: a, cause: errWrongResponse, stale: c.reused})
		return
	}
	if head.StatusCode == http.StatusOK && isStream(head.Header) {
		a.readStream(head, terms)
		return
	}
	a.readNonStream(head, terms)
}

// readHead returns the head of the final answer, and whether any byte of it came.
func (a *attempt) readHead(c *conn) (head *http.Response, begun bool, err error) {
	req := &http.Request{Method: a.method}
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		head, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, true, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, true, nil
		}
	}
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(strings.TrimSpace(h.Get("Content-Type")), "text/event-stream")
}

func (a *attempt) readStream(head *http.Response, terms protocol.AnswerTerms) {
	if err := validateResponse(head, terms); err != nil {
		a.closeConn()
		a.post(attemptEnded{attempt: a, cause: err})
		return
	}
	a.post(headReceived{attempt: a, head: head, terms: terms})
	r := a.pool.buffers.get(head.Body)
	defer a.pool.buffers.put(r)
	for {
		e, err := readEvent(r)
		if errors.Is(err, io.EOF) {
			a.returnConn(head)
			a.post(attemptEnded{attempt: a})
			return
		}
		if err != nil {
			a.closeConn()
			a.post(attemptEnded{attempt: a, cause: err})
			return
		}
		if n := len(e.content); n > smallBytes && !a.reservation.reserveWait(int64(n), a.cancelled.Done()) {
			return
		}
		a.post(eventReceived{attempt: a, event: e})
	}
}

func (a *attempt) readNonStream(head *http.Response, terms protocol.AnswerTerms) {
	body, err := a.readBody(head)
	if err == nil {
		err = validateResponse(head, terms)
	}
	if err != nil {
		a.closeConn()
		a.post(attemptEnded{attempt: a, cause: err})
		return
	}
	a.returnConn(head)
	a.post(responseReceived{attempt: a, head: head, body: body, terms: terms})
}

// readBody reads the body of a whole answer, as the entry has room for it.
func (a *attempt) readBody(head *http.Response) ([]byte, error) {
	if head.Body == http.NoBody {
		return nil, nil
	}
	body, ok := a.newBody(head.ContentLength)
	if !ok {
		return nil, a.cancelled.Err()
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
		if !a.reservation.reserveWait(int64(cap(body)), a.cancelled.Done()) {
			return nil, a.cancelled.Err()
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

// newBody returns what an answer of a length is read into, once there is room. One whose
// length is known takes all of it at once: answers that grow piece by piece while the budget
// is short hold what the others wait for. Of six of 100 kB within 0.5 MB none was delivered.
func (a *attempt) newBody(length int64) ([]byte, bool) {
	if length < smallBytes || length > maxBodyBytes {
		return newBodyBuffer(length), true
	}
	if !a.reservation.reserveWait(length, a.cancelled.Done()) {
		return nil, false
	}
	return make([]byte, 0, length+1), true // one more, to see the end
}

// validateResponse returns why a success is not the endpoint's own answer, or nil.
func validateResponse(head *http.Response, terms protocol.AnswerTerms) error {
	if head.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if !terms.Signed || terms.RequestID == "" {
		return fmt.Errorf("%w: a success without signature or request ID", errWrongResponse)
	}
	if head.Header.Get("Content-Encoding") != "" {
		return fmt.Errorf("%w: a body that was encoded on the way", errWrongResponse)
	}
	return nil
}

// recordHeard notes that every runner of the attempt's path works, as far as it is surely in use.
func (x *exchange) recordHeard(a *attempt, now time.Time) {
	for i := range a.path.Len() {
		if a.provesStage(i) {
			x.forwarder.recordWorking(a.path.Runner(i), now)
		}
	}
}

// markAccepted notes that every runner of the path runs the request.
func (a *attempt) markAccepted() {
	for i := range a.path.Len() {
		a.path.Runner(i).Accepted()
	}
}
