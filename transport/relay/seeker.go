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
	"pinerun.example/pinerun/protocol"
)

const (
	// dialLimit bounds the way to a peer and its first frame, before which it may ask
	// the platform.
	dialLimit = 300*time.Millisecond + relay.MaxHealthyCall
	// avoidFirst is how long a peer that could not be reached or could not confirm is
	// left out; it doubles with each time in a row, avoidDoublings times, which makes
	// avoidMost.
	avoidFirst     = time.Second
	avoidMost      = 16 * time.Second
	avoidDoublings = 4
	// steadyAfter is how long a peer must have been followed for what was before to be
	// forgotten.
	steadyAfter = 10 * time.Second
	// lookMost bounds how long lists, reads and watches wait for another peer after one was lost.
	lookMost = 500 * time.Millisecond
	// seekEvery is how often a better peer is looked for although nothing was heard.
	seekEvery = 2 * time.Second
)

// avoidance is until when a peer is left out, and how often in a row it was. One that is mute was
// not reached, did not answer or broke off: it has no news either. Others are out of touch with the
// platform only.
type avoidance struct {
	till  time.Time
	times int
	mute  bool
}

// leaves reports whether a peer is left out, as one to follow or as one to hear news from.
func (a avoidance) leaves(newsOnly bool, now time.Time) bool {
	return !now.After(a.till) && (a.mute || !newsOnly)
}

// seeker finds the peer to follow.
type seeker struct {
	source *Source
	client http.Client

	mutex     sync.Mutex
	records   []protocol.EntryRecord
	all       bool                 // none is missing in them
	standing  int                  // how many entries stand alike
	avoided   map[string]avoidance // by name
	woken     chan struct{}
	tryTill   time.Time     // until when peers that are not reached are tried again
	startTill time.Time     // until when the start lasts at most
	started   chan struct{} // closed with its end; nil for a source that does not look
	looking   chan struct{} // closed when the look after a loss is over, nil before and after
}

func (s *seeker) run() {
	t := time.NewTicker(seekEvery)
	defer t.Stop()
	for {
		select {
		case <-s.source.done.Done():
			return
		case <-s.wakes():
		case <-t.C:
		}
		if s.source.done.Closed() {
			return
		}
		lost := s.lookingFor()
		found := s.seek()
		s.looked(lost)
		if s.starting(found, clock.Now()) {
			t.Reset(startRest)
		} else {
			t.Reset(seekEvery)
		}
	}
}

// look is what one look for a peer came to: whether all records were known when it began,
// and whether a peer that could not be followed may be in a moment.
type look struct {
	all   bool
	again bool
}

// seek follows the first peer that it reaches, unless that one is followed already. An
// entry that serves no peers looks for none.
func (s *seeker) seek() look {
	if s.source.Self.Peers == "" {
		return look{}
	}
	s.steady(clock.Now())
	found := s.follow(false)
	if !s.source.Following() && s.source.unreached() {
		// In an outage of the platform all peers are out of touch with it, and who followed
		// nobody heard neither of lost endpoints nor of work that ends them till it was back.
		s.follow(true)
	}
	return found
}

// follow follows the first peer that takes this entry and is not left out, or that is followed.
func (s *seeker) follow(newsOnly bool) look {
	candidates, all := s.candidates(newsOnly, clock.Now())
	found := look{all: all}
	for _, m := range candidates {
		if l := s.source.following(); l != nil && l.peer.Name == m.Name {
			return found
		}
		err := s.try(m, newsOnly)
		if err == nil {
			return found
		}
		found.again = s.failed(m.Name, err, clock.Now()) || found.again
	}
	return found
}

// try follows a peer if it takes this entry.
func (s *seeker) try(peer protocol.EntryRecord, newsOnly bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	l, err := dial(ctx, s.source, peer, newsOnly)
	if err != nil {
		return err
	}
	if s.source.follow(l) {
		go l.run()
		go (&upward{link: l}).run()
	}
	return nil
}

// candidates returns whom to try, in order, and whether nobody is missing among the records
// that they were chosen from.
func (s *seeker) candidates(newsOnly bool, now time.Time) ([]protocol.EntryRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var open []protocol.EntryRecord
	for _, r := range relay.Candidates(s.source.Record(), s.records) {
		if !s.avoided[r.Name].leaves(newsOnly, now) {
			open = append(open, r)
		}
	}
	return open, s.all
}

// failed leaves a peer out for a while that could not be followed, and reports whether it
// does not: in the first moment after the start the peer may itself be starting, unless
// it said nothing at all.
func (s *seeker) failed(name string, err error, now time.Time) bool {
	s.mutex.Lock()
	first := now.Before(s.tryTill)
	s.mutex.Unlock()
	var silence net.Error
	silent := errors.As(err, &silence) && silence.Timeout()
	if first && !silent {
		return true
	}
	s.avoid(name, websocket.CloseStatus(err) != closeStale, now)
	return false
}

// avoid leaves a peer out for a while, anew if it turns out to be mute.
func (s *seeker) avoid(name string, mute bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.avoided == nil {
		s.avoided = make(map[string]avoidance)
	}
	a := s.avoided[name]
	if a.leaves(mute, now) {
		return
	}
	a.mute = mute
	a.till = now.Add(min(avoidMost, avoidFirst<<min(a.times, avoidDoublings)))
	a.times++
	s.avoided[name] = a
}

// lost makes lists, reads and watches wait for the next look, because the peer that was followed is
// gone.
func (s *seeker) lost() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.looking == nil {
		s.looking = make(chan struct{})
	}
}

// lookingFor returns what the look that begins is to tell the end of, nil for nobody.
func (s *seeker) lookingFor() chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.looking
}

// looked tells that a look is over. A peer that was lost after it had begun is looked for again.
func (s *seeker) looked(lost chan struct{}) {
	if lost == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.looking = nil
	close(lost)
}

// awaitLook waits for the look after a loss, lookMost at most, and reports whether one has ended. All
// who followed one peer would call the platform in the moment in which they look for another.
func (s *seeker) awaitLook(ctx context.Context) bool {
	s.mutex.Lock()
	looking := s.looking
	s.mutex.Unlock()
	if looking == nil {
		return false
	}
	t := time.NewTimer(lookMost)
	defer t.Stop()
	select {
	case <-looking:
		return true
	case <-t.C:
	case <-ctx.Done():
	case <-s.source.done.Done(): // nobody looks any more
	}
	return false
}

// steady forgets what was before with a peer that has been followed for a while.
func (s *seeker) steady(now time.Time) {
	l := s.source.following()
	if l == nil || now.Sub(l.since) < steadyAfter {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.After(s.avoided[l.peer.Name].till) {
		delete(s.avoided, l.peer.Name)
	}
}

func (s *seeker) learn(records []protocol.EntryRecord, alike int, all bool) {
	s.mutex.Lock()
	s.records = records
	s.standing = alike
	s.all = s.all || all
	s.mutex.Unlock()
	s.wake()
}

// alike returns how many entries stand as this one does.
func (s *seeker) alike() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.standing
}

// wake makes the seeker look now.
func (s *seeker) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.woken == nil {
		s.woken = make(chan struct{}, 1)
	}
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

func (s *seeker) wakes() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.woken == nil {
		s.woken = make(chan struct{}, 1)
	}
	return s.woken
}
