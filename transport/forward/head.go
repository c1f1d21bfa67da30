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
	attempt *attempt
	size    int64 // memory that the head takes
}

// read reads a part of the head from a connection.
func (h *headBound) read(c net.Conn, b []byte) (int, error) {
	if h.size > maxHeadBytes {
		return 0, errHeadTooLong
	}
	if !h.attempt.reserve(h.size - smallBytes - h.attempt.held) {
		return 0, h.attempt.ctx.Err()
	}
	n, err := c.Read(b)
	h.size += int64(n) + headLineBytes*int64(bytes.Count(b[:n], []byte{'\n'}))
	return n, err
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
	return a.parseHead(c)
}

// parseHead skips interim responses and returns the head of the final one.
func (a *attempt) parseHead(c *conn) (head *http.Response, begun bool, err error) {
	req := &http.Request{Method: a.method}
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, begun, err
		}
		begun = true
		head, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, true, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, true, nil
		}
	}
}
