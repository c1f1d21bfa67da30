// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
)

const (
	// maxStartWait bounds how long lists and reads wait after the start until it is known whether
	// there is a peer to follow. For startRetryPeriod, unreachable peers are tried again every
	// startRetryInterval, since the whole fleet may be starting.
	maxStartWait       = 3 * time.Second
	startRetryPeriod   = 400 * time.Millisecond
	startRetryInterval = 60 * time.Millisecond
)

// start begins the period in which lists and reads wait.
func (s *peerSelector) start(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retryUntil = now.Add(startRetryPeriod)
	s.startDeadline = now.Add(maxStartWait)
	s.started = make(chan struct{})
	dialContext := s.source.Dial
	if dialContext == nil {
		dialContext = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	s.client.Transport = limited.Transport(&http.Transport{DialContext: dialContext, DisableKeepAlives: true})
}

// awaitStart waits for the end of the start period and of the search for a replacement peer.
func (s *peerSelector) awaitStart(ctx context.Context) {
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
	s.awaitSearch(ctx)
}

// stillStarting reports whether the start period continues after a search, and ends it otherwise.
// Only a search of all records shows that there is no peer to follow: records that arrived after it
// had begun were not tried. An entry that wrongly concludes that it is alone lists for itself (4
// lists instead of 2 by four entries, in 15 of 32 starts with up to 30 ms between search and
// decision).
func (s *peerSelector) stillStarting(result searchResult, now time.Time) bool {
	select {
	case <-s.started:
		return false
	default:
	}
	records, ended := s.startEnded(result, now)
	if !ended {
		return true
	}
	if era := s.source.Eras.Latest(); era > 0 && !s.source.Following() {
		s.source.checkTable(era, records)
	}
	close(s.started)
	return false
}

// startEnded returns the known records, and whether the start period is over.
func (s *peerSelector) startEnded(result searchResult, now time.Time) ([]protocol.EntryRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	alone := s.source.Self.PeerAddress == "" || result.complete && (!result.retry || now.After(s.retryUntil))
	return s.records, s.source.Following() || alone || now.After(s.startDeadline)
}
