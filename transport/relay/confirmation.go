// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// confirmation is a time at which the platform was asked for the confirmed object, and its answer.
type confirmation struct {
	at     time.Time
	object protocol.Object
}

// platformStatus is what this entry reports to its followers about the platform, besides changes:
// the last confirmation, and when a call last failed.
type platformStatus struct {
	confirmed confirmation
	failedAt  time.Time
}

// acceptFollower reports whether a follower can be accepted: only if the state here is fresh, or
// the follower connects for reports only. An entry that follows a peer does not call the platform
// for a follower, and one that is starting makes the follower wait briefly.
func (s *Source) acceptFollower(ctx context.Context, reportsOnly bool) bool {
	s.selector.awaitStart(ctx)
	ctx, cancel := context.WithTimeout(ctx, relay.MaxHealthyCall)
	defer cancel()
	for {
		changed, confirmed := s.mirror.Changed(), s.confirmationChanged()
		current := s.mayVouch(clock.Now())
		if s.isFresh() || reportsOnly && s.allListed() || !s.Following() && current && s.platformAnswers(ctx) {
			return true
		}
		if !s.allListed() || s.Following() || !current {
			select {
			case <-changed:
				continue
			case <-confirmed:
				continue
			case <-ctx.Done():
			}
		}
		return false
	}
}

// addFollower counts a follower. The first one signals a link change, since an entry with followers
// confirms more often.
func (s *Source) addFollower() {
	if s.followers.Add(1) > 1 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.notifyLinkChanged()
}

// isFresh reports whether every kind is listed and was confirmed a moment ago.
func (s *Source) isFresh() bool {
	at := s.platformStatus().confirmed.at
	now := clock.Now()
	return s.allListed() && !at.IsZero() && now.Sub(at) < relay.MaxConfirmationAge && s.mayVouch(now)
}

// platformAnswers reports whether the platform answers this entry. It calls the platform unless a
// call failed a moment ago.
func (s *Source) platformAnswers(ctx context.Context) bool {
	p := s.platformStatus()
	if !s.allListed() || p.failedAt.After(p.confirmed.at) && clock.Since(p.failedAt) < relay.MaxConfirmationAge {
		return false // wait for this entry's next call
	}
	_, err := s.readPlatform(ctx, s.ConfirmedKind, s.ConfirmedName)
	return err == nil
}

// platformUnreachable reports whether every kind is listed here and the last call to the platform
// failed.
func (s *Source) platformUnreachable() bool {
	p := s.platformStatus()
	return s.allListed() && p.failedAt.After(p.confirmed.at)
}

// recordConfirmation stores for the followers what the platform held at a time.
func (s *Source) recordConfirmation(o protocol.Object, askedAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !askedAt.After(s.confirmed.at) {
		return
	}
	s.confirmed = confirmation{at: askedAt, object: o}
	s.confirmedSignal.Broadcast()
}

// latestConfirmedObject returns the newest known version of the confirmed object. A watch of the
// platform may deliver it first, or a read.
func (s *Source) latestConfirmedObject() protocol.Object {
	mirrored, _ := s.mirror.Object(s.ConfirmedKind, s.ConfirmedName)
	if c := s.platformStatus().confirmed.object; mirrored.Version.Before(c.Version) {
		return c
	}
	return mirrored
}

// confirmationChanged returns a channel that is closed at the next confirmation.
func (s *Source) confirmationChanged() <-chan struct{} { return s.confirmedSignal.Changed() }

func (s *Source) platformStatus() platformStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return platformStatus{confirmed: s.confirmed, failedAt: s.failedAt}
}
