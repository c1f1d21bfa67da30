// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/internal/clock"
)

// checkSuspension notifies open requests and OnResume after the VM was suspended, because timers do
// not advance during a suspension.
func (f *Forwarder) checkSuspension(now time.Time) {
	suspended := clock.Suspended()
	if suspended == f.suspended {
		return
	}
	f.suspended = suspended
	f.resumed.Broadcast()
	if f.OnResume != nil {
		f.OnResume(now)
	}
}

// checkSuspension reports whether the VM was suspended since the last check. Deadlines count the
// suspended time. Silences don't: otherwise each request of the entry would be hedged at once, and
// each engine reported as slow.
func (x *exchange) checkSuspension(now time.Time) bool {
	suspended := clock.Suspended()
	if suspended == x.suspended {
		return false
	}
	x.suspended, x.resumedAt = suspended, now
	x.timing.resume(now)
	return true
}

// discountLateness takes the time in which this process was not run out of the silence of the open
// attempt. What arrived in the meantime is about to be read. Otherwise each request of an entry that runs
// again would be hedged, and each of its engines suspected.
func (x *exchange) discountLateness(now time.Time) {
	total := x.forwarder.totalLateness()
	late := total - x.late
	x.late = total
	if late > 0 {
		x.timing.discount(late, now)
	}
}

// totalLateness returns for how long this process was not run in all, as far as that is measured.
func (f *Forwarder) totalLateness() time.Duration {
	if f.Late == nil {
		return 0
	}
	return f.Late()
}
