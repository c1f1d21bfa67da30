// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/internal/clock"
)

// checkSuspension tells requests under way, and who else must know, that the VM was suspended: their
// timers stood still with it.
func (f *Forwarder) checkSuspension(now time.Time) {
	slept := clock.Slept()
	if slept == f.suspended {
		return
	}
	f.suspended = slept
	f.resumed.Tell()
	if f.OnResume != nil {
		f.OnResume(now)
	}
}

// checkSuspension takes it into account that the VM was suspended, and reports whether it was since
// the last look. Deadlines count that time. Silences don't: each request of the entry would be
// asked for elsewhere at once, and each engine told to be slow.
func (x *exchange) checkSuspension(now time.Time) bool {
	slept := clock.Slept()
	if slept == x.suspended {
		return false
	}
	x.suspended, x.resumedAt = slept, now
	x.timing.resume(now)
	return true
}
