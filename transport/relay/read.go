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
	// confirmInterval is how often an entry without followers reads the confirmed object. Keys are
	// trusted for a limited time after the last confirmation, and at the start of an outage the age
	// of the last confirmation is already spent of that time.
	confirmInterval = 1400 * time.Millisecond
	// confirmIntervalFollowed is how often an entry with followers reads it. It is well below
	// relay.MaxConfirmationAge. One entry of the fleet reads this often, and the others learn the
	// result a few ms later.
	confirmIntervalFollowed = 450 * time.Millisecond
	// minAskInterval is the least time between two requests to a peer, which delays its answer
	// until it has a newer confirmation.
	minAskInterval = 50 * time.Millisecond
	// initialRetryDelay is when to read again after a failed call. An entry without followers
	// doubles it with each failure in a row, up to maxRetryDelay.
	initialRetryDelay = 300 * time.Millisecond
	maxRetryDelay     = 1200 * time.Millisecond
	maxRetryDoublings = 2
)

// Read reads an object. The Reading says when the platform held it.
func (s *Source) Read(ctx context.Context, kind, name string) (watch.Reading, error) {
	s.selector.awaitStart(ctx)
	for {
		peer := s.followedPeer()
		if peer == nil {
			return s.readPlatform(ctx, kind, name)
		}
		q := relay.Query{FollowedAt: peer.followedAt, HasFollowers: s.Followed(), Jitter: peer.jitter, FallbackCallers: s.selector.fallbackCallerCount()}
		q.AskedAt, q.Unanswered = s.fallbackState()
		q.LastConfirmedAt = s.platformStatus().confirmed.at
		q.ConfirmedAt = q.LastConfirmedAt
		c := peer.ask(ctx, q.TrustedUntil())
		if c.at.IsZero() && s.peerReplaced(peer) && ctx.Err() == nil {
			continue // the link was replaced before the peer answered
		}
		return s.evaluateAnswer(ctx, peer, q, c)
	}
}

// peerReplaced reports whether this entry now follows another peer.
func (s *Source) peerReplaced(peer *link) bool {
	current := s.followedPeer()
	return current != nil && current != peer
}

// evaluateAnswer decides what to do with a peer's answer: trust it, wait, look for another peer or
// ask the platform.
func (s *Source) evaluateAnswer(ctx context.Context, peer *link, q relay.Query, c confirmation) (watch.Reading, error) {
	if c.object.Version.Era < s.Eras.Latest() {
		c.at = time.Time{} // the peer does not know yet that the platform was restored
	}
	q.ConfirmedAt, q.PeerVersion = c.at, c.object.Version
	q.Now = clock.Now()
	object := s.latestConfirmedObject()
	if len(c.object.Value) > 0 && object.Version.Before(c.object.Version) {
		object = c.object
	}
	q.OwnVersion = object.Version
	switch relay.Decide(q).(type) {
	case relay.TrustPeer:
		s.recordRelayed(q.ConfirmedAt)
		s.setTableChecked(c.object.Version.Era)
		s.recordConfirmation(object, q.ConfirmedAt)
		if object.Version.IsZero() {
			return watch.Reading{}, nil
		}
		return watch.NewReading(object, q.ConfirmedAt), nil
	case relay.Wait:
		return watch.Reading{}, ErrUnconfirmed
	case relay.FindPeer:
		s.selector.backOff(peer.peer.Name, false, q.Now)
		s.selector.wake()
		return watch.Reading{}, ErrUnconfirmed
	}
	return s.confirmWithPlatform(ctx, peer, q)
}

// confirmWithPlatform reads the confirmed object from the platform because the peer can't confirm
// it.
func (s *Source) confirmWithPlatform(ctx context.Context, peer *link, q relay.Query) (watch.Reading, error) {
	s.setFallbackTime(q.Now)
	r, err := s.readPlatform(ctx, s.ConfirmedKind, s.ConfirmedName)
	switch {
	case err != nil:
		// The platform may reject only some entries: another peer may be fresher.
		s.selector.backOff(peer.peer.Name, false, clock.Now())
		s.selector.wake()
	case relay.ShouldStopFollowing(q, clock.Now()):
		s.selector.backOff(peer.peer.Name, false, clock.Now())
		s.dropPeer(peer, "it could not confirm the platform's state")
	}
	return r, err
}

// ErrUnconfirmed says that no answer of the platform could be had now: the peer has none, and this entry
// asked a moment ago or was answered for an earlier era. It is no failed call of this entry.
var ErrUnconfirmed = errors.New("the followed entry can't confirm the object, and the platform was asked a moment ago")

// readPlatform reads an object from the platform. A call whose time passed while this entry was not
// run says nothing about the platform, so it is repeated at once.
func (s *Source) readPlatform(ctx context.Context, kind, name string) (watch.Reading, error) {
	askedAt := clock.Now()
	o, err := s.Platform.Get(ctx, kind, name)
	if s.timedOutLate(err, askedAt) && ctx.Err() == nil {
		askedAt = clock.Now()
		o, err = s.Platform.Get(ctx, kind, name)
	}
	s.recordPlatformResult(ctx, err, askedAt)
	s.requireTableCheck()
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		s.countReadResult(nil)
		s.recordConfirmation(protocol.Object{Version: protocol.Revision{Era: s.Eras.Latest()}}, askedAt)
		return watch.Reading{}, nil // the platform answered: the object does not exist yet
	}
	s.countReadResult(err)
	if err != nil {
		return watch.Reading{}, err
	}
	if o.Version.Era < s.Eras.Latest() {
		return watch.Reading{}, ErrUnconfirmed
	}
	s.recordConfirmation(o, askedAt)
	return watch.NewReading(o, askedAt), nil
}

// Next returns when to read again after the last read.
func (s *Source) Next(last time.Time, failed bool) time.Time {
	switch {
	case s.takeReadSoon():
		return last
	case s.Following():
		return last.Add(minAskInterval)
	case failed && s.Followed():
		return last.Add(initialRetryDelay)
	case failed:
		_, failures := s.fallbackState()
		return last.Add(min(maxRetryDelay, initialRetryDelay<<min(max(0, failures-1), maxRetryDoublings)))
	case s.Followed():
		return last.Add(confirmIntervalFollowed)
	default:
		return last.Add(confirmInterval)
	}
}

// takeReadSoon reports whether the confirmed object is to be read at once, and forgets it.
func (s *Source) takeReadSoon() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	soon := s.readSoon
	s.readSoon = false
	return soon
}

// fallbackState returns when the platform was last asked because the peer could not confirm, and
// how many reads in a row failed.
func (s *Source) fallbackState() (time.Time, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fallbackAt, s.readFailures
}

func (s *Source) setFallbackTime(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fallbackAt = now
}

// countReadResult counts the failed reads in a row.
func (s *Source) countReadResult(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readFailures++
	if err == nil {
		s.readFailures = 0
	}
}
