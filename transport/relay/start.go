// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// startMost bounds how long lists and reads wait after the start for it to be known
	// whether there is a peer to follow. startTries is how long peers that are not reached
	// are tried again each startRest: a whole fleet may be starting.
	startMost  = 3 * time.Second
	startTries = 400 * time.Millisecond
	startRest  = 60 * time.Millisecond
)

// start begins the time in which lists and reads wait.
func (s *seeker) start(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tryTill = now.Add(startTries)
	s.startTill = now.Add(startMost)
	s.started = make(chan struct{})
	connect := s.source.Dial
	if connect == nil {
		connect = (&net.Dialer{Timeout: connectWithin}).DialContext
	}
	s.client.Transport = &http.Transport{DialContext: connect, DisableKeepAlives: true}
}

// await waits for the end of the start, and of the look after a loss.
func (s *seeker) await(ctx context.Context) {
	s.mutex.Lock()
	started := s.started
	s.mutex.Unlock()
	if started == nil {
		return
	}
	select {
	case <-started:
	case <-ctx.Done():
	}
	s.awaitLook(ctx)
}

// starting reports whether the start lasts on after a look, and ends it if that is how it is.
// Only a look at all records shows that there is nobody to follow: those that were learned
// since it began were not tried, and an entry that takes itself to be alone lists for itself
// (4 lists in place of 2 by four entries, in 15 of 32 starts with up to 30 ms between the two).
func (s *seeker) starting(found look, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.started:
		return false
	default:
	}
	alone := s.source.Self.Peers == "" || found.all && (!found.again || now.After(s.tryTill))
	if s.source.Following() || alone || now.After(s.startTill) {
		close(s.started)
		return false
	}
	return true
}
