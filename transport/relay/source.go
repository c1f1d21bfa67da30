// SPDX-License-Identifier: Apache-2.0

// Package relay lets entries learn from one another what the platform's objects are, so
// that only one of them calls the platform all the time.
//
// A Source stands between watchers and the platform. While it follows a peer, lists and
// watches are answered with what the peer passes on, and a read that confirms an object
// asks the peer how fresh its knowledge is; otherwise all go to the platform. A Server passes on what this entry's Source knows. The words between
// them are CBOR frames on a WebSocket connection:
//
//	s := &relay.Source{Platform: store, Self: self, Kinds: kinds, Counters: &c}
//	s.Start()
//	w := &watch.Watcher{Source: s, Kind: "servers", Sink: sink}
//	http.Handle(relay.Path, &relay.Server{Source: s})
//	s.Learn(records, true) // whenever the entries' records are read
package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
	"pinerun.example/pinerun/transport/platform"
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
	// ConfirmedKind and Name are of the object that is read to confirm that nothing changed.
	ConfirmedKind string
	ConfirmedName string
	Counters      *metric.Set
	Logger        *slog.Logger
	// OnPlatformFailure is told when the platform did not answer the peer that is followed, and
	// when.
	OnPlatformFailure func(at time.Time)
	// EndpointCount returns how many endpoints are known, nil for none, and Judged is told what
	// a report of a lost endpoint changes.
	EndpointCount func() int
	OnLossChange  func(r loss.Report, v loss.Change)
	// Incarnation returns the life of an endpoint that is known, nil for none ever.
	Incarnation func(endpoint string) protocol.Incarnation
	// OnSlownessChange is told what a report of an endpoint's pace changes, nil for nobody.
	OnSlownessChange func(r slow.Report, v slow.Change)
	// Dial connects to a peer's address, nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	done       part.Done
	mirror     mirror.Mirror
	news       news
	paces      paces
	quarantine Quarantine
	seeker     seeker
	followers  atomic.Int64
	mutex      sync.Mutex
	link       *link         // to the peer that is followed, nil for none
	linked     chan struct{} // closed when link changes
	askedAt    time.Time     // of the platform, because the peer could not confirm
	failures   int           // calls of reads without an answer, in a row
	confirmed  confirmation
	failedAt   time.Time   // when a call of this entry last failed
	renewed    part.Signal // told when what is confirmed may have changed
	anew       atomic.Bool // the next peer is told that nothing is known here
}

// Start begins to look for a peer to follow. Until it is known whether there is one,
// lists and reads wait, startMost at most.
func (s *Source) Start() {
	s.seeker.source = s
	s.quarantine.Self = s.Self.Name
	s.seeker.start(clock.Now())
	go s.seeker.run()
}

// Close ends it and the connection to the peer.
func (s *Source) Close() {
	s.done.Close()
	if l := s.following(); l != nil {
		l.close()
	}
}

// Quarantine returns what this entry and those before it and after it tell of work that may
// end what runs it.
func (s *Source) Quarantine() *Quarantine { return &s.quarantine }

// Learn takes the records of the entries that there may be. All says that none is
// missing that matters: an entry that has just started follows whom it can at once, and
// only if it has seen all and reaches nobody asks the platform itself.
func (s *Source) Learn(records []protocol.EntryRecord, all bool) {
	s.seeker.learn(records, relay.FallbackCallers(s.Record(), records), all)
}

// Objects returns what is known of a kind, and whether it ever was.
func (s *Source) Objects(kind string) (protocol.Listing, bool) { return s.mirror.List(kind) }

// Revision returns the revision up to which a kind is known, 0 for none.
func (s *Source) Revision(kind string) uint64 { return s.mirror.Revision(kind) }

// ApplyList takes a list of a kind that nobody watches, to be passed on.
func (s *Source) ApplyList(kind string, l protocol.Listing) { s.mirror.ApplyList(kind, l) }

// SetKey takes the key under which this entry was known before it started anew.
func (s *Source) SetKey(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Self.Key = key
}

// Record returns this entry's record.
func (s *Source) Record() protocol.EntryRecord {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Self
}

func (s *Source) key() string { return s.Record().Key }

// Followed reports whether other entries follow this one.
func (s *Source) Followed() bool { return s.followers.Load() > 0 }

// Following reports whether watchers hear through a peer.
func (s *Source) Following() bool { return s.following() != nil }

func (s *Source) following() *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.link
}

// follow begins to follow a peer in place of the one that was followed, if any, and
// reports whether it does: not when this entry ends.
func (s *Source) follow(l *link) bool {
	s.mutex.Lock()
	if s.done.Closed() {
		s.mutex.Unlock()
		l.close()
		return false
	}
	old := s.link
	s.link = l
	s.relinked()
	s.mutex.Unlock()
	if old != nil {
		old.close()
	}
	event.PeerFollowed.Log(s.Logger, slog.String("peer", l.peer.Name))
	return true
}

// leave ends following a peer.
func (s *Source) leave(l *link, why string) {
	s.seeker.lost() // before anybody learns that there is no peer
	s.mutex.Lock()
	current := s.link == l
	if current {
		s.link = nil
		s.relinked()
	}
	s.mutex.Unlock()
	l.close()
	if current {
		event.PeerLeft.Log(s.Logger, slog.String("peer", l.peer.Name), slog.String("cause", why))
	}
	s.seeker.wake()
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

// listed reports whether every kind was listed: a peer passes on only changes.
func (s *Source) listed() bool {
	for _, k := range s.Kinds {
		if s.mirror.Revision(k) == 0 {
			return false
		}
	}
	return true
}

// Relinked returns a channel that closes when another peer is followed, none any more,
// or the first one follows this entry.
func (s *Source) Relinked() <-chan struct{} {
	_, linked := s.changedLink()
	return linked
}

// List returns every object of a kind, as a peer passed it on or else from the platform.
func (s *Source) List(ctx context.Context, kind string) (protocol.Listing, error) {
	s.seeker.await(ctx)
	if l, ok := s.mirror.List(kind); ok && s.Following() {
		l.Relayed = true
		return l, nil
	}
	asked := clock.Now()
	l, err := s.Platform.List(ctx, kind)
	s.note(ctx, err)
	if err == nil {
		s.mirror.ApplyList(kind, l)
		s.confirmListed(kind, l, asked)
	}
	return l, err
}

// confirmListed takes a list as a reading of the confirmed object that is in it.
func (s *Source) confirmListed(kind string, l protocol.Listing, asked time.Time) {
	if kind != s.ConfirmedKind {
		return
	}
	for _, o := range l.Objects {
		if o.Name == s.ConfirmedName {
			s.confirm(o, asked)
		}
	}
}

// Watch returns the changes of a kind after a revision, as soon as a peer or the
// platform tells of any, or none after the wait.
func (s *Source) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (protocol.Changes, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		changed := s.mirror.Changed()
		run, ok := s.mirror.Since(kind, after)
		if !ok || s.mirror.Revision(kind) == 0 {
			return protocol.Changes{}, &platform.Compacted{}
		}
		if run.To > after {
			return protocol.Changes{Changes: run.Changes, At: run.To, Relayed: true}, nil
		}
		peer, relinked := s.changedLink()
		if peer == nil && s.seeker.awaitLook(ctx) {
			continue
		}
		if err := ctx.Err(); err != nil {
			return protocol.Changes{}, err
		}
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
	s.note(ctx, err)
	if err == nil && len(c.Changes) > 0 && !s.mirror.Apply(kind, mirror.Delta{After: after, To: c.At, Changes: c.Changes}) {
		return protocol.Changes{}, &platform.Compacted{}
	}
	return c, err
}

// note notes whether the platform answered. A call that was given up here says nothing
// about it.
func (s *Source) note(ctx context.Context, err error) {
	var forgotten *platform.Compacted
	var missing *platform.NotFound
	if err == nil || errors.As(err, &forgotten) || errors.As(err, &missing) || ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	first := !s.failedAt.After(s.confirmed.at)
	s.failedAt = clock.Now()
	s.mutex.Unlock()
	if first && !s.Following() {
		s.seeker.wake() // others may have news
	}
}
