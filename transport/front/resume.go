// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/state/registry"
)

// handleResume is called after the VM was suspended. As in an outage of the platform, the entry
// received no endpoint records meanwhile, so endpoints whose records expired are kept for a while.
// Confirmations may have expired too, so the confirmer reads at once.
func (f *Front) handleResume(now time.Time) {
	event.VMSuspended.Log(f.Logger, slog.Int64("suspended_ms", clock.Suspended().Milliseconds()))
	f.endpoints.MarkOutageBy(registry.EntryWasSuspended, now)
	f.confirmer.Wake()
	f.director.Wake()
}
