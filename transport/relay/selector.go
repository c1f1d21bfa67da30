// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

const (
	// initialBackoff is how long a peer that could not be reached or could not confirm is excluded.
	// It doubles with each failure in a row, maxBackoffDoublings times, up to maxBackoff.
	initialBackoff      = time.Second
	maxBackoff          = 16 * time.Second
	maxBackoffDoublings = 4
	// backoffResetAfter is how long a peer must have been followed for its earlier backoffs to be
	// forgotten.
	backoffResetAfter = 10 * time.Second
	// maxSearchWait bounds how long lists, reads and watches wait for another peer after one was
	// lost.
	maxSearchWait = relay.MaxPeerSearch
	// searchInterval is how often to look for a better peer even if nothing triggers a search.
	searchInterval = 2 * time.Second
)

// peerBackoff says until when a peer is excluded, and how often in a row it was. An unresponsive
// peer could not be reached, did not answer or broke the connection, so it can't send reports
// either. Any other excluded peer is only disconnected from the platform.
type peerBackoff struct {
	until        time.Time
	count        int
	unresponsive bool
}

// excludes reports whether a peer is excluded, either as a peer to follow or for reports only.
func (b peerBackoff) excludes(reportsOnly bool, now time.Time) bool {
	return !now.After(b.until) && (b.unresponsive || !reportsOnly)
}

// peerSelector chooses the peer to follow and connects to it.
type peerSelector struct {
	source *Source
	client http.Client

	mutex           sync.Mutex
	records         []protocol.EntryRecord
	complete        bool                   // whether no relevant record is missing
	fallbackCallers int                    // see relay.FallbackCallers
	backoffs        map[string]peerBackoff // by name of the peer
	wakeups         chan struct{}
	retryUntil      time.Time     // until when unreachable peers are tried again without a backoff
	startDeadline   time.Time     // latest end of the start period
	started         chan struct{} // closed at the end of the start period; nil if the selector was not started
	searchDone      chan struct{} // closed after the search for a replacement peer; nil if none is pending
	recordsChanged  lifecycle.Signal
}

func (s *peerSelector) run() {
	t := time.NewTicker(searchInterval)
	defer t.Stop()
	for {
		select {
		case <-s.source.done.Done():
			return
		case <-s.wakeChannel():
		case <-t.C:
		}
		if s.source.done.Closed() {
			return
		}
		done := s.pendingSearch()
		result := s.search()
		s.finishSearch(done)
		if s.stillStarting(result, clock.Now()) {
			t.Reset(startRetryInterval)
		} else {
			t.Reset(searchInterval)
		}
	}
}

// searchResult is the result of a search for a peer: whether all records were known when the search
// began, and whether to try again soon with a peer that could not be followed.
type searchResult struct {
	complete bool
	retry    bool
}

// search follows the first peer that it reaches, unless that one is followed already. An entry that
// serves no peers follows none.
func (s *peerSelector) search() searchResult {
	if s.source.Self.PeerAddress == "" {
		return searchResult{}
	}
	s.resetBackoff(clock.Now())
	result := s.followFirst(false)
	if !s.source.Following() && s.source.platformUnreachable() {
		// In an outage of the platform no peer is fresh. An entry without a peer would then receive
		// reports neither of lost endpoints nor of work that crashes endpoints until the end of the
		// outage.
		s.followFirst(true)
	}
	return result
}

// followFirst follows the first peer that accepts this entry. It skips excluded peers, and stops at
// the one that is followed already.
func (s *peerSelector) followFirst(reportsOnly bool) searchResult {
	peers, complete := s.candidates(reportsOnly, clock.Now())
	result := searchResult{complete: complete}
	for _, p := range peers {
		if l := s.source.followedPeer(); l != nil && l.peer.Name == p.Name {
			return result
		}
		err := s.connect(p, reportsOnly)
		if err == nil {
			return result
		}
		result.retry = s.recordFailure(p.Name, err, clock.Now()) || result.retry
	}
	return result
}

// connect connects to a peer and follows it if it accepts this entry.
func (s *peerSelector) connect(peer protocol.EntryRecord, reportsOnly bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), relay.MaxPeerAttempt)
	defer cancel()
	l, err := dial(ctx, s.source, peer, reportsOnly)
	if err != nil {
		return err
	}
	if s.source.setPeer(l) {
		go l.readLoop()
		go (&upstreamReporter{link: l}).run()
	}
	return nil
}

// candidates returns the peers to try, in order, and whether the records that they were chosen from
// are complete.
func (s *peerSelector) candidates(reportsOnly bool, now time.Time) ([]protocol.EntryRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var candidates []protocol.EntryRecord
	for _, r := range relay.Candidates(s.source.Record(), s.records) {
		if !s.backoffs[r.Name].excludes(reportsOnly, now) {
			candidates = append(candidates, r)
		}
	}
	return candidates, s.complete
}

// recordFailure excludes a peer that could not be followed, and reports whether to retry soon
// instead: shortly after the start the peer may itself be starting, unless the connection timed
// out.
func (s *peerSelector) recordFailure(name string, err error, now time.Time) bool {
	s.mutex.Lock()
	starting := now.Before(s.retryUntil)
	s.mutex.Unlock()
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if starting && !timedOut {
		return true
	}
	s.backOff(name, websocket.CloseStatus(err) != closeStale, now)
	return false
}

// backOff excludes a peer for a while. It extends a running exclusion only if the peer turns out to
// be unresponsive.
func (s *peerSelector) backOff(name string, unresponsive bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.backoffs == nil {
		s.backoffs = make(map[string]peerBackoff)
	}
	b := s.backoffs[name]
	if b.excludes(unresponsive, now) {
		return
	}
	b.unresponsive = unresponsive
	b.until = now.Add(min(maxBackoff, initialBackoff<<min(b.count, maxBackoffDoublings)))
	b.count++
	s.backoffs[name] = b
}

// peerLost makes lists, reads and watches wait for the next search, because the followed peer is
// gone.
func (s *peerSelector) peerLost() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.searchDone == nil {
		s.searchDone = make(chan struct{})
	}
}

// pendingSearch returns the channel that the search which now begins must close at its end, nil for
// none.
func (s *peerSelector) pendingSearch() chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.searchDone
}

// finishSearch ends the wait for a search. A peer that was lost after the search had begun causes
// another one.
func (s *peerSelector) finishSearch(done chan struct{}) {
	if done == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.searchDone = nil
	close(done)
}

// awaitSearch waits for the pending search, maxSearchWait at most, and reports whether one has
// ended. Without the wait, all followers of a lost peer would call the platform while they look for
// another peer.
func (s *peerSelector) awaitSearch(ctx context.Context) bool {
	s.mutex.Lock()
	done := s.searchDone
	s.mutex.Unlock()
	if done == nil {
		return false
	}
	t := time.NewTimer(maxSearchWait)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
	case <-ctx.Done():
	case <-s.source.done.Done(): // there are no more searches
	}
	return false
}

// resetBackoff forgets the earlier backoffs of a peer that has been followed for a while.
func (s *peerSelector) resetBackoff(now time.Time) {
	l := s.source.followedPeer()
	if l == nil || now.Sub(l.followedAt) < backoffResetAfter {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.After(s.backoffs[l.peer.Name].until) {
		delete(s.backoffs, l.peer.Name)
	}
}

func (s *peerSelector) setRecords(records []protocol.EntryRecord, fallbackCallers int, complete bool) {
	s.mutex.Lock()
	s.records = records
	s.fallbackCallers = fallbackCallers
	s.complete = s.complete || complete
	s.mutex.Unlock()
	s.recordsChanged.Broadcast()
	s.wake()
}

// knownRecords returns the records of the entries, and whether no relevant one is missing.
func (s *peerSelector) knownRecords() ([]protocol.EntryRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.records, s.complete
}

// fallbackCallerCount returns how many entries share the calls to the platform while no peer can
// confirm its state.
func (s *peerSelector) fallbackCallerCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fallbackCallers
}

// wake starts a search now.
func (s *peerSelector) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.wakeups == nil {
		s.wakeups = make(chan struct{}, 1)
	}
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

func (s *peerSelector) wakeChannel() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.wakeups == nil {
		s.wakeups = make(chan struct{}, 1)
	}
	return s.wakeups
}
