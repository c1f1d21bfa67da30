// SPDX-License-Identifier: Apache-2.0

package front

import (
	"errors"
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/transport/relay"
)

// watchFailed records that the platform did not answer a watcher or a confirmer. The registry is
// notified whatever kind of object was requested: endpoint records expire during the outage, and
// the watch of endpoints may pause for longer after the outage than the registry keeps expired
// records.
func (f *Front) watchFailed(what string, err error, now time.Time) {
	if errors.Is(err, relay.ErrUnconfirmed) {
		f.peerUnconfirmed(now)
	} else {
		f.endpoints.MarkOutage(now)
	}
	f.platformFailed(what, err)
}

// peerCallFailed records that the platform did not answer the followed peer.
func (f *Front) peerCallFailed(time.Time) { f.peerUnconfirmed(clock.Now()) }

// peerUnconfirmed records that the followed peer can't confirm the platform's state. That is an outage only
// if no entry could for long: the platform may turn away the peer alone, and endpoints whose records
// it no longer holds are gone then.
func (f *Front) peerUnconfirmed(now time.Time) {
	if f.source.PlatformAway(now) {
		f.endpoints.MarkOutageBy(registry.NobodyConfirmed, now)
	}
}

// platformFailed counts a failed call to the platform and logs the first one of an outage. It also
// ends the startup wait, because what is needed to serve may not arrive soon.
func (f *Front) platformFailed(what string, err error) {
	f.Counters.Add(metric.PlatformFaults, 1)
	f.forwarder.EndStartupWait()
	if f.platformReachable.Swap(false) {
		event.PlatformUnreached.Log(f.Logger, slog.String("for", what), slog.String("cause", err.Error()))
	}
}

// platformAnswered logs the end of an outage of the platform.
func (f *Front) platformAnswered() {
	if !f.platformReachable.Swap(true) {
		event.PlatformBack.Log(f.Logger)
	}
}

// dropVanished drops the endpoints that vanished in an outage of the platform and did not come back.
func (f *Front) dropVanished(now time.Time) {
	for _, e := range f.endpoints.Sweep(now) {
		event.EndpointGone.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("reason", "did not come back after the platform did"))
	}
}
