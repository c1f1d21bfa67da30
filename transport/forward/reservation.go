// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"pinerun.example/pinerun/transport/backlog"
)

const (
	// smallBytes is the size up to which a body, an answer or an event is not counted, in
	// bytes: it is allowed for in the bound on connections. Most are smaller, and need no look
	// at the budget.
	smallBytes = 4 << 10
	// reserveRetryInterval is how often an answer that finds no room is tried again. Engines wait
	// some seconds before they cut it off.
	reserveRetryInterval = 20 * time.Millisecond
)

// reservation is what one request takes of the entry's budget beside what waits for its caller:
// its body, and what its engines sent that is not passed on yet. The zero value is bounded
// by nothing.
type reservation struct {
	budget *backlog.Budget

	mutex  sync.Mutex
	bytes  int64
	closed bool
}

// reserve takes room for n bytes more, or gives back -n, and reports whether there is any.
func (r *reservation) reserve(n int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.budget == nil || r.closed {
		return true
	}
	if !r.budget.Body(n) {
		return false
	}
	r.bytes += n
	return true
}

// reserveWait waits for room for n bytes more, and reports whether it came before the end.
func (r *reservation) reserveWait(n int64, end <-chan struct{}) bool {
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
		case <-end:
			return false
		}
	}
}

// releaseAll gives everything back. What is taken later counts no more.
func (r *reservation) releaseAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	if r.bytes != 0 {
		r.budget.Body(-r.bytes)
		r.bytes = 0
	}
}
