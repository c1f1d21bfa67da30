// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// reader reads what a caller sends. A byte is taken from the socket and noted under one mutex, so that the connection can
// be closed at a moment at which it is certain that nothing of a request was read.
type reader struct {
	firstByteAt   atomic.Int64          // when the first byte since the last BeginIdle was read, in Unix nanoseconds
	err           atomic.Pointer[error] // why nothing more can be read, nil while it can
	kept          atomic.Bool           // whether BeginIdle was called
	awaitsHandler atomic.Bool           // whether bytes of a request were read that no handler has begun to serve
	receiveFunc   func(fd uintptr) bool // receive, converted once

	mutex   sync.Mutex
	started bool // the first read has begun
	waiting bool // a read waits for bytes
	closed  bool // nothing may be read any more

	into     []byte // input of one call of receive
	received int    // number of bytes that were read in that call
	failure  error  // error of that call
}

// Read reads bytes that the caller sent. Only one goroutine may read at a time.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.receiveWaiting(p)
	if n > 0 {
		c.reader.noteFirstByte()
	}
	if err != nil {
		c.reader.recordErr(err)
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads. Between two requests a server with a limit on headers sets one when it has the
// first bytes of the next request, which may have come together with the one before, so that no read shows them.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.reader.kept.Load() && t.After(time.Now()) {
		c.reader.noteFirstByte()
	}
	return c.Conn.SetReadDeadline(t)
}

// noteFirstByte notes that bytes of a request were read, unless that is noted already.
func (r *reader) noteFirstByte() {
	r.firstByteAt.CompareAndSwap(0, time.Now().UnixNano())
}

// recordErr notes why nothing more can be read.
func (r *reader) recordErr(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err.Store(&err)
	}
}

// receiveWaiting reads what the socket holds, and waits for something if it holds nothing.
func (c *Conn) receiveWaiting(p []byte) (int, error) {
	r := &c.reader
	if c.raw == nil {
		return c.readWhole(p)
	}
	r.into = p
	err := c.raw.Read(r.receiveFunc)
	r.into = nil
	r.setWaiting(false)
	if err != nil {
		return 0, c.readError(err)
	}
	return r.received, c.readError(r.failure)
}

// readWhole reads from a connection that is no socket. What it reads is dropped if the connection was closed meanwhile.
func (c *Conn) readWhole(p []byte) (int, error) {
	c.reader.setWaiting(true)
	n, err := c.Conn.Read(p)
	if c.reader.setWaiting(false) {
		return 0, c.readError(net.ErrClosed)
	}
	return n, err
}

// setWaiting notes whether a read waits, and reports whether the connection was closed.
func (r *reader) setWaiting(waiting bool) (closed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.started, r.waiting = true, waiting
	return r.closed
}

// receive reads what the socket holds, and reports false if it holds nothing.
func (r *reader) receive(fd uintptr) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.started = true
	r.received, r.failure = 0, net.ErrClosed
	for !r.closed {
		n, err := syscall.Read(int(fd), r.into)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		r.waiting = errors.Is(err, syscall.EAGAIN)
		switch {
		case r.waiting:
			return false
		case err != nil:
			r.failure = os.NewSyscallError("read", err)
		case n == 0 && len(r.into) > 0:
			r.failure = io.EOF
		default:
			r.received, r.failure = n, nil
		}
		return true
	}
	return true
}

// readError returns an error as a read of a net.Conn has it: an HTTP server answers a request that ends with any other.
func (c *Conn) readError(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// BeginIdle notes that the next byte begins a request.
func (c *Conn) BeginIdle() {
	c.reader.firstByteAt.Store(0)
	c.reader.kept.Store(true)
}

// FirstByteAt returns when the first byte of the current request was read, or the zero time.
func (c *Conn) FirstByteAt() time.Time {
	if at := c.reader.firstByteAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// ReadErr returns why nothing more can be read: io.EOF after the caller closed its sending side, net.ErrClosed after this
// entry closed the connection. It is nil while more may come; a deadline that has passed does not count.
func (c *Conn) ReadErr() error {
	if err := c.reader.err.Load(); err != nil {
		return *err
	}
	return nil
}

// SetAwaitsHandler sets whether bytes of a request were read that no handler has begun to serve.
func (c *Conn) SetAwaitsHandler(awaits bool) { c.reader.awaitsHandler.Store(awaits) }

// AwaitsHandler reports whether bytes of a request were read that no handler has begun to serve.
func (c *Conn) AwaitsHandler() bool { return c.reader.awaitsHandler.Load() }

// CloseWaiting closes the connection if its server waits for more bytes of a request, none have arrived, and no byte of an
// answer is pending, and reports whether it did. Nothing is read any more, so that no request is served whose caller can't
// be answered. Pending bytes would be lost: the server closes the connection once more as soon as a byte arrives.
func (c *Conn) CloseWaiting() bool {
	return c.closeIf(func(r *reader) bool { return (r.waiting || !r.started) && c.Held() == 0 && !c.hasArrived() })
}

// ClosedWaiting reports whether CloseWaiting or CloseUnread closed the connection.
func (c *Conn) ClosedWaiting() bool {
	c.reader.mutex.Lock()
	defer c.reader.mutex.Unlock()
	return c.reader.closed
}

// CloseUnread closes the connection if nothing was ever read from it, and reports whether it did.
func (c *Conn) CloseUnread() bool {
	return c.closeIf(func(r *reader) bool { return !r.started })
}

// closeIf closes the connection if the reader is in a state in which nothing is lost by that.
func (c *Conn) closeIf(harmless func(r *reader) bool) bool {
	if !c.reader.closeIf(harmless) {
		return false
	}
	_ = c.Close() // without the mutex: it waits for a read that is under way
	return true
}

func (r *reader) closeIf(harmless func(r *reader) bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed || !harmless(r) {
		return false
	}
	r.closed = true
	return true
}

// hasArrived reports whether the socket holds bytes, or the end of the connection, that were not read yet.
func (c *Conn) hasArrived() bool {
	if c.raw == nil {
		return false
	}
	arrived := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = !errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && arrived
}
