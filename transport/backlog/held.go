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
	// slowCost is what a caller who does not read takes of the VM's memory beside the bytes
	// that are held, in bytes: some 14 kB in its socket and 8 kB in that of its engine (1,400
	// callers over loopback, 18 to 22 MB and 11 MB), and what the system keeps of each packet.
	slowCost = 32 << 10
	// roomLook is how often a connection that the budget had no room for looks again: others
	// give way once their callers have read nothing for a second.
	roomLook = 250 * time.Millisecond
	// pieceBytes is how much is written at once of what is held, in bytes: a caller is seen
	// to read, and room comes back, each time that so much was taken.
	pieceBytes = 4 << 10
	// roomBytes is how much room a connection takes from the budget at once, in bytes: most
	// events have some hundred, and when each of them asks, 2,000 slow callers spend half of
	// their time waiting for the budget's lock.
	roomBytes = 8 << 10
)

// hold keeps bytes for the caller and reports whether the budget had room for them. The
// mutex is held.
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

// takeRoom raises the room taken from the budget to at least so many bytes. The mutex is
// held.
func (c *Conn) takeRoom(bytes int64) bool {
	if bytes <= c.room {
		return true
	}
	more := (bytes - c.room + roomBytes - 1) / roomBytes * roomBytes
	if !c.budget.hold(c, more, clock.Now()) {
		return false
	}
	c.room += more
	c.moved.Store(true)
	return true
}

// giveRoom gives back the room that is no longer needed, which also tells the budget that
// the caller reads. The mutex is held.
func (c *Conn) giveRoom() {
	spare := max(0, c.room-slowCost-int64(len(c.waiting)))
	spare -= spare % roomBytes
	c.budget.release(c, spare, clock.Now())
	c.room -= spare
	c.moved.Store(true)
}

// writeThrough writes the rest of p once nothing waits any more, as a connection without a
// budget does, and looks from time to time whether the budget has room by now. The mutex is held,
// but not while it writes.
//
// What waits in the socket of such a connection is in no account. Without another look at the
// budget 2,000 callers that read nothing kept 65 to 74 MB in their sockets, where 46 MB are
// allowed with all that is held.
func (c *Conn) writeThrough(p []byte, n int) (int, error) {
	for c.running && c.failure == nil {
		c.empty.Wait()
	}
	for c.failure == nil && n < len(p) {
		more, err := c.writeUntil(p[n:], time.Now().Add(roomLook))
		n += more
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			c.failure = err
		case c.hold(p[n:]):
			return len(p), nil
		}
	}
	return n, c.failure
}

// writeUntil writes what the caller takes until a time, or until the deadline if that is sooner.
// The mutex is held, but not while it writes.
func (c *Conn) writeUntil(p []byte, till time.Time) (int, error) {
	if !c.deadline.IsZero() && c.deadline.Before(till) {
		till = c.deadline
	}
	_ = c.Conn.SetWriteDeadline(till)
	c.mutex.Unlock()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	_ = c.Conn.SetWriteDeadline(c.deadline)
	return n, err
}

// run writes what waits until nothing does.
func (c *Conn) run() {
	for {
		c.mutex.Lock()
		if len(c.waiting) == 0 || c.failure != nil {
			c.finishRun()
			c.mutex.Unlock()
			return
		}
		piece := c.waiting[:min(pieceBytes, len(c.waiting))]
		c.mutex.Unlock()
		n, err := c.Conn.Write(piece)
		c.took(n, err)
	}
}

// took removes the n bytes that the caller's socket accepted from what waits.
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

// finishRun ends run: everything was written, or the connection failed. The mutex is held.
func (c *Conn) finishRun() {
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

// tell signals news on told without waiting for a reader.
func (c *Conn) tell() {
	select {
	case c.told <- struct{}{}:
	default:
	}
}

// ending breaks a connection off whose room the budget gave to others.
type ending struct{ conn *Conn }

func (e *ending) run() { e.conn.breakOff() }

// breakOff ends the connection, with what is held for its caller.
func (c *Conn) breakOff() {
	event.AnswerAborted.Log(c.budget.Logger, slog.Int64("held_bytes", c.budget.Held()), slog.String("caller", c.RemoteAddr().String()))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure == nil {
		c.failure = ErrOverBudget
	}
	c.waiting = nil
	c.held.Store(0)
	c.moved.Store(true)
	_ = c.abandon() // also ends a write of run
	c.empty.Broadcast()
	c.tell()
}
