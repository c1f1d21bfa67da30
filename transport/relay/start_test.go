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

// TestAStartLastsUntilAllRecordsWereLookedAt tells an entry of all others just after it has
// looked for a peer among none.
//
// Users saw nothing but calls: of four entries that started at once two listed each kind for
// themselves where one does for all. The second knew of nobody when it looked, was told of all
// in the moment after, and took that it knew all for having reached nobody of them.
// Evidence: a fleet of four whose cheap lists were old made 4 lists in place of 2, in one of
// some 150 starts, 2.9 s after it had begun; with a pause of up to 30 ms between the look and
// the decision in 15 of 32, and in none of 32 since the decision rests on what was looked at.
func TestAStartLastsUntilAllRecordsWereLookedAt(t *testing.T) {
	s := &Source{Self: protocol.EntryRecord{Name: "e-1", Peers: "127.0.0.1:1", MemoryMB: 100}}
	s.seeker.source = s
	now := clock.Now()
	s.seeker.start(now)
	late := now.Add(startTries + startRest)

	found := s.seeker.seek()
	s.Learn([]protocol.EntryRecord{{Name: "e-2", Peers: "127.0.0.1:2", MemoryMB: 200}}, true)
	require.True(t, s.seeker.starting(found, late), "a peer is known that was not tried")
}

// TestNobodyWaitsForALookOfASourceThatIsClosed loses a peer of a source that has ended: nobody looks
// any more, and its server's handlers would wait in vain.
func TestNobodyWaitsForALookOfASourceThatIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Source{}
		s.seeker.source = s
		s.seeker.lost()
		s.done.Close()
		begun := time.Now()
		require.False(t, s.seeker.awaitLook(t.Context()))
		require.Zero(t, time.Since(begun))
	})
}
