// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
)

// handleResume handles that the VM was suspended. As in an outage of the platform, the entry
// received no endpoint records meanwhile, so endpoints whose records lapsed get the time to come
// back. What was confirmed may have lapsed and is confirmed again.
func (f *Front) handleResume(now time.Time) {
	event.VMSuspended.Log(f.Logger, slog.Int64("suspended_ms", clock.Suspended().Milliseconds()))
	f.endpoints.MarkOutage(now)
	f.confirmer.Wake()
	f.director.Wake()
}
