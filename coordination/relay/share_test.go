// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/protocol"
)

// TestFallbackCallsAreShared counts the calls of entries that have no confirmation for a minute.
// Together they make about fifty calls in 2.8 s and one more each, whatever their number. Each
// calls in time to serve if the platform answers it alone.
func TestFallbackCallsAreShared(t *testing.T) {
	for _, entries := range []int{10, 50, 200, 985, 1970} {
		start := time.Unix(1000, 0)
		calls := 0
		for i := range entries {
			q := relay.Query{
				ConfirmedAt: start, LastConfirmedAt: start, FollowedAt: start.Add(-time.Hour), OwnVersion: protocol.Revision{Number: 1}, PeerVersion: protocol.Revision{Number: 1},
				FallbackCallers: entries, Jitter: float64(i) / float64(entries),
			}
			asked := false
			for at := start; at.Before(start.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
				q.Now = at
				if _, ask := relay.Decide(q).(relay.AskPlatform); !ask {
					continue
				}
				if !asked {
					require.LessOrEqual(t, at.Sub(start), 10*time.Second)
				}
				asked = true
				q.AskedAt = at
				q.Unanswered++
				calls++
			}
			require.True(t, asked)
		}
		t.Logf("%d calls of %d entries in a minute", calls, entries)
		const expected = 50 * 60 * 10 / 28
		require.LessOrEqual(t, calls, expected*5/4+entries)
	}
}

// TestSeedEntriesAskAtOnce checks that the first four entries of a data center ask the platform by
// themselves.
func TestSeedEntriesAskAtOnce(t *testing.T) {
	all := records(300)
	seeds := 0
	for _, entry := range all {
		if relay.FallbackCallers(entry, all) == 1 {
			seeds++
		} else {
			require.Equal(t, len(all), relay.FallbackCallers(entry, all))
		}
	}
	require.Equal(t, 3*4, seeds, "of each of three data centers")
}
