// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinerun.example/pinerun/coordination/pressure"
	"pinerun.example/pinerun/internal/event"
)

const (
	// socketBytes is what the system may keep in a caller's socket of what was written, in
	// bytes. By itself it takes 3.7 MB for a caller who reads nothing, with this 4 to 52 kB
	// (loopback, writes of 256 bytes to 16 MB); 4 MB to a caller who reads take 1 ms with
	// either.
	socketBytes = 8 << 10
	// slowCost is what a caller who does not read takes of the VM's memory beside the bytes
	// that are held, in bytes: up to 52 kB in its socket, which the system fills to the end
	// of a packet beyond what is asked for, and 10 kB in that of its engine (loopback, whose
	// packets are the largest).
	slowCost = 64 << 10
	// engineBytes is what the system may keep of an engine's answer that is left unread, in
	// bytes. Both ends by themselves take 93 kB, with this 20 kB (events of 1 kB over
	// loopback); 2 MB that are read take 3.6 ms instead of 0.6.
	engineBytes = 8 << 10
	// bodyBytes is the same of what a caller sends, in bytes. Callers may be further away.
	bodyBytes = 32 << 10
	// pieceBytes is how much is written at once of what is held, in bytes: a caller is seen
	// to read, and room comes back, each time that so much was taken.
	pieceBytes = 4 << 10
	// roomBytes is how much room a connection takes from the budget at once, in bytes: most
	// events are some hundred, and with a look at the budget for each of them 2,000 slow
	// callers waited 47 of 91 s (in all goroutines) for its lock.
	roomBytes = 8 << 10
	// lingerMost is how long a closed connection still writes what is held where no deadline
	// was set: a refusal is short, and comes with the caller's next round trip or never.
	lingerMost = 400 * time.Millisecond
)

// ErrEnded says that a caller's answer was broken off because the entry has no room to hold
// it any longer. More memory, or callers that read, are the remedy.
var ErrEnded = errors.New("the entry's budget has no room for what the caller does not read: raise memory_mb or add entries")

// Conn is a caller's connection whose writes don't wait for the caller, as long as the
// budget has room.
type Conn struct {
	net.Conn
	budget  *Budget
	account pressure.Account // guarded by the budget
	raw     syscall.RawConn  // nil if writes can't be tried
	try     func(fd uintptr) bool
	told    chan struct{} // there is news: all was written, room came back, or an end
	held    atomic.Int64  // bytes that wait
	moved   atomic.Bool   // its room in the budget changed since Look last looked
	begun   atomic.Int64  // unix nanoseconds, when the first byte came

	// Whose answer it carries; of who writes.
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

	tried    []byte // what try writes
	wrote    int
	tryFault error
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

// Serve tells whose answer is written next: the team, the rank (0 is the most urgent), and
// whether a broken stream may go on elsewhere.
func (c *Conn) Serve(team string, rank int, resumable bool) {
	c.team, c.rank, c.resumable = team, rank, resumable
}

// Held returns how many bytes wait for the caller.
func (c *Conn) Held() int64 { return c.held.Load() }

// Told returns a channel on which comes, while bytes wait, that the caller took some of
// them or that the connection failed.
func (c *Conn) Told() <-chan struct{} { return c.told }

// Err returns why the connection can't be written to any more, or nil.
func (c *Conn) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failure
}

// Look decides how the stream goes on. After GoOn it does until more room is needed.
func (c *Conn) Look(now time.Time) pressure.Decision {
	if !c.moved.Swap(false) {
		return pressure.GoOn{}
	}
	d := c.budget.look(c, now)
	if _, goOn := d.(pressure.GoOn); !goOn {
		c.moved.Store(true)
	}
	return d
}

// Begun returns when the caller's first byte came, zero before.
func (c *Conn) Begun() time.Time {
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

// tryOnce is one try to write; it never asks to be called again.
func (c *Conn) tryOnce(fd uintptr) bool {
	for c.wrote < len(c.tried) {
		n, err := syscall.Write(int(fd), c.tried[c.wrote:])
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

// hold keeps bytes for the caller. The mutex is held.
func (c *Conn) hold(p []byte) bool {
	if !c.takeRoom(slowCost + int64(len(c.waiting)+len(p))) {
		return false
	}
	c.waiting = append(c.waiting, p...)
	c.held.Store(int64(len(c.waiting)))
	if !c.running {
		c.running = true
		go c.run()
	}
	return true
}

// takeRoom takes room from the budget until that much is taken. The mutex is held.
func (c *Conn) takeRoom(bytes int64) bool {
	if bytes <= c.room {
		return true
	}
	more := (bytes - c.room + roomBytes - 1) / roomBytes * roomBytes
	if !c.budget.hold(c, more, time.Now()) {
		return false
	}
	c.room += more
	c.moved.Store(true)
	return true
}

// giveRoom gives back what is not needed any more, and notes that the caller reads. The
// mutex is held.
func (c *Conn) giveRoom() {
	spare := max(0, c.room-slowCost-int64(len(c.waiting)))
	spare -= spare % roomBytes
	c.budget.release(c, spare, time.Now())
	c.room -= spare
	c.moved.Store(true)
}

// writeThrough writes the rest of p once nothing waits any more, as a connection without a
// budget does. The mutex is held, but not while it writes.
func (c *Conn) writeThrough(p []byte, n int) (int, error) {
	for c.running && c.failure == nil {
		c.empty.Wait()
	}
	if c.failure != nil {
		return n, c.failure
	}
	c.mutex.Unlock()
	more, err := c.Conn.Write(p[n:])
	c.mutex.Lock()
	if err != nil {
		c.failure = err
	}
	return n + more, err
}

// run writes what waits until nothing does.
func (c *Conn) run() {
	for {
		c.mutex.Lock()
		if len(c.waiting) == 0 || c.failure != nil {
			c.rest()
			c.mutex.Unlock()
			return
		}
		piece := c.waiting[:min(pieceBytes, len(c.waiting))]
		c.mutex.Unlock()
		n, err := c.Conn.Write(piece)
		c.took(n, err)
	}
}

// took notes that the caller's socket took n bytes of what waits.
func (c *Conn) took(n int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure == nil {
		c.failure = err
	}
	if n > 0 && n <= len(c.waiting) {
		c.waiting = c.waiting[n:]
		c.giveRoom()
	}
	c.held.Store(int64(len(c.waiting)))
	c.tell()
}

// rest ends the writing. The mutex is held.
func (c *Conn) rest() {
	c.running = false
	c.waiting = nil
	c.held.Store(0)
	c.budget.close(c)
	c.room = 0
	c.moved.Store(true)
	switch {
	case c.closing:
		_ = c.abandon()
	case c.unbounded:
		c.unbounded = false
		c.deadline = time.Time{}
		_ = c.Conn.SetWriteDeadline(c.deadline)
	}
	c.empty.Broadcast()
	c.tell()
}

func (c *Conn) tell() {
	select {
	case c.told <- struct{}{}:
	default:
	}
}

// runEnd breaks the connection off, since the budget gave its room to others.
func (c *Conn) runEnd() {
	event.AnswerEnded.Log(c.budget.Logger, slog.Int64("held_bytes", c.budget.Held()), slog.String("caller", c.RemoteAddr().String()))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure == nil {
		c.failure = ErrEnded
	}
	c.waiting = nil
	c.held.Store(0)
	c.moved.Store(true)
	_ = c.abandon() // also ends a write of run
	c.empty.Broadcast()
	c.tell()
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
