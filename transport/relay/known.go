// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/transport/platform"
)

// KnownKind says up to when the state of a kind is known.
type KnownKind struct {
	kind       string
	completeAt time.Time
}

// Kind returns the kind of the objects.
func (k *KnownKind) Kind() string { return k.kind }

// CompleteAt returns a time at which every object of the kind was known. Changes since then may have gone unnoticed.
func (k *KnownKind) CompleteAt() time.Time { return k.completeAt }

// KnownKinds returns each kind that this entry has asked the platform for, in the order of Kinds.
func (s *Source) KnownKinds() []KnownKind {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var known []KnownKind
	for _, k := range s.Kinds {
		if _, asked := s.answeredAt[k]; asked {
			known = append(known, KnownKind{kind: k, completeAt: s.completeAt(k)})
		}
	}
	return known
}

// completeAt returns a time at which this entry had every object of a kind: when the last answered call
// for that kind began, or a time to which the followed peer vouched for all kinds. The mutex is held.
func (s *Source) completeAt(kind string) time.Time {
	if at := s.answeredAt[kind]; at.After(s.relayedAt) {
		return at
	}
	return s.relayedAt
}

// allCurrent reports whether no kind is older than relay.MaxStateAge. A read of the confirmed object says nothing about the other kinds, whose calls use
// other connections.
func (s *Source) allCurrent(now time.Time) bool {
	for _, k := range s.KnownKinds() {
		if now.Sub(k.completeAt) > relay.MaxStateAge {
			return false
		}
	}
	return true
}

// mayVouch reports whether followers may rely on the state here: it is current, and peers were asked whether
// the platform's table is the latest.
func (s *Source) mayVouch(now time.Time) bool { return s.allCurrent(now) && s.TableChecked() }

// vouched returns the confirmation to pass on to followers, without a time while a kind is too old or the
// platform's table may not be the latest.
func (s *Source) vouched(now time.Time) confirmation {
	c := s.platformStatus().confirmed
	if !s.mayVouch(now) {
		c.at = time.Time{}
	}
	return c
}

// recordAnswered notes that the platform answered a call for a kind that began at a time. It signals that
// this entry may confirm its state again if it could not before.
func (s *Source) recordAnswered(kind string, askedAt time.Time) {
	wasCurrent := s.allCurrent(clock.Now())
	s.mutex.Lock()
	if s.answeredAt == nil {
		s.answeredAt = make(map[string]time.Time)
	}
	if askedAt.After(s.answeredAt[kind]) {
		s.answeredAt[kind] = askedAt
	}
	s.mutex.Unlock()
	if !wasCurrent {
		s.confirmedSignal.Broadcast()
	}
	s.requireTableCheck()
}

// recordRelayed notes that the followed peer vouched for all kinds at a time.
func (s *Source) recordRelayed(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.relayedAt) {
		s.relayedAt = at
	}
}

// tellSilence returns the error of a call for a kind whose answer was due at a time: a
// *platform.ConnectionSilent if the call timed out while the platform answers another one that began
// later. Then one connection is dead, and the platform is not away.
func (s *Source) tellSilence(ctx context.Context, kind string, err error, dueAt time.Time) error {
	if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil || s.lateSince(dueAt) {
		return err
	}
	if !s.platformStatus().confirmed.at.After(dueAt) {
		if _, readErr := s.readPlatform(ctx, s.ConfirmedKind, s.ConfirmedName); readErr != nil {
			return err
		}
	}
	s.Counters.Add(metric.StoreConnectionsSilent, 1)
	event.StoreConnectionSilent.Log(s.Logger, slog.String("objects", kind), slog.Int64("due_ms", clock.Since(dueAt).Milliseconds()))
	return platform.NewConnectionSilent(kind)
}
