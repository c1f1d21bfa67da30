// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
)

// TestCallsWhereNobodyConfirmsAreShared counts the calls of entries that are all out of touch for
// a minute: some fifty each 2.8 s beside one by each, whatever their number, and each calls in time to
// serve if the platform answers it alone.
func TestCallsWhereNobodyConfirmsAreShared(t *testing.T) {
	for _, entries := range []int{10, 50, 200, 985, 1970} {
		begun := time.Unix(1000, 0)
		calls := 0
		for i := range entries {
			q := relay.Query{
				ConfirmedAt: begun, LastConfirmedAt: begun, FollowedAt: begun.Add(-time.Hour), OwnVersion: 1, PeerVersion: 1,
				FallbackCallers: entries, Jitter: float64(i) / float64(entries),
			}
			asked := false
			for at := begun; at.Before(begun.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
				q.Now = at
				if _, ask := relay.Decide(q).(relay.AskPlatform); !ask {
					continue
				}
				if !asked {
					require.LessOrEqual(t, at.Sub(begun), 10*time.Second)
				}
				asked = true
				q.AskedAt = at
				q.Unanswered++
				calls++
			}
			require.True(t, asked)
		}
		t.Logf("%d calls of %d entries in a minute", calls, entries)
		const shared = 50 * 60 * 10 / 28
		require.LessOrEqual(t, calls, shared*5/4+entries)
	}
}

// TestWhoIsSoughtByOthersAsksAtOnce: the first four of a data center find out by themselves.
func TestWhoIsSoughtByOthersAsksAtOnce(t *testing.T) {
	all := records(300)
	first := 0
	for _, m := range all {
		if relay.FallbackCallers(m, all) == 1 {
			first++
		} else {
			require.Equal(t, len(all), relay.FallbackCallers(m, all))
		}
	}
	require.Equal(t, 3*4, first, "of each of three data centers")
}
