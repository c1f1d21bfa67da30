// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
)

const (
	// slowCost is what a caller who does not read takes of the VM's memory beside the bytes
	// that are held, in bytes: up to 52 kB in its socket, which the system fills to the end
	// of a packet beyond what is asked for, and 10 kB in that of its engine (loopback, whose
	// packets are the largest).
	slowCost = 64 << 10
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
	if !c.budget.hold(c, more, time.Now()) {
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
