// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
)

// woke takes it into account that the VM was suspended. Nobody told the entry of the endpoints
// meanwhile, as in an outage of the platform, so those whose records lapsed are given the time to
// come back; and what was confirmed may have lapsed.
func (f *Front) woke(now time.Time) {
	event.VMSuspended.Log(f.Logger, slog.Int64("suspended_ms", clock.Slept().Milliseconds()))
	f.roster.MarkOutage(now)
	f.confirmer.Wake()
	f.director.Wake()
}
