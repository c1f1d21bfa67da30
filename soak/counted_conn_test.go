// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a socket whose other side answered with a reset (TCP_CLOSE of the kernel).
const tcpClosed = 7

// resetWait is longer than a server keeps reading after it has shut down its sending side.
const resetWait = 700 * time.Millisecond

// countedConn is a connection of a counting caller to an entry, without a proxy, so that its end is the entry's own.
type countedConn struct {
	entry *entry
	conn  *net.TCPConn

	mutex    sync.Mutex
	requests []*countedRequest // all that began on it
	answers  int               // how many of them have a whole answer
	unasked  string            // bytes that no request waited for
	closedAt time.Time         // when the caller closed it, zero if it did not
	endedAt  time.Time         // when its end was read
	endErr   error             // io.EOF for a regular end
	wasReset bool              // the other side also reset it: bytes of the caller were not read
	done     chan struct{}     // closed after its end
}

// dialCounted connects to an entry.
func dialCounted(e *entry) (*countedConn, error) {
	conn, err := net.DialTimeout("tcp", e.callerLink.currentTarget(), time.Second)
	if err != nil {
		return nil, err
	}
	c := &countedConn{entry: e, conn: conn.(*net.TCPConn), done: make(chan struct{})}
	go c.loop()
	return c, nil
}

func (c *countedConn) local() string { return c.conn.LocalAddr().String() }

// begin notes a request whose answer may arrive from now on.
func (c *countedConn) begin(q *countedRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	q.conn, q.begun = c, time.Now()
	c.requests = append(c.requests, q)
}

// waiting returns the request whose answer comes next, nil if there is none.
func (c *countedConn) waiting() *countedRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.answers == len(c.requests) {
		return nil
	}
	return c.requests[c.answers]
}

// close closes the connection from the caller's side.
func (c *countedConn) close() {
	c.mutex.Lock()
	if c.closedAt.IsZero() {
		c.closedAt = time.Now()
	}
	c.mutex.Unlock()
	_ = c.conn.Close()
}

// hasEnded reports whether the connection can't be used any more.
func (c *countedConn) hasEnded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.endedAt.IsZero() || !c.closedAt.IsZero()
}

// loop reads answers until the connection ends.
func (c *countedConn) loop() {
	defer close(c.done)
	r := bufio.NewReader(c.conn)
	for {
		_, err := r.Peek(1)
		q := c.waiting()
		switch {
		case err != nil:
			c.end(err)
			return
		case q == nil:
			c.noteUnasked(r)
			return
		}
		if err := c.readAnswer(r, q); err != nil {
			c.end(err)
			return
		}
	}
}

// readAnswer reads one answer to a request, or a part of it.
func (c *countedConn) readAnswer(r *bufio.Reader, q *countedRequest) error {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusContinue {
		close(q.continued)
		return nil
	}
	body, err := io.ReadAll(res.Body)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	q.status, q.header, q.body, q.bodyErr, q.isLast = res.StatusCode, res.Header, string(body), err, res.Close
	if err == nil {
		q.answeredAt = time.Now()
		c.answers++
		close(q.over)
	}
	return err
}

// noteUnasked notes bytes that came while no request waited.
func (c *countedConn) noteUnasked(r *bufio.Reader) {
	n := r.Buffered()
	b, _ := r.Peek(min(n, 300)) // what is buffered can be read
	c.mutex.Lock()
	c.unasked = string(b)
	c.mutex.Unlock()
	c.end(errors.New("bytes that no request waited for"))
}

// end notes the end of the connection, and that nothing more arrives for its requests.
func (c *countedConn) end(cause error) {
	c.mutex.Lock()
	c.endedAt, c.endErr = time.Now(), cause
	c.mutex.Unlock()
	if errors.Is(cause, unix.ECONNRESET) || errors.Is(cause, io.EOF) && c.awaitReset() {
		c.mutex.Lock()
		c.wasReset = true
		c.mutex.Unlock()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, q := range c.requests[c.answers:] {
		close(q.over)
	}
}

// awaitReset reports whether a reset follows the end of the other side while this side is open. Without one, the process there
// has read every byte before it closed the connection.
func (c *countedConn) awaitReset() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(resetWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		state := uint8(0)
		err := raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
		if err != nil || state == tcpClosed {
			return err == nil
		}
	}
	return false
}
