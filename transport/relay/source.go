// SPDX-License-Identifier: Apache-2.0

// Package relay lets entries learn the state of the platform's objects from one another, so that
// only one of them calls the platform continuously.
//
// A Source stands between the watchers and the platform. While it follows a peer, it answers lists
// and watches with what the peer sends, and a read that confirms an object asks the peer how fresh
// its state is. Otherwise all calls go to the platform. A Server passes the state of this entry's
// Source on to its followers. They exchange CBOR frames on a WebSocket connection:
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
	"pinerun.example/pinerun/coordination/ratelimit"
	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/era"
	"pinerun.example/pinerun/state/mirror"
	"pinerun.example/pinerun/transport/platform"
)

// Platform is the part of the platform's object store that a Source calls.
type Platform interface {
	List(ctx context.Context, kind string) (protocol.Listing, error)
	Watch(ctx context.Context, kind string, after protocol.Revision, wait time.Duration) (protocol.Changes, error)
	Get(ctx context.Context, kind, name string) (protocol.Object, error)
}

// Source answers watchers from a peer or from the platform. Set the exported fields before Start.
type Source struct {
	Platform Platform
	Self     protocol.EntryRecord
	Kinds    []string // passed on to followers
	// ConfirmedKind and ConfirmedName identify the object that is read to confirm that nothing
	// changed.
	ConfirmedKind string
	ConfirmedName string
	Counters      *metric.Set
	Logger        *slog.Logger
	// Eras is the latest era of the platform that is known, here or from peers; nil means that the
	// platform names none.
	Eras *era.Tracker
	// OnPlatformFailure is called with the time of the failure when the followed peer reports that
	// the platform did not answer it, since the last confirmation. The platform may have turned away
	// that peer alone: see PlatformAway.
	OnPlatformFailure func(at time.Time)
	// EndpointCount returns how many endpoints are known; nil means none. OnLossChange is called
	// with what a report of a lost endpoint changes; nil for no call.
	EndpointCount func() int
	OnLossChange  func(r loss.Report, change loss.Change)
	// Incarnation returns the known incarnation of an endpoint; nil means that none is ever known.
	Incarnation func(endpoint string) protocol.Incarnation
	// OnSlownessChange is called with what a slowness report changes; nil for no call.
	OnSlownessChange func(r slow.Report, change slow.Change)
	// OnRateLimitChange is called with a report that changes the rate limit of an endpoint; nil for no
	// call.
	OnRateLimitChange func(r ratelimit.Report, change ratelimit.LimitChanged)
	// OnLostTable is called with a table that peers know and the platform lost. It reports whether the
	// table is later than the one that this entry knew; nil for no call.
	OnLostTable func(version uint64, value []byte) bool
	// TableInForce returns the version and the object of the table in force, 0 for none; nil means that
	// none ever is.
	TableInForce func() (version uint64, value []byte)
	// LateSince reports whether this process was not run for a while since a time, so that a call that
	// got no answer since may have got one; nil means never.
	LateSince func(t time.Time) bool
	// Dial connects to a peer's address; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	done            lifecycle.Done
	mirror          mirror.Mirror
	losses          lossReports
	slowness        slownessReports
	quarantine      Quarantine
	rateLimits      RateLimits
	lost            lostTable
	selector        peerSelector
	followers       atomic.Int64
	mutex           sync.Mutex
	link            *link         // to the followed peer, nil for none
	linkChanged     chan struct{} // closed when link changes
	checkedEra      uint64        // era in which the platform's table may be confirmed
	checking        bool          // a tableCheck runs
	readSoon        bool          // the confirmed object is to be read at once
	fallbackAt      time.Time     // when the platform was last asked because the peer could not confirm
	readFailures    int           // failed reads in a row
	confirmed       confirmation
	answeredAt      map[string]time.Time // by kind: when the last call that the platform answered began
	relayedAt       time.Time            // when the followed peer last vouched for all kinds
	failedAt        time.Time            // when a call of this entry last failed
	confirmedSignal lifecycle.Signal     // signaled when the confirmation may have changed
	sendEmptyHello  atomic.Bool          // the next hello reports no known state
}

// Start begins to look for a peer to follow. Until it is known whether there is one, lists and
// reads wait, maxStartWait at most.
func (s *Source) Start() {
	s.selector.source = s
	s.quarantine.Self = s.Self.Name
	s.rateLimits.SetMembers(s.Self.Name, nil) // names its reports until the entries are counted
	s.rateLimits.OnChange = s.OnRateLimitChange
	s.selector.start(clock.Now())
	go s.selector.run()
}

// Close stops the Source and closes the connection to the peer.
func (s *Source) Close() {
	s.done.Close()
	if l := s.followedPeer(); l != nil {
		l.close()
	}
}

// Quarantine returns the reports, exchanged with peers, of work that may crash its endpoint.
func (s *Source) Quarantine() *Quarantine { return &s.quarantine }

// RateLimits returns the rate limits of endpoints, which are exchanged with peers.
func (s *Source) RateLimits() *RateLimits { return &s.rateLimits }

// Learn sets the records of the entries. Complete says that no relevant record is missing: an entry
// that has just started follows any peer that it can, and calls the platform itself only if it has
// seen all records and can reach none of those entries.
func (s *Source) Learn(records []protocol.EntryRecord, complete bool) {
	s.selector.setRecords(records, relay.FallbackCallers(s.Record(), records), complete)
}

// Objects returns the known objects of a kind, and whether the kind was ever listed.
func (s *Source) Objects(kind string) (protocol.Listing, bool) { return s.mirror.List(kind) }

// Revision returns the revision up to which a kind is known, the zero one for none.
func (s *Source) Revision(kind string) protocol.Revision { return s.mirror.Revision(kind) }

// ApplyList stores a list of a kind that has no watcher, so that it is passed on to followers.
func (s *Source) ApplyList(kind string, l protocol.Listing) { s.mirror.ApplyList(kind, l) }

// SetKey sets the key that this entry's record had before a restart.
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

// Following reports whether this entry follows a peer.
func (s *Source) Following() bool { return s.followedPeer() != nil }

// FollowedName returns the name of the followed peer, "" for none.
func (s *Source) FollowedName() string {
	if l := s.followedPeer(); l != nil {
		return l.peer.Name
	}
	return ""
}

// FailedAt returns when a call of this entry to the platform last failed, zero for never.
func (s *Source) FailedAt() time.Time { return s.platformStatus().failedAt }

// PlatformAway reports whether the platform seems to be away for all entries: neither this entry nor a
// peer has confirmed its state for longer than that takes where the platform serves this entry.
func (s *Source) PlatformAway(now time.Time) bool {
	return relay.Away(s.platformStatus().confirmed.at, now)
}

// reportPeerFailure reports that the platform did not answer the followed peer at a time, unless its state
// was confirmed after that.
func (s *Source) reportPeerFailure(at time.Time) {
	if s.OnPlatformFailure != nil && at.After(s.platformStatus().confirmed.at) {
		s.OnPlatformFailure(at)
	}
}

func (s *Source) followedPeer() *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.link
}

// setPeer follows a peer in place of the current one, if any. It reports whether it does, which is
// not the case once the Source is closed.
func (s *Source) setPeer(l *link) bool {
	s.mutex.Lock()
	if s.done.Closed() {
		s.mutex.Unlock()
		l.close()
		return false
	}
	old := s.link
	s.link = l
	s.notifyLinkChanged()
	s.mutex.Unlock()
	if old != nil {
		old.close()
	}
	event.PeerFollowed.Log(s.Logger, slog.String("peer", l.peer.Name))
	return true
}

// dropPeer stops following a peer.
func (s *Source) dropPeer(l *link, reason string) {
	s.selector.peerLost() // before anything sees that there is no peer
	s.mutex.Lock()
	current := s.link == l
	if current {
		s.link = nil
		s.notifyLinkChanged()
	}
	s.mutex.Unlock()
	l.close()
	if current {
		event.PeerLeft.Log(s.Logger, slog.String("peer", l.peer.Name), slog.String("cause", reason))
	}
	s.selector.wake()
}

func (s *Source) notifyLinkChanged() {
	if s.linkChanged != nil {
		close(s.linkChanged)
		s.linkChanged = nil
	}
}

// linkAndChange returns the link to the followed peer and a channel that is closed when it changes.
func (s *Source) linkAndChange() (*link, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.linkChanged == nil {
		s.linkChanged = make(chan struct{})
	}
	return s.link, s.linkChanged
}

// allListed reports whether every kind was listed, since a peer passes on only changes.
func (s *Source) allListed() bool {
	for _, k := range s.Kinds {
		if s.mirror.Revision(k).IsZero() {
			return false
		}
	}
	return true
}

// Relinked returns a channel that is closed when this entry follows another peer or none, or gets
// its first follower.
func (s *Source) Relinked() <-chan struct{} {
	_, changed := s.linkAndChange()
	return changed
}

// List returns every object of a kind, from the followed peer or else from the platform.
func (s *Source) List(ctx context.Context, kind string) (protocol.Listing, error) {
	s.selector.awaitStart(ctx)
	if l, ok := s.mirror.List(kind); ok && s.Following() {
		l.Relayed = true
		return l, nil
	}
	askedAt := clock.Now()
	l, err := s.Platform.List(ctx, kind)
	err = s.tellSilence(ctx, kind, err, askedAt)
	s.recordPlatformResult(ctx, err, askedAt)
	if err == nil {
		s.mirror.ApplyList(kind, l)
		s.recordAnswered(kind, askedAt)
		s.confirmListed(kind, l, askedAt)
	}
	return l, err
}

// confirmListed records a list as a confirmation if it contains the confirmed object.
func (s *Source) confirmListed(kind string, l protocol.Listing, askedAt time.Time) {
	if kind != s.ConfirmedKind {
		return
	}
	for _, o := range l.Objects {
		if o.Name == s.ConfirmedName {
			s.recordConfirmation(o, askedAt)
		}
	}
}

// Watch returns the changes of a kind after a revision as soon as the peer or the platform reports
// any, or none after the wait.
func (s *Source) Watch(ctx context.Context, kind string, after protocol.Revision, wait time.Duration) (protocol.Changes, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		changed := s.mirror.Changed()
		delta, ok := s.mirror.Since(kind, after)
		if !ok || s.mirror.Revision(kind).IsZero() {
			return protocol.Changes{}, &platform.Compacted{}
		}
		if after.Before(delta.To) {
			return protocol.Changes{Changes: delta.Changes, Revision: delta.To, Relayed: true}, nil
		}
		peer, linkChanged := s.linkAndChange()
		if peer == nil && s.selector.awaitSearch(ctx) {
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
		case <-linkChanged:
		case <-t.C:
			return protocol.Changes{Revision: after, Relayed: true}, nil
		case <-ctx.Done():
			return protocol.Changes{}, ctx.Err()
		}
	}
}

func (s *Source) watchPlatform(ctx context.Context, kind string, after protocol.Revision, wait time.Duration) (protocol.Changes, error) {
	askedAt := clock.Now()
	c, err := s.Platform.Watch(ctx, kind, after, wait)
	err = s.tellSilence(ctx, kind, err, askedAt.Add(wait))
	s.recordPlatformResult(ctx, err, askedAt)
	if err != nil {
		return c, err
	}
	if len(c.Changes) > 0 && !s.mirror.Apply(kind, mirror.Delta{After: after, To: c.Revision, Changes: c.Changes}) {
		return protocol.Changes{}, &platform.Compacted{}
	}
	s.recordAnswered(kind, askedAt)
	return c, nil
}

// recordPlatformResult records whether the platform answered a call. A call that was canceled here, or
// whose time passed while this entry was not run, says nothing about it.
func (s *Source) recordPlatformResult(ctx context.Context, err error, askedAt time.Time) {
	var compacted *platform.Compacted
	var missing *platform.NotFound
	var silent *platform.ConnectionSilent
	if err == nil || errors.As(err, &compacted) || errors.As(err, &missing) || errors.As(err, &silent) || ctx.Err() != nil || s.timedOutLate(err, askedAt) {
		return
	}
	s.mutex.Lock()
	first := !s.failedAt.After(s.confirmed.at)
	s.failedAt = clock.Now()
	s.mutex.Unlock()
	if first && !s.Following() {
		s.selector.wake() // another peer may be fresher
	}
}

// timedOutLate reports whether a call timed out while this process was not run for a while.
func (s *Source) timedOutLate(err error, askedAt time.Time) bool {
	return errors.Is(err, context.DeadlineExceeded) && s.lateSince(askedAt)
}

// lateSince reports whether this process was not run for a while since a time.
func (s *Source) lateSince(t time.Time) bool { return s.LateSince != nil && s.LateSince(t) }
