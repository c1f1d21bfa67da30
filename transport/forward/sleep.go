// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/internal/clock"
)

// noteSleep tells requests under way, and who else must know, that the VM was suspended: their
// timers stood still with it.
func (f *Forwarder) noteSleep(now time.Time) {
	slept := clock.Slept()
	if slept == f.slept {
		return
	}
	f.slept = slept
	f.woke.Tell()
	if f.OnResume != nil {
		f.OnResume(now)
	}
}

// noteSleep takes it into account that the VM was suspended, and reports whether it was since
// the last look. Deadlines count that time. Silences don't: each request of the entry would be
// asked for elsewhere at once, and each engine told to be slow.
func (x *exchange) noteSleep(now time.Time) bool {
	slept := clock.Slept()
	if slept == x.slept {
		return false
	}
	x.slept, x.wokeAt = slept, now
	x.rhythm.woke(now)
	return true
}
