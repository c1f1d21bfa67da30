// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
)

// keyTrust logs when the confirmation of the routing table becomes too old for callers' keys, and
// when it is renewed.
type keyTrust struct {
	front    *Front
	lapsedAt time.Time // zero while keys are confirmed
}

// check compares the last confirmation with its limit.
func (k *keyTrust) check(now time.Time) {
	f := k.front
	confirmedAt := f.routing.ConfirmedAt()
	if confirmedAt.IsZero() {
		return
	}
	lapsesAt := f.Settings.KeyUsableUntil(confirmedAt)
	switch lapsed := !now.Before(lapsesAt); {
	case lapsed && k.lapsedAt.IsZero():
		k.lapsedAt = lapsesAt
		k.logLapse(confirmedAt, now)
	case !lapsed && !k.lapsedAt.IsZero():
		event.KeysConfirmed.Log(f.Logger, slog.Int64("lapsed_ms", now.Sub(k.lapsedAt).Milliseconds()))
		k.lapsedAt = time.Time{}
	}
}

// logLapse logs what the renewal of the confirmation is waiting for.
func (k *keyTrust) logLapse(confirmedAt, now time.Time) {
	f := k.front
	reading, failed := int64(0), int64(-1)
	if since := f.confirmer.ReadingSince(); !since.IsZero() {
		reading = now.Sub(since).Milliseconds()
	}
	if at := f.source.FailedAt(); !at.IsZero() {
		failed = now.Sub(at).Milliseconds()
	}
	event.KeysUnconfirmed.Log(f.Logger, slog.Int64("age_ms", now.Sub(confirmedAt).Milliseconds()), slog.Int64("reading_ms", reading),
		slog.String("peer", f.source.FollowedName()), slog.Int64("failed_ms", failed))
}
