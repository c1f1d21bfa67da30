// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/part"
)

// wokeLook is how often it is looked whether the VM was suspended. Callers who have given up
// meanwhile need not be answered any sooner.
const wokeLook = 100 * time.Millisecond

// deadlines ends the calls whose deadlines pass. Timers do so, but stand still while the VM is
// suspended: without a look at the clock that goes on, a call whose caller had given up ran on for as
// long as the suspension took. The zero value has no calls.
type deadlines struct {
	done  part.Done
	mutex sync.Mutex
	open  map[*call]context.CancelFunc
}

// begin returns the context of a call and what ends it.
func (d *deadlines) begin(ctx context.Context, k *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, clock.Timer(k.deadline))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.open == nil {
		d.open = make(map[*call]context.CancelFunc)
	}
	d.open[k] = cancel
	return ctx, cancel
}

// over notes that a call has ended.
func (d *deadlines) over(k *call) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.open, k)
}

// run looks for suspensions until done.
func (d *deadlines) run() {
	t := time.NewTicker(wokeLook)
	defer t.Stop()
	slept := clock.Slept()
	for {
		select {
		case <-t.C:
			clock.Look()
		case <-d.done.Done():
			return
		}
		if now := clock.Slept(); now > slept {
			slept = now
			d.endPassed(clock.Now())
		}
	}
}

// endPassed ends the calls whose deadlines have passed.
func (d *deadlines) endPassed(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for k, cancel := range d.open {
		if !now.Before(k.deadline) {
			cancel()
		}
	}
}
