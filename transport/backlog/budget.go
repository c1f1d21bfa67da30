// SPDX-License-Identifier: Apache-2.0

// Package backlog holds what callers do not read yet, apart from the goroutines that make
// it, and bounds it for the whole entry. While a caller reads, a write goes straight to its
// socket; only the first write that would block starts a goroutine for its connection.
//
//	var b backlog.Budget
//	l := b.Listen(socket)      // give l to the HTTP server,
//	server.ConnContext = backlog.NewContext
//	c := backlog.FromContext(r.Context())
//	c.Look(now)                // after each write: how to go on
package backlog

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/pressure"
	"pinerun.example/pinerun/internal/metric"
)

// Budget is the entry's budget of bytes that are held. Set the fields before use; the zero
// value has pressure.DefaultLimit and tells nobody.
type Budget struct {
	Counters *metric.Set
	Logger   *slog.Logger

	mutex  sync.Mutex
	ledger pressure.Budget
	conns  map[*pressure.Account]*Conn // those that hold bytes
}

// SetLimit sets the budget in bytes.
func (b *Budget) SetLimit(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ledger.SetLimit(bytes)
}

// NearLimit reports whether the entry is near the end of its budget.
func (b *Budget) NearLimit() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.NearLimit()
}

// ReserveBody takes room for n bytes of a request, or gives back -n, and reports whether there is
// room.
func (b *Budget) ReserveBody(n int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	ok := b.ledger.ReserveBody(n)
	if ok {
		b.count(metric.HeldBodyBytes, n)
	}
	return ok
}

// Held returns the bytes that are held for callers.
func (b *Budget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.Held()
}

// count adds to a counter, if there are counters.
func (b *Budget) count(n metric.Name, delta int64) {
	if b.Counters != nil {
		b.Counters.Add(n, delta)
	}
}

// hold takes room for n bytes more of a connection. Each connection that loses its room for
// it is broken off by a goroutine of its own: the caller of hold has its connection locked,
// and breaking off locks another.
func (b *Budget) hold(c *Conn, n int64, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.ledger.Held()
	b.ledger.Assign(&c.account, c.team, c.rank, c.resumable)
	ended, ok := b.ledger.Reserve(&c.account, n, now)
	for _, a := range ended {
		if v := b.conns[a]; v != nil {
			b.count(metric.PressureEnded, 1)
			delete(b.conns, a)
			go (&ending{conn: v}).run()
		}
	}
	if ok {
		if b.conns == nil {
			b.conns = make(map[*pressure.Account]*Conn)
		}
		b.conns[&c.account] = c
	}
	b.count(metric.HeldAnswerBytes, b.ledger.Held()-before)
	return ok
}

// release gives back n bytes of a connection, whose caller read.
func (b *Budget) release(c *Conn, n int64, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.ledger.Held()
	b.ledger.Release(&c.account, n, now)
	b.settle(c, before)
}

// close gives back all that a connection holds.
func (b *Budget) close(c *Conn) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.ledger.Held()
	b.ledger.Close(&c.account)
	b.settle(c, before)
}

// settle forgets a connection that holds nothing, and counts the change since before. The
// mutex is held.
func (b *Budget) settle(c *Conn, before int64) {
	if c.account.Held() == 0 {
		delete(b.conns, &c.account)
	}
	b.count(metric.HeldAnswerBytes, b.ledger.Held()-before)
}

// look decides how the stream of a connection goes on.
func (b *Budget) look(c *Conn, now time.Time) pressure.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.Decide(&c.account, now)
}
