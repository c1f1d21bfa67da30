// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"pinerun.example/pinerun/transport/backlog"
)

const (
	// smallBytes is the size in bytes up to which a body, a response or an event is not counted:
	// the bound on connections allows for it. Most are smaller and need no access to the budget.
	smallBytes = 4 << 10
	// reserveRetryInterval is how often a response that finds the budget used up tries again.
	// Engines wait some seconds before they close the connection.
	reserveRetryInterval = 20 * time.Millisecond
)

// reservation is the memory that one request takes from the entry's budget, apart from what is
// buffered for its caller: its body, and what its engines sent that is not passed on yet. The zero
// value is unbounded.
type reservation struct {
	budget *backlog.Budget

	mutex  sync.Mutex
	bytes  int64
	closed bool
}

// reserve reserves n more bytes, or releases -n, and reports whether the budget allows it.
func (r *reservation) reserve(n int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.budget == nil || r.closed {
		return true
	}
	if !r.budget.ReserveBody(n) {
		return false
	}
	r.bytes += n
	return true
}

// reserveWait waits until n more bytes can be reserved. It reports false if done is closed first.
func (r *reservation) reserveWait(n int64, done <-chan struct{}) bool {
	if r.reserve(n) {
		return true
	}
	t := time.NewTicker(reserveRetryInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if r.reserve(n) {
				return true
			}
		case <-done:
			return false
		}
	}
}

// releaseAll releases everything. Later reservations are not counted.
func (r *reservation) releaseAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	if r.bytes != 0 {
		r.budget.ReserveBody(-r.bytes)
		r.bytes = 0
	}
}

// reserve waits until n more bytes can be reserved for the attempt's response, if n is positive. It reports
// false if the attempt is stopped first.
func (a *attempt) reserve(n int64) bool {
	if n <= 0 {
		return true
	}
	if !a.reservation.reserveWait(n, a.ctx.Done()) {
		return false
	}
	a.held += n
	return true
}

// giveBack releases what the attempt reserved and did not hand over.
func (a *attempt) giveBack() {
	if a.held > 0 {
		a.release(a.held)
	}
}

// release releases n bytes of what the attempt reserved.
func (a *attempt) release(n int64) {
	a.reservation.reserve(-n)
	a.held -= n
}

// discard releases what is reserved for a message that is not used.
func (x *exchange) discard(m message) {
	switch m := m.(type) {
	case eventReceived:
		x.reservation.reserve(-m.reserved())
	case responseReceived:
		x.reservation.reserve(-m.held)
	}
}

// discardResponse releases what is reserved for a response that another attempt replaces, nil for none.
func (x *exchange) discardResponse(r *responseReceived) {
	if r != nil {
		x.discard(*r)
		r.held = 0
	}
}
