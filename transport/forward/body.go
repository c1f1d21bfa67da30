// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

const (
	// bodyReadTimeout is how long a request's body may take to come. A body of some MB over a slow
	// link takes a second; one that trickles in holds a connection and its room.
	bodyReadTimeout = 10 * time.Second
	// bodyCopies is how many copies of a body are held: as it came, and as it is sent.
	bodyCopies = 2
	// memoryRetryAfter is after what time to come back to an entry that holds too many bytes: bodies
	// are sent on within some tens of ms.
	memoryRetryAfter = 200 * time.Millisecond
)

// readBody reads the request's body, as far as the limit and the entry's budget allow.
func (x *exchange) readBody(most int64) *protocol.Refusal {
	if x.request.ContentLength == 0 {
		return nil
	}
	if most <= 0 {
		most = maxBodyBytes
	}
	if x.request.ContentLength > most {
		return bodyTooLarge()
	}
	rc := http.NewResponseController(x.writer)
	_ = rc.SetReadDeadline(clock.Timer(x.bodyDeadline())) // a connection that can't be bounded is one of a test
	body := newBodyBuffer(x.request.ContentLength)
	for {
		n, err := x.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > most:
			return bodyTooLarge()
		case errors.Is(err, io.EOF):
			x.body = body
			_ = rc.SetReadDeadline(time.Time{}) // the server goes on reading to notice that the caller leaves
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return protocol.Refuse(protocol.RequestLate, "the body did not come in time")
		case err != nil:
			return protocol.Refuse(protocol.MalformedRequest, "the body did not come whole").Because(err)
		}
		if len(body) == cap(body) {
			if body = x.growBody(body, most); body == nil {
				return protocol.Refuse(protocol.TooManyOpen, "the entry holds too many bytes of requests").Again(clock.Now().Add(memoryRetryAfter))
			}
		}
	}
}

// newBodyBuffer returns memory for a body of an announced length, negative if it is unknown.
func newBodyBuffer(length int64) []byte {
	if length >= 0 && length < smallBytes {
		return make([]byte, 0, length+1) // one more, to see the end
	}
	return make([]byte, 0, smallBytes)
}

// bodyDeadline returns until when the body must have come.
func (x *exchange) bodyDeadline() time.Time {
	by := x.begun.Add(bodyReadTimeout)
	if x.deadline.Before(by) {
		return x.deadline
	}
	return by
}

// growBody returns the body with room for more, or nil if the entry has none.
func (x *exchange) growBody(body []byte, most int64) []byte {
	size := min(2*int64(cap(body)), most+1)
	if !x.reservation.reserve(bodyCopies * (size - int64(cap(body)))) {
		return nil
	}
	return append(make([]byte, 0, size), body...)
}

// bodyTooLarge refuses a body beyond the limit.
func bodyTooLarge() *protocol.Refusal {
	return protocol.Refuse(protocol.BodyTooLarge, "the body is longer than the limit")
}
