// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinerun.example/pinerun/coordination/pressure"
)

const (
	// sendBufferBytes is the size of a caller's send buffer in the kernel, in bytes. By default a
	// caller that reads nothing takes 3.7 MB there, and 14 kB with this size and sendFlags
	// (loopback, events of 1 kB). Sending 4 MB to a caller that reads takes 1 ms in both cases.
	sendBufferBytes = 8 << 10
	// sendFlags end a packet of the kernel with each write. The kernel checks the size of the send
	// buffer only when it begins a packet, and otherwise fills a packet up to 64 kB. Without that,
	// each of 2,000 callers that read nothing of events of 1 kB kept 52 kB in its socket.
	sendFlags = syscall.MSG_DONTWAIT | syscall.MSG_NOSIGNAL | syscall.MSG_EOR
	// engineReceiveBytes is the size of the receive buffer for an engine's response, in bytes. With
	// the default, the buffers of both ends hold 93 kB of an unread response, and 20 kB with this
	// size (events of 1 kB over loopback). Reading 2 MB takes 3.6 ms instead of 0.6 ms.
	engineReceiveBytes = 8 << 10
	// callerReceiveBytes is the size of the receive buffer for a caller's request, in bytes. It is
	// larger because callers may be further away.
	callerReceiveBytes = 32 << 10
	// maxLinger is how long a closed connection without a deadline still writes its pending bytes.
	// A refusal is short, and arrives with the caller's next round trip or not at all.
	maxLinger = 400 * time.Millisecond
)

// ErrOverBudget reports that a caller's response was aborted because the entry's budget did not
// allow holding it any longer. The remedy is more memory, more entries, or callers that read.
var ErrOverBudget = errors.New("the entry's memory budget can't hold the response that the caller does not read: raise memory_mb or add entries")

// Conn is a caller's connection. Its writes don't wait for the caller as long as the budget can
// hold the bytes.
type Conn struct {
	net.Conn
	budget             *Budget
	account            pressure.Account      // guarded by the budget
	raw                syscall.RawConn       // for non-blocking reads and writes, nil if the connection has none
	sendFunc           func(fd uintptr) bool // sendNonblocking, converted once
	progress           chan struct{}         // signalled when pending bytes were written or the connection failed
	held               atomic.Int64          // number of pending bytes
	reservationChanged atomic.Bool           // whether the reservation changed since the last Decide
	reader             reader

	// The request whose response is written. Only the goroutine that writes the response uses
	// these.
	team      string
	rank      int
	resumable bool

	mutex         sync.Mutex
	reserved      int64     // bytes reserved from the budget
	drained       sync.Cond // signals that no byte is pending or the connection failed
	pending       []byte
	flushing      bool // whether flush is writing the pending bytes
	closing       bool
	err           error
	deadline      time.Time // of writes
	clearDeadline bool      // whether to clear the deadline once no byte is pending

	sendData []byte // input of one call of sendNonblocking
	sent     int    // number of bytes that the socket accepted in that call
	sendErr  error  // error of that call
}

// newConn returns a connection whose pending bytes count in a budget.
func newConn(n net.Conn, b *Budget) *Conn {
	c := &Conn{Conn: n, budget: b, progress: make(chan struct{}, 1)}
	c.drained.L = &c.mutex
	if t, ok := n.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			c.raw, c.sendFunc, c.reader.receiveFunc = raw, c.sendNonblocking, c.reader.receive
		}
	}
	return c
}

type contextKey struct{}

// NewContext is the ConnContext of an http.Server that serves a Listener.
func NewContext(ctx context.Context, n net.Conn) context.Context {
	if c, ok := n.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Assign sets the request whose response is written next: its team, its rank (0 is the most
// urgent), and whether an aborted stream may be resumed elsewhere.
func (c *Conn) Assign(team string, rank int, resumable bool) {
	c.team, c.rank, c.resumable = team, rank, resumable
}

// Held returns the number of pending bytes.
func (c *Conn) Held() int64 { return c.held.Load() }

// Progress returns a channel that signals, while bytes are pending, that some were written to the
// socket or that the connection failed.
func (c *Conn) Progress() <-chan struct{} { return c.progress }

// Err returns why the connection can't be written to any more, or nil.
func (c *Conn) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

// Decide returns how the stream continues. After pressure.Continue the result stays the same until
// the reservation of the connection changes.
func (c *Conn) Decide(now time.Time) pressure.Decision {
	if !c.reservationChanged.Swap(false) {
		return pressure.Continue{}
	}
	d := c.budget.decide(c, now)
	if _, goOn := d.(pressure.Continue); !goOn {
		c.reservationChanged.Store(true)
	}
	return d
}

// Write writes as much as the socket accepts at once and keeps the rest pending. If the budget
// can't hold the rest, Write waits for the caller.
func (c *Conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := 0
	if !c.flushing && c.err == nil {
		n = c.writeNonblocking(p)
	}
	switch {
	case c.err != nil:
		return n, c.err
	case n == len(p):
		return n, nil
	}
	if c.enqueue(p[n:]) {
		return len(p), nil
	}
	return c.writeBlocking(p, n)
}

// writeNonblocking writes as much as the socket accepts now. The mutex is held.
func (c *Conn) writeNonblocking(p []byte) int {
	if c.raw == nil {
		return 0
	}
	c.sendData, c.sent, c.sendErr = p, 0, nil
	err := c.raw.Write(c.sendFunc)
	c.sendData = nil
	c.err = errors.Join(err, c.sendErr)
	return c.sent
}

// sendNonblocking writes until the socket is full. It always returns true: on false the runtime
// would wait for the socket and call it again.
func (c *Conn) sendNonblocking(fd uintptr) bool {
	for c.sent < len(c.sendData) {
		n, err := syscall.SendmsgN(int(fd), c.sendData[c.sent:], nil, nil, sendFlags)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return true
		case err != nil:
			c.sendErr = err
			return true
		}
		c.sent += n
	}
	return true
}

// SetWriteDeadline bounds how long the caller may take, also for pending bytes. A zero time leaves
// the deadline of pending bytes in force until they are written.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clearDeadline = t.IsZero() && c.flushing
	if c.clearDeadline {
		return nil
	}
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Close closes the connection once the pending bytes are written, at their deadline at the latest.
func (c *Conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	repeated := c.closing
	c.closing = true
	switch {
	case repeated || !c.flushing:
		return c.closeSocket()
	case !c.deadline.IsZero():
		return nil
	default:
		return c.Conn.SetWriteDeadline(time.Now().Add(maxLinger))
	}
}

// SetReset sets whether the end of the connection is a reset from now on, however it ends.
func (c *Conn) SetReset(reset bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	t, ok := c.Conn.(*net.TCPConn)
	switch {
	case !ok:
	case reset:
		_ = t.SetLinger(0)
	default:
		_ = t.SetLinger(-1)
	}
}

// closeSocket closes the socket. After a failure it discards the socket's unsent bytes, which would
// otherwise stay in the kernel's memory until the caller reads them. The mutex is held.
func (c *Conn) closeSocket() error {
	if t, ok := c.Conn.(*net.TCPConn); ok && c.err != nil {
		_ = t.SetLinger(0)
	}
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side, unless bytes are pending. Close does it then.
func (c *Conn) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok && !c.flushing {
		return t.CloseWrite()
	}
	return nil
}
