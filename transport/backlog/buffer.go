// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"errors"
	"log/slog"
	"os"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
)

const (
	// slowCallerCost is the memory that a caller that does not read takes on the VM beside the
	// pending bytes, in bytes: some 14 kB in its socket and 8 kB in the socket of its engine (1,400
	// callers over loopback, 18 to 22 MB and 11 MB), and the kernel's data for each packet.
	slowCallerCost = 32 << 10
	// reserveRetryInterval is how often a connection that the budget rejected tries again. Other
	// connections are evicted once their callers have read nothing for a second.
	reserveRetryInterval = 250 * time.Millisecond
	// writeChunkBytes is the size of one write of pending bytes. After each such write the caller
	// counts as reading, and its bytes are released.
	writeChunkBytes = 4 << 10
	// reserveChunkBytes is the unit in which a connection reserves bytes from the budget. Most
	// events have some hundred bytes. If each event made a reservation, 2,000 slow callers would
	// spend half of their time waiting for the budget's mutex.
	reserveChunkBytes = 8 << 10
)

// enqueue adds bytes to the pending ones and reports whether the budget could hold them. The mutex
// is held.
func (c *Conn) enqueue(p []byte) bool {
	if !c.reserve(slowCallerCost + int64(len(c.pending)+len(p))) {
		return false
	}
	c.pending = append(c.pending, p...)
	c.held.Store(int64(len(c.pending)))
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return true
}

// reserve raises the connection's reservation to at least the given number of bytes. The mutex is
// held.
func (c *Conn) reserve(bytes int64) bool {
	if bytes <= c.reserved {
		return true
	}
	more := (bytes - c.reserved + reserveChunkBytes - 1) / reserveChunkBytes * reserveChunkBytes
	if !c.budget.reserve(c, more, clock.Now()) {
		return false
	}
	c.reserved += more
	c.reservationChanged.Store(true)
	return true
}

// releaseSpare releases the part of the reservation that is no longer needed. The release also
// shows the budget that the caller reads. The mutex is held.
func (c *Conn) releaseSpare() {
	surplus := max(0, c.reserved-slowCallerCost-int64(len(c.pending)))
	surplus -= surplus % reserveChunkBytes
	c.budget.release(c, surplus, clock.Now())
	c.reserved -= surplus
	c.reservationChanged.Store(true)
}

// writeBlocking writes the rest of p after the pending bytes, as a connection without a budget
// does, and checks at intervals whether the budget can hold it by now. The mutex is held, but not
// during a write.
//
// Bytes in the socket of such a connection are in no account. Without the checks, 2,000 callers
// that read nothing kept 65 to 74 MB in their sockets, where 46 MB are allowed for the sockets and
// all held bytes together.
func (c *Conn) writeBlocking(p []byte, n int) (int, error) {
	for c.flushing && c.err == nil {
		c.drained.Wait()
	}
	for c.err == nil && n < len(p) {
		more, err := c.writeUntil(p[n:], time.Now().Add(reserveRetryInterval))
		n += more
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			c.err = err
		case c.enqueue(p[n:]):
			return len(p), nil
		}
	}
	return n, c.err
}

// writeUntil writes until the given time, or until the deadline if that is sooner. The mutex is
// held, but not during the write.
func (c *Conn) writeUntil(p []byte, until time.Time) (int, error) {
	if !c.deadline.IsZero() && c.deadline.Before(until) {
		until = c.deadline
	}
	_ = c.Conn.SetWriteDeadline(until)
	c.mutex.Unlock()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	_ = c.Conn.SetWriteDeadline(c.deadline)
	return n, err
}

// flush writes the pending bytes until none is left or the connection fails.
func (c *Conn) flush() {
	for {
		c.mutex.Lock()
		if len(c.pending) == 0 || c.err != nil {
			c.finishFlush()
			c.mutex.Unlock()
			return
		}
		chunk := c.pending[:min(writeChunkBytes, len(c.pending))]
		c.mutex.Unlock()
		n, err := c.Conn.Write(chunk)
		c.recordWritten(n, err)
	}
}

// recordWritten removes the n bytes that the socket accepted from the pending ones.
func (c *Conn) recordWritten(n int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err == nil {
		c.err = err
	}
	if n > 0 && n <= len(c.pending) {
		c.pending = c.pending[n:]
		c.releaseSpare()
	}
	c.held.Store(int64(len(c.pending)))
	c.signalProgress()
}

// finishFlush ends flush: all bytes were written or the connection failed. The mutex is held.
func (c *Conn) finishFlush() {
	c.flushing = false
	c.pending = nil
	c.held.Store(0)
	c.budget.closeAccount(c, c.err != nil)
	c.reserved = 0
	c.reservationChanged.Store(true)
	switch {
	case c.closing:
		_ = c.closeSocket()
	case c.clearDeadline:
		c.clearDeadline = false
		c.deadline = time.Time{}
		_ = c.Conn.SetWriteDeadline(c.deadline)
	}
	c.drained.Broadcast()
	c.signalProgress()
}

// signalProgress signals on the progress channel without waiting for a receiver.
func (c *Conn) signalProgress() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// abortTask aborts an evicted connection.
type abortTask struct{ conn *Conn }

func (t *abortTask) run() { t.conn.abort() }

// abort closes the connection and drops its pending bytes, unless its caller has read them since the eviction: the
// connection may serve the next request by now.
func (c *Conn) abort() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.budget.isEvicted(c) {
		return
	}
	event.AnswerAborted.Log(c.budget.Logger, slog.Int64("held_bytes", c.budget.Held()), slog.String("caller", c.RemoteAddr().String()))
	if c.err == nil {
		c.err = ErrOverBudget
	}
	c.pending = nil
	c.held.Store(0)
	c.reservationChanged.Store(true)
	_ = c.closeSocket() // also ends a write by flush
	c.drained.Broadcast()
	c.signalProgress()
}
