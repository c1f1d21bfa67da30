// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"time"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
	"pinerun.example/pinerun/transport/watch"
)

const (
	// confirmAlone is how often an entry that nobody follows reads the confirmed
	// object. Keys are trusted for a bound counted from the last confirmation, so an
	// outage finds as much of the bound spent as the last confirmation is old.
	confirmAlone = 1400 * time.Millisecond
	// confirmFollowed is how often one that others follow reads it, well below
	// relay.FreshFor: one entry of the fleet does, and the others know a few ms later.
	confirmFollowed = 450 * time.Millisecond
	// askRest is the least time between two questions to a peer, which holds its answer
	// back until it has news.
	askRest = 50 * time.Millisecond
	// failedFirst is when to read again after a call that failed; an entry that nobody
	// follows doubles it with each in a row, up to failedMost.
	failedFirst     = 300 * time.Millisecond
	failedMost      = 1200 * time.Millisecond
	failedDoublings = 2
)

// Read reads an object as the platform held it at the time that the reading names.
func (s *Source) Read(ctx context.Context, kind, name string) (watch.Reading, error) {
	s.seeker.await(ctx)
	for {
		peer := s.following()
		if peer == nil {
			return s.readPlatform(ctx, kind, name)
		}
		q := relay.Query{FollowedAt: peer.since, HasFollowers: s.Followed(), Jitter: peer.patience, FallbackCallers: s.seeker.alike()}
		q.AskedAt, q.Unanswered = s.lastAsked()
		q.LastConfirmedAt = s.passedOn().confirmed.at
		q.ConfirmedAt = q.LastConfirmedAt
		c := peer.ask(ctx, q.TrustedUntil())
		if c.at.IsZero() && s.replaced(peer) && ctx.Err() == nil {
			continue // the question was lost with the link
		}
		return s.judge(ctx, peer, q, c)
	}
}

// replaced reports whether another peer is followed now.
func (s *Source) replaced(peer *link) bool {
	now := s.following()
	return now != nil && now != peer
}

// judge takes what a peer that was asked confirmed, or goes on without it.
func (s *Source) judge(ctx context.Context, peer *link, q relay.Query, c confirmation) (watch.Reading, error) {
	q.ConfirmedAt, q.PeerVersion = c.at, c.object.Version
	q.Now = clock.Now()
	held := s.latest()
	if len(c.object.Value) > 0 && c.object.Version > held.Version {
		held = c.object
	}
	q.OwnVersion = held.Version
	switch relay.Decide(q).(type) {
	case relay.TrustPeer:
		s.confirm(held, q.ConfirmedAt)
		if held.Version == 0 {
			return watch.Reading{}, nil
		}
		return watch.NewReading(held, q.ConfirmedAt), nil
	case relay.Wait:
		return watch.Reading{}, errUnconfirmed
	case relay.FindPeer:
		s.seeker.avoid(peer.peer.Name, false, q.Now)
		s.seeker.wake()
		return watch.Reading{}, errUnconfirmed
	}
	return s.askPlatform(ctx, peer, q)
}

// askPlatform reads the confirmed object beside a peer that can't confirm it.
func (s *Source) askPlatform(ctx context.Context, peer *link, q relay.Query) (watch.Reading, error) {
	s.setAsked(q.Now)
	r, err := s.readPlatform(ctx, s.ConfirmedKind, s.ConfirmedName)
	switch {
	case err != nil:
		// It may be that only some entries are turned away: another peer may know more.
		s.seeker.avoid(peer.peer.Name, false, clock.Now())
		s.seeker.wake()
	case relay.ShouldLeave(q, clock.Now()):
		s.seeker.avoid(peer.peer.Name, false, clock.Now())
		s.leave(peer, "it could not confirm what the platform holds")
	}
	return r, err
}

// errUnconfirmed says that neither peer nor platform could confirm an object.
var errUnconfirmed = errors.New("the followed entry can't confirm it, and the platform was asked a moment ago")

func (s *Source) readPlatform(ctx context.Context, kind, name string) (watch.Reading, error) {
	asked := clock.Now()
	o, err := s.Platform.Get(ctx, kind, name)
	s.note(ctx, err)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		s.counted(nil)
		s.confirm(protocol.Object{}, asked)
		return watch.Reading{}, nil // the platform answers, and nobody has written it yet
	}
	s.counted(err)
	if err != nil {
		return watch.Reading{}, err
	}
	s.confirm(o, asked)
	return watch.NewReading(o, asked), nil
}

// Next returns when to read again after a reading at last.
func (s *Source) Next(last time.Time, failed bool) time.Time {
	switch {
	case s.Following():
		return last.Add(askRest)
	case failed && s.Followed():
		return last.Add(failedFirst)
	case failed:
		_, failures := s.lastAsked()
		return last.Add(min(failedMost, failedFirst<<min(max(0, failures-1), failedDoublings)))
	case s.Followed():
		return last.Add(confirmFollowed)
	default:
		return last.Add(confirmAlone)
	}
}

// lastAsked returns when the platform was last asked because the peer could not
// confirm, and how many reads in a row had no answer.
func (s *Source) lastAsked() (time.Time, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.askedAt, s.failures
}

func (s *Source) setAsked(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.askedAt = now
}

// counted counts reads without an answer.
func (s *Source) counted(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures++
	if err == nil {
		s.failures = 0
	}
}
