// SPDX-License-Identifier: Apache-2.0

// Package backlog buffers the bytes that callers have not read yet, separately from the goroutines
// that produce them, and limits them for the whole entry. While a caller reads, a write goes
// straight to its socket. Only the first write that would block starts a goroutine for its
// connection.
//
//	var b backlog.Budget
//	l := b.NewListener(socket) // give l to the HTTP server,
//	server.ConnContext = backlog.NewContext
//	c := backlog.FromContext(r.Context())
//	c.Decide(now)              // after each write: how the stream continues
package backlog

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/pressure"
	"pinerun.example/pinerun/internal/metric"
)

// Budget limits the bytes that the entry holds. Set the fields before use. The zero value has the
// limit pressure.DefaultLimit and neither counts nor logs.
type Budget struct {
	Counters *metric.Set
	Logger   *slog.Logger

	mutex    sync.Mutex
	accounts pressure.Budget
	conns    map[*pressure.Account]*Conn // connections that hold bytes
}

// SetLimit sets the budget in bytes.
func (b *Budget) SetLimit(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.accounts.SetLimit(bytes)
}

// NearLimit reports whether the entry is near the limit of its budget.
func (b *Budget) NearLimit() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.accounts.NearLimit()
}

// ReserveBody reserves n bytes for the body of a request, or releases -n, and reports whether the
// budget allowed it.
func (b *Budget) ReserveBody(n int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	ok := b.accounts.ReserveBody(n)
	if ok {
		b.addCount(metric.HeldBodyBytes, n)
	}
	return ok
}

// Held returns the number of bytes that are held for callers.
func (b *Budget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.accounts.Held()
}

// addCount adds to a counter if there are counters.
func (b *Budget) addCount(n metric.Name, delta int64) {
	if b.Counters != nil {
		b.Counters.Add(n, delta)
	}
}

// reserve reserves n more bytes for a connection. Each connection that is evicted for them is
// aborted in a goroutine of its own: the caller of reserve holds the mutex of its own connection,
// and an abort locks another.
func (b *Budget) reserve(c *Conn, n int64, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.accounts.Held()
	b.accounts.Assign(&c.account, c.team, c.rank, c.resumable)
	evicted, ok := b.accounts.Reserve(&c.account, n, now)
	for _, a := range evicted {
		if victim := b.conns[a]; victim != nil {
			b.addCount(metric.PressureEnded, 1)
			delete(b.conns, a)
			go (&abortTask{conn: victim}).run()
		}
	}
	if ok {
		if b.conns == nil {
			b.conns = make(map[*pressure.Account]*Conn)
		}
		b.conns[&c.account] = c
	}
	b.addCount(metric.HeldAnswerBytes, b.accounts.Held()-before)
	return ok
}

// release releases n bytes of a connection, because its caller read.
func (b *Budget) release(c *Conn, n int64, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.accounts.Held()
	b.accounts.Release(&c.account, n, now)
	b.recordHeld(c, before)
}

// isEvicted reports whether a connection was evicted and its bytes are still pending.
func (b *Budget) isEvicted(c *Conn) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return c.account.Evicted()
}

// closeAccount releases all bytes of a connection. One that has not failed may hold bytes again, even if it was evicted.
func (b *Budget) closeAccount(c *Conn, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.accounts.Held()
	if failed {
		b.accounts.Close(&c.account)
	} else {
		b.accounts.End(&c.account)
	}
	b.recordHeld(c, before)
}

// recordHeld forgets a connection that holds nothing, and counts the change since before. The mutex
// is held.
func (b *Budget) recordHeld(c *Conn, before int64) {
	if c.account.Held() == 0 {
		delete(b.conns, &c.account)
	}
	b.addCount(metric.HeldAnswerBytes, b.accounts.Held()-before)
}

// decide returns how the stream of a connection continues.
func (b *Budget) decide(c *Conn, now time.Time) pressure.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.accounts.Decide(&c.account, now)
}
