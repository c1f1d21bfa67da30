// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/protocol"
)

// confirmation is a time at which the platform was asked for the confirmed object,
// and the version that it had.
type confirmation struct {
	at      time.Time
	version uint64
}

// passedOn is what this entry tells those who follow it, beside changes.
type passedOn struct {
	confirmed confirmation
	failedAt  time.Time
}

// beFollowed makes ready for a follower, and reports whether one can be taken: only if
// the platform answers here, at once or a moment ago. From then on this entry asks the
// platform itself.
func (s *Source) beFollowed(ctx context.Context) bool {
	if !s.reaches(ctx) {
		return false
	}
	if l := s.following(); l != nil {
		s.leave(l, "another entry follows this one")
	}
	return true
}

// reaches reports whether the platform answers this entry.
func (s *Source) reaches(ctx context.Context) bool {
	p := s.passedOn()
	if time.Since(p.confirmed.at) < confirmFollowed {
		return true
	}
	if p.failedAt.After(p.confirmed.at) && time.Since(p.failedAt) < relay.FreshFor {
		return false // the next read of this entry's own will tell
	}
	ctx, cancel := context.WithTimeout(ctx, relay.QuickFor)
	defer cancel()
	_, err := s.readPlatform(ctx, s.Kind, s.Name)
	return err == nil
}

// confirm notes for those who follow what the platform held at a time.
func (s *Source) confirm(o protocol.Object, asked time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settle()
	s.awaited = confirmation{at: asked, version: o.Version}
	s.settle()
}

// settle takes the confirmation that waits for its version once that was passed on to
// those who follow. The mutex is held.
func (s *Source) settle() {
	if held, _ := s.mirror.Object(s.Kind, s.Name); held.Version >= s.awaited.version && s.awaited.at.After(s.confirmed.at) {
		s.confirmed = s.awaited
	}
}

func (s *Source) passedOn() passedOn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settle()
	return passedOn{confirmed: s.confirmed, failedAt: s.failedAt}
}
