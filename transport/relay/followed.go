// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// confirmation is a time at which the platform was asked for the confirmed object, and
// what that was.
type confirmation struct {
	at     time.Time
	object protocol.Object
}

// passedOn is what this entry tells those who follow it, beside changes.
type passedOn struct {
	confirmed confirmation
	failedAt  time.Time
}

// beFollowed makes ready for a follower, and reports whether one can be taken: only if
// what is known here is fresh, or it comes for news only. An entry that follows a peer does not ask
// the platform for a follower's sake, and one that is starting has it wait a little.
func (s *Source) beFollowed(ctx context.Context, newsOnly bool) bool {
	s.seeker.await(ctx)
	ctx, cancel := context.WithTimeout(ctx, relay.MaxHealthyCall)
	defer cancel()
	for {
		changed, renewed := s.mirror.Changed(), s.confirmedChanges()
		if s.fresh() || newsOnly && s.listed() || !s.Following() && s.reaches(ctx) {
			return true
		}
		if !s.listed() || s.Following() {
			select {
			case <-changed:
				continue
			case <-renewed:
				continue
			case <-ctx.Done():
			}
		}
		return false
	}
}

// tookFollower counts a follower. From the first on, this entry confirms more often.
func (s *Source) tookFollower() {
	if s.followers.Add(1) > 1 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.relinked()
}

// fresh reports whether everything is known here as it was a moment ago.
func (s *Source) fresh() bool {
	at := s.passedOn().confirmed.at
	return s.listed() && !at.IsZero() && clock.Since(at) < relay.MaxConfirmationAge
}

// reaches reports whether the platform answers this entry.
func (s *Source) reaches(ctx context.Context) bool {
	p := s.passedOn()
	if !s.listed() || p.failedAt.After(p.confirmed.at) && clock.Since(p.failedAt) < relay.MaxConfirmationAge {
		return false // the next call of this entry's own will tell
	}
	_, err := s.readPlatform(ctx, s.ConfirmedKind, s.ConfirmedName)
	return err == nil
}

// unreached reports whether everything was known here and the platform does not answer this entry
// any more.
func (s *Source) unreached() bool {
	p := s.passedOn()
	return s.listed() && p.failedAt.After(p.confirmed.at)
}

// confirm notes for those who follow what the platform held at a time.
func (s *Source) confirm(o protocol.Object, asked time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !asked.After(s.confirmed.at) {
		return
	}
	s.confirmed = confirmation{at: asked, object: o}
	s.renewed.Tell()
}

// latest returns the confirmed object as it is known here: the platform's watch may bring
// it first, or a reading.
func (s *Source) latest() protocol.Object {
	held, _ := s.mirror.Object(s.ConfirmedKind, s.ConfirmedName)
	if c := s.passedOn().confirmed.object; c.Version > held.Version {
		return c
	}
	return held
}

// confirmedChanges returns a channel that closes when something was confirmed.
func (s *Source) confirmedChanges() <-chan struct{} { return s.renewed.Awaited() }

func (s *Source) passedOn() passedOn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return passedOn{confirmed: s.confirmed, failedAt: s.failedAt}
}
