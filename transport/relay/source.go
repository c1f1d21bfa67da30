// SPDX-License-Identifier: Apache-2.0

// Package relay lets the entries of a data center learn from one of them what the
// platform's objects are, so that only that one calls the platform all the time.
//
// A Source stands between watchers and the platform. While it follows a peer,
// watches are answered with the changes that the peer passes on, and a read that
// confirms an object asks the peer how fresh its knowledge is; otherwise both go to
// the platform. A Server passes on what this entry's Source knows. The words between
// them are CBOR frames on a WebSocket connection:
//
//	s := &relay.Source{Platform: store, Self: self, Kinds: kinds, Counters: &c}
//	s.Start()
//	w := &watch.Watcher{Source: s, Kind: "servers", Sink: sink}
//	http.Handle(relay.Path, &relay.Server{Source: s})
//	s.Learn(records) // whenever the entries' records are read
package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
	"pinerun.example/pinerun/transport/platform"
	"pinerun.example/pinerun/transport/watch"
)

const (
	// confirmAlone is how often an entry that nobody follows reads the confirmed
	// object. Keys are trusted for a bound counted from the last confirmation, so an
	// outage finds as much of the bound spent as the last confirmation is old.
	confirmAlone = 1400 * time.Millisecond
	// confirmFollowed is how often one that others follow reads it, and askEvery how
	// often they ask it: together well below relay.FreshFor.
	confirmFollowed = 450 * time.Millisecond
	askEvery        = 350 * time.Millisecond
	// failedFirst is when to read again after a call that failed; an entry that nobody
	// follows doubles it with each in a row, up to failedMost.
	failedFirst = 300 * time.Millisecond
	failedMost  = 1200 * time.Millisecond
	failedRuns  = 2
)

// Platform is the platform's object store as far as a Source needs it.
type Platform interface {
	List(ctx context.Context, kind string) (protocol.Listing, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (protocol.Changes, error)
	Get(ctx context.Context, kind, name string) (protocol.Object, error)
}

// Source answers watchers from a peer or from the platform. Set the exported fields
// before Start.
type Source struct {
	Platform Platform
	Self     protocol.EntryRecord
	Kinds    []string // that are passed on
	// Kind and Name are of the object that is read to confirm that nothing changed.
	Kind     string
	Name     string
	Counters *metric.Set
	Logger   *slog.Logger
	// Failed is told when the platform did not answer the peer that is followed, and
	// when.
	Failed func(at time.Time)

	done      part.Done
	mirror    mirror.Mirror
	seeker    seeker
	followers atomic.Int64
	mutex     sync.Mutex
	link      *link         // to the peer that is followed, nil for none
	linked    chan struct{} // closed when link changes
	askedAt   time.Time     // of the platform, because the peer could not confirm
	failures  int           // calls of reads without an answer, in a row
	confirmed confirmation
	awaited   confirmation // not passed on yet, because the watch has not brought that version
	failedAt  time.Time    // when a call of this entry last failed
}

// confirmation is a time at which the platform was asked for the confirmed object,
// and the version that it had.
type confirmation struct {
	at      time.Time
	version uint64
}

// Start begins to look for a peer to follow.
func (s *Source) Start() {
	s.seeker.source = s
	go s.seeker.run()
}

// Close ends it and the connection to the peer.
func (s *Source) Close() {
	s.done.Close()
	if l := s.following(); l != nil {
		l.close()
	}
}

// Learn takes the records of the entries that there may be.
func (s *Source) Learn(records []protocol.EntryRecord) { s.seeker.learn(records) }

// Followed reports whether other entries follow this one.
func (s *Source) Followed() bool { return s.followers.Load() > 0 }

// Following reports whether watchers hear through a peer.
func (s *Source) Following() bool { return s.following() != nil }

func (s *Source) following() *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.link
}

// follow begins to follow a peer, unless a better one is followed already.
func (s *Source) follow(l *link) {
	s.mutex.Lock()
	old := s.link
	s.link = l
	s.relinked()
	s.mutex.Unlock()
	if old != nil {
		old.close()
	}
	event.RelayFollowed.Log(s.Logger, slog.String("peer", l.peer.Name))
}

// leave ends following a peer.
func (s *Source) leave(l *link, why string) {
	s.mutex.Lock()
	current := s.link == l
	if current {
		s.link = nil
		s.relinked()
	}
	s.mutex.Unlock()
	l.close()
	if current {
		event.RelayLeft.Log(s.Logger, slog.String("peer", l.peer.Name), slog.String("cause", why))
		s.seeker.wake()
	}
}

func (s *Source) relinked() {
	if s.linked != nil {
		close(s.linked)
		s.linked = nil
	}
}

// changedLink returns the peer that is followed and a channel that closes when that
// changes.
func (s *Source) changedLink() (*link, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.linked == nil {
		s.linked = make(chan struct{})
	}
	return s.link, s.linked
}

// List asks the platform for every object of a kind.
func (s *Source) List(ctx context.Context, kind string) (protocol.Listing, error) {
	l, err := s.Platform.List(ctx, kind)
	s.note(err)
	if err == nil {
		s.mirror.Listed(kind, l)
	}
	return l, err
}

// Watch returns the changes of a kind after a revision, as soon as a peer or the
// platform tells of any, or none after the wait.
func (s *Source) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (protocol.Changes, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		changed := s.mirror.Changed()
		run, ok := s.mirror.Since(kind, after)
		if !ok || s.mirror.At(kind) == 0 {
			return protocol.Changes{}, &platform.Forgotten{}
		}
		if run.At > after {
			return protocol.Changes{Changes: run.Changes, At: run.At, Relayed: true}, nil
		}
		peer, relinked := s.changedLink()
		if peer == nil {
			return s.watchPlatform(ctx, kind, after, wait)
		}
		select {
		case <-changed:
		case <-relinked:
		case <-t.C:
			return protocol.Changes{At: after, Relayed: true}, nil
		case <-ctx.Done():
			return protocol.Changes{}, ctx.Err()
		}
	}
}

func (s *Source) watchPlatform(ctx context.Context, kind string, after uint64, wait time.Duration) (protocol.Changes, error) {
	c, err := s.Platform.Watch(ctx, kind, after, wait)
	s.note(err)
	if err == nil && len(c.Changes) > 0 && !s.mirror.Took(kind, mirror.Run{After: after, At: c.At, Changes: c.Changes}) {
		return protocol.Changes{}, &platform.Forgotten{}
	}
	return c, err
}

// Read reads an object as the platform held it at the time that the reading names.
func (s *Source) Read(ctx context.Context, kind, name string) (watch.Reading, error) {
	peer := s.following()
	if peer == nil {
		return s.readPlatform(ctx, kind, name)
	}
	q := relay.Query{FollowedAt: peer.since}
	q.AskedAt, q.Unanswered = s.lastAsked()
	q.Confirmed, q.Told = peer.ask(ctx)
	q.Now = time.Now()
	held, _ := s.mirror.Object(kind, name)
	q.Held = held.Version
	switch relay.Judge(q).(type) {
	case relay.Trust:
		return watch.Read(held, q.Confirmed), nil
	case relay.Wait:
		return watch.Reading{}, errUnconfirmed
	}
	s.setAsked(q.Now)
	r, err := s.readPlatform(ctx, kind, name)
	switch {
	case err != nil:
		// It may be that only some entries are turned away: another peer may know more.
		s.seeker.avoid(peer.peer.Name, time.Now())
		s.seeker.wake()
	case relay.Leave(q, time.Now()):
		s.seeker.avoid(peer.peer.Name, time.Now())
		s.leave(peer, "it could not confirm what the platform holds")
	}
	return r, err
}

// errUnconfirmed says that neither peer nor platform could confirm an object.
var errUnconfirmed = errors.New("the followed entry can't confirm it, and the platform was asked a moment ago")

func (s *Source) readPlatform(ctx context.Context, kind, name string) (watch.Reading, error) {
	asked := time.Now()
	o, err := s.Platform.Get(ctx, kind, name)
	s.note(err)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		s.counted(nil)
		return watch.Reading{}, nil // the platform answers, and nobody has written it yet
	}
	s.counted(err)
	if err != nil {
		return watch.Reading{}, err
	}
	s.confirm(o, asked)
	return watch.Read(o, asked), nil
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

// Next returns when to read again.
func (s *Source) Next(now time.Time, failed bool) time.Time {
	switch {
	case s.Following():
		return now.Add(askEvery)
	case failed && s.followers.Load() > 0:
		return now.Add(failedFirst)
	case failed:
		_, failures := s.lastAsked()
		return now.Add(min(failedMost, failedFirst<<min(max(0, failures-1), failedRuns)))
	case s.followers.Load() > 0:
		return now.Add(confirmFollowed)
	default:
		return now.Add(confirmAlone)
	}
}

// lastAsked returns when the platform was last asked because the peer could not
// confirm, and how many reads in a row had no answer.
func (s *Source) lastAsked() (time.Time, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.askedAt, s.failures
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

func (s *Source) setAsked(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.askedAt = now
}

// note notes whether the platform answered.
func (s *Source) note(err error) {
	var forgotten *platform.Forgotten
	var missing *platform.NotFound
	if err == nil || errors.As(err, &forgotten) || errors.As(err, &missing) || errors.Is(err, context.Canceled) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failedAt = time.Now()
}

// passedOn is what this entry tells those who follow it, beside changes.
type passedOn struct {
	confirmed confirmation
	failedAt  time.Time
}

func (s *Source) passedOn() passedOn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settle()
	return passedOn{confirmed: s.confirmed, failedAt: s.failedAt}
}
