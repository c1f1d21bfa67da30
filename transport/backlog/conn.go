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
	// socketBytes is what the system may keep in a caller's socket of what was written, in
	// bytes. By itself it takes 3.7 MB for a caller who reads nothing, with this and sendFlags
	// 14 kB (loopback, events of 1 kB); 4 MB to a caller who reads take 1 ms with either.
	socketBytes = 8 << 10
	// sendFlags end a packet of the system with each write: it looks at socketBytes only when it
	// begins one, and fills it up to 64 kB before. Of 2,000 callers that read nothing of events of
	// 1 kB each kept 52 kB in its socket.
	sendFlags = syscall.MSG_DONTWAIT | syscall.MSG_NOSIGNAL | syscall.MSG_EOR
	// engineBytes is what the system may keep of an engine's answer that is left unread, in
	// bytes. Both ends by themselves take 93 kB, with this 20 kB (events of 1 kB over
	// loopback); 2 MB that are read take 3.6 ms instead of 0.6.
	engineBytes = 8 << 10
	// bodyBytes is the same of what a caller sends, in bytes. Callers may be further away.
	bodyBytes = 32 << 10
	// lingerMost is how long a closed connection still writes what is held where no deadline
	// was set: a refusal is short, and comes with the caller's next round trip or never.
	lingerMost = 400 * time.Millisecond
)

// ErrOverBudget says that a caller's answer was broken off because the entry has no room to hold
// it any longer. More memory, or callers that read, are the remedy.
var ErrOverBudget = errors.New("the entry's budget has no room for what the caller does not read: raise memory_mb or add entries")

// Conn is a caller's connection whose writes don't wait for the caller, as long as the
// budget has room.
type Conn struct {
	net.Conn
	budget  *Budget
	account pressure.Account      // guarded by the budget
	raw     syscall.RawConn       // for writes that don't block, nil if the connection has none
	try     func(fd uintptr) bool // tryOnce
	told    chan struct{}         // signalled when the caller took bytes, all are written, or it failed
	held    atomic.Int64          // bytes that wait
	moved   atomic.Bool           // its room in the budget changed since Look last looked
	begun   atomic.Int64          // unix nanoseconds, when the first byte came

	// Whose answer it carries. Only the goroutine that writes the answer uses these.
	team      string
	rank      int
	resumable bool

	mutex     sync.Mutex
	room      int64     // taken from the budget
	empty     sync.Cond // nothing waits any more, or the connection failed
	waiting   []byte
	running   bool // run writes what waits
	closing   bool
	failure   error
	deadline  time.Time // of writes
	unbounded bool      // the deadline ends once nothing waits any more

	tried    []byte // what one call of tryOnce writes
	wrote    int    // bytes of tried that the socket accepted
	tryFault error  // of that call
}

// newConn returns a connection whose held bytes count in a budget.
func newConn(n net.Conn, b *Budget) *Conn {
	c := &Conn{Conn: n, budget: b, told: make(chan struct{}, 1)}
	c.empty.L = &c.mutex
	if t, ok := n.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			c.raw, c.try = raw, c.tryOnce
		}
	}
	return c
}

type contextKey struct{}

// NewContext is the ConnContext of a server that listens on a Listener.
func NewContext(ctx context.Context, n net.Conn) context.Context {
	if c, ok := n.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection that a request came on, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Assign sets whose answer is written next: the team, the rank (0 is the most urgent), and
// whether a broken stream may go on elsewhere.
func (c *Conn) Assign(team string, rank int, resumable bool) {
	c.team, c.rank, c.resumable = team, rank, resumable
}

// Held returns how many bytes wait for the caller.
func (c *Conn) Held() int64 { return c.held.Load() }

// Progress returns a channel that signals, while bytes wait, that the caller took some of them
// or that the connection failed.
func (c *Conn) Progress() <-chan struct{} { return c.told }

// Err returns why the connection can't be written to any more, or nil.
func (c *Conn) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failure
}

// Decide decides how the stream goes on. After GoOn the answer stays the same until the room
// of the connection changes.
func (c *Conn) Decide(now time.Time) pressure.Decision {
	if !c.moved.Swap(false) {
		return pressure.Continue{}
	}
	d := c.budget.look(c, now)
	if _, goOn := d.(pressure.Continue); !goOn {
		c.moved.Store(true)
	}
	return d
}

// FirstByteAt returns when the caller's first byte came, zero before.
func (c *Conn) FirstByteAt() time.Time {
	if at := c.begun.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Read reads what the caller sends.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.begun.Load() == 0 {
		c.begun.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes to the socket what it takes at once and holds the rest. Without room for
// the rest it waits for the caller.
func (c *Conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := 0
	if !c.running && c.failure == nil {
		n = c.tryWrite(p)
	}
	switch {
	case c.failure != nil:
		return n, c.failure
	case n == len(p):
		return n, nil
	}
	if c.hold(p[n:]) {
		return len(p), nil
	}
	return c.writeThrough(p, n)
}

// tryWrite writes what the socket takes now. The mutex is held.
func (c *Conn) tryWrite(p []byte) int {
	if c.raw == nil {
		return 0
	}
	c.tried, c.wrote, c.tryFault = p, 0, nil
	err := c.raw.Write(c.try)
	c.tried = nil
	c.failure = errors.Join(err, c.tryFault)
	return c.wrote
}

// tryOnce writes until the socket is full. It always returns true: false would have the
// runtime wait for the socket and call it again.
func (c *Conn) tryOnce(fd uintptr) bool {
	for c.wrote < len(c.tried) {
		n, err := syscall.SendmsgN(int(fd), c.tried[c.wrote:], nil, nil, sendFlags)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return true
		case err != nil:
			c.tryFault = err
			return true
		}
		c.wrote += n
	}
	return true
}

// SetWriteDeadline bounds how long the caller may take, also for what is held. What is held
// keeps its deadline when none is set for what comes after.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unbounded = t.IsZero() && c.running
	if c.unbounded {
		return nil
	}
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Close closes the connection once what waits is written, at its deadline at the latest.
func (c *Conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	again := c.closing
	c.closing = true
	switch {
	case again || !c.running:
		return c.abandon()
	case !c.deadline.IsZero():
		return nil
	default:
		return c.Conn.SetWriteDeadline(time.Now().Add(lingerMost))
	}
}

// abandon closes the socket. What a caller has not taken when its time is over would stay in
// the system's memory until it reads, so that is given up. The mutex is held.
func (c *Conn) abandon() error {
	if t, ok := c.Conn.(*net.TCPConn); ok && c.failure != nil {
		_ = t.SetLinger(0)
	}
	return c.Conn.Close()
}

// CloseWrite tells the caller that nothing more comes, unless bytes still wait for it: then
// Close does.
func (c *Conn) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok && !c.running {
		return t.CloseWrite()
	}
	return nil
}
