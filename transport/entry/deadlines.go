// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/lifecycle"
)

// suspensionCheckInterval is how often the tracker checks whether the VM was suspended. Callers
// that gave up during the suspension gain nothing from a faster check.
const suspensionCheckInterval = 100 * time.Millisecond

// deadlineTracker cancels calls when their deadlines pass. Timers do not advance while the VM is
// suspended. Without a check of the clock that does, a call whose caller had given up continued
// for as long as the suspension had lasted. The zero value has no calls.
type deadlineTracker struct {
	done    lifecycle.Done
	mutex   sync.Mutex
	cancels map[*call]context.CancelFunc
}

// add starts tracking a call and returns its context and the function that cancels it.
func (d *deadlineTracker) add(ctx context.Context, k *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, clock.TimerDeadline(k.deadline))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.cancels == nil {
		d.cancels = make(map[*call]context.CancelFunc)
	}
	d.cancels[k] = cancel
	return ctx, cancel
}

// remove stops tracking a call.
func (d *deadlineTracker) remove(k *call) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.cancels, k)
}

// run checks for suspensions until done is closed.
func (d *deadlineTracker) run() {
	t := time.NewTicker(suspensionCheckInterval)
	defer t.Stop()
	suspended := clock.Suspended()
	for {
		select {
		case <-t.C:
			clock.Refresh()
		case <-d.done.Done():
			return
		}
		if now := clock.Suspended(); now > suspended {
			suspended = now
			d.cancelExpired(clock.Now())
		}
	}
}

// cancelExpired cancels the calls whose deadlines have passed.
func (d *deadlineTracker) cancelExpired(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for k, cancel := range d.cancels {
		if !now.Before(k.deadline) {
			cancel()
		}
	}
}
