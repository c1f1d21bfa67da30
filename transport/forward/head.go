// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"errors"
	"net"
	"net/http"
)

const (
	// maxHeadBytes bounds the memory for all that an endpoint sends before the body of its response,
	// interim responses included.
	maxHeadBytes = 64 << 10
	// headLineBytes is what a line of a head takes in memory besides its own bytes.
	headLineBytes = 128
)

// errHeadTooLong reports that a response has a longer head than any endpoint sends.
var errHeadTooLong = errors.New("the head of the endpoint's response is too long")

// headBound bounds the head of an attempt's response. What exceeds smallBytes is reserved.
type headBound struct {
	attempt  *attempt
	size     int64 // memory that the head takes
	reserved int64
}

// read reads a part of the head from a connection.
func (h *headBound) read(c net.Conn, b []byte) (int, error) {
	if h.size > maxHeadBytes {
		return 0, errHeadTooLong
	}
	if err := h.reserve(h.size - smallBytes - h.reserved); err != nil {
		return 0, err
	}
	n, err := c.Read(b)
	h.size += int64(n) + headLineBytes*int64(bytes.Count(b[:n], []byte{'\n'}))
	return n, err
}

// reserve waits until n more bytes can be reserved, if n is positive.
func (h *headBound) reserve(n int64) error {
	if n <= 0 {
		return nil
	}
	if !h.attempt.reservation.reserveWait(n, h.attempt.ctx.Done()) {
		return h.attempt.ctx.Err()
	}
	h.reserved += n
	return nil
}

// release releases what was reserved for a head that is not used.
func (h *headBound) release() {
	if h.reserved > 0 {
		h.attempt.reservation.reserve(-h.reserved)
		h.reserved = 0
	}
}

// Read reads from the connection, as far as the bound of a head allows while there is one.
func (c *conn) Read(b []byte) (int, error) {
	if c.head != nil {
		return c.head.read(c.Conn, b)
	}
	return c.Conn.Read(b)
}

// readHead returns the head of the final response. begun reports whether any byte of it was
// received.
func (a *attempt) readHead(c *conn) (head *http.Response, begun bool, err error) {
	a.bound.attempt = a
	c.head = &a.bound
	defer func() { c.head = nil }()
	head, begun, err = a.parseHead(c)
	if err != nil {
		a.bound.release()
	}
	return head, begun, err
}

// parseHead skips interim responses and returns the head of the final one.
func (a *attempt) parseHead(c *conn) (head *http.Response, begun bool, err error) {
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
