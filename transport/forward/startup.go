// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
)

// startupTimeout is how long after an entry's start requests wait for the first routing table
// and list of endpoints. Those come after 0.13 s (the median of 73 entries that start at
// once, 0.21 s the slowest), and the callers that come meanwhile were mostly cut off when
// the entries ended: a refusal is the end of the one repeat that they have. 391 of them
// were refused in that time on a day that ends with all entries killed.
const startupTimeout = 500 * time.Millisecond

// startupGate lets requests wait that come right after the start. The zero value lets nobody
// wait.
type startupGate struct {
	mutex    sync.Mutex
	deadline time.Time
	opened   chan struct{} // closed when waiting is of no use any more
}

// start lets requests wait from now on.
func (o *startupGate) start(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.deadline = now.Add(startupTimeout)
	o.opened = make(chan struct{})
}

// open lets those go on that wait, and nobody wait from now on.
func (o *startupGate) open() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.opened != nil {
		close(o.opened)
		o.opened = nil
	}
}

// wait returns once the entry is open, waiting is of no use, or the caller has left.
func (o *startupGate) wait(caller context.Context) {
	o.mutex.Lock()
	over, till := o.opened, o.deadline
	o.mutex.Unlock()
	if over == nil {
		return
	}
	t := time.NewTimer(clock.Until(till))
	defer t.Stop()
	select {
	case <-over:
	case <-t.C:
	case <-caller.Done():
	}
}

// EndStartupWait ends the waiting of requests that came right after the start: there is all that is
// needed to serve them, or it is known that it won't come soon.
func (f *Forwarder) EndStartupWait() { f.startup.open() }
