// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// TestStartPeriodLastsUntilAllRecordsAreTried gives an entry the records of all others just after
// its first search, which had no records.
//
// It guards against unnecessary lists: of four entries that started at once, two listed each kind
// where one lists for all. The second had no records when it searched, got all of them a moment
// later, and concluded that it could reach none of them. A fleet of four made 4 lists instead of 2
// in one of some 150 starts, 2.9 s after the start. With a pause of up to 30 ms between search and
// decision it did so in 15 of 32 starts, and in none of 32 since the decision depends on the
// records that the search used.
func TestStartPeriodLastsUntilAllRecordsAreTried(t *testing.T) {
	s := &Source{Self: protocol.EntryRecord{Name: "e-1", PeerAddress: "127.0.0.1:1", MemoryMB: 100}}
	s.selector.source = s
	now := clock.Now()
	s.selector.start(now)
	late := now.Add(startRetryPeriod + startRetryInterval)

	result := s.selector.search()
	s.Learn([]protocol.EntryRecord{{Name: "e-2", PeerAddress: "127.0.0.1:2", MemoryMB: 200}}, true)
	require.True(t, s.selector.stillStarting(result, late), "a known peer was not tried")
}

// TestAwaitSearchReturnsWhenSourceIsClosed loses the peer of a closed source. No search follows, so
// the handlers of its server must not wait for one.
func TestAwaitSearchReturnsWhenSourceIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Source{}
		s.selector.source = s
		s.selector.peerLost()
		s.done.Close()
		begun := time.Now()
		require.False(t, s.selector.awaitSearch(t.Context()))
		require.Zero(t, time.Since(begun))
	})
}
