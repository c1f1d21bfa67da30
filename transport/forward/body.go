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
	// bodyReadTimeout bounds how long a request's body may take to arrive. A body of some MB over a
	// slow link takes a second; a body that trickles in occupies a connection and its memory.
	bodyReadTimeout = 10 * time.Second
	// bodyCopies is how many copies of a body are held: as received and as sent.
	bodyCopies = 2
	// memoryRetryAfter is the Retry-After of an entry whose memory budget is used up: bodies are
	// sent on within some tens of milliseconds.
	memoryRetryAfter = 200 * time.Millisecond
)

// readBody reads the request's body within the limit and the entry's memory budget.
func (x *exchange) readBody(limit int64) *protocol.Refusal {
	if x.request.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if x.request.ContentLength > limit {
		return bodyTooLarge()
	}
	rc := http.NewResponseController(x.writer)
	_ = rc.SetReadDeadline(clock.TimerDeadline(x.bodyDeadline())) // fails only for the writers of tests, which have no connection
	body := newBodyBuffer(x.request.ContentLength)
	for {
		n, err := x.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return bodyTooLarge()
		case errors.Is(err, io.EOF):
			x.body = body
			_ = rc.SetReadDeadline(time.Time{}) // the server keeps reading to notice that the caller disconnects
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return protocol.Refuse(protocol.RequestLate, "the body did not come in time")
		case err != nil:
			return protocol.Refuse(protocol.MalformedRequest, "the body did not come whole").WithCause(err)
		}
		if len(body) == cap(body) {
			if body = x.growBody(body, limit); body == nil {
				return protocol.Refuse(protocol.TooManyOpen, "the entry holds too many bytes of requests").WithRetryAt(clock.Now().Add(memoryRetryAfter))
			}
		}
	}
}

// newBodyBuffer allocates a buffer for a body of the announced length, negative if unknown.
func newBodyBuffer(length int64) []byte {
	if length >= 0 && length < smallBytes {
		return make([]byte, 0, length+1) // one more byte to read the end
	}
	return make([]byte, 0, smallBytes)
}

// bodyDeadline returns until when the body must have arrived.
func (x *exchange) bodyDeadline() time.Time {
	deadline := x.begun.Add(bodyReadTimeout)
	if x.deadline.Before(deadline) {
		return x.deadline
	}
	return deadline
}

// growBody returns the body in a larger buffer, or nil if the entry has no memory for it.
func (x *exchange) growBody(body []byte, limit int64) []byte {
	size := min(2*int64(cap(body)), limit+1)
	if !x.reservation.reserve(bodyCopies * (size - int64(cap(body)))) {
		return nil
	}
	return append(make([]byte, 0, size), body...)
}

// bodyTooLarge is the refusal of a body beyond the limit.
func bodyTooLarge() *protocol.Refusal {
	return protocol.Refuse(protocol.BodyTooLarge, "the body is longer than the limit")
}
