// SPDX-License-Identifier: Apache-2.0

package deadconn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/deadconn"
)

func TestSuspectedNeedsAllEvidence(t *testing.T) {
	now := time.Unix(100, 0)
	evidence := deadconn.Query{Now: now, LastEvent: now.Add(-time.Second), LongestPause: 100 * time.Millisecond, ServedSentAt: now.Add(-time.Millisecond)}
	require.True(t, deadconn.Suspected(evidence))
	for name, change := range map[string]func(q *deadconn.Query){
		"a short silence":               func(q *deadconn.Query) { q.LastEvent = now.Add(-999 * time.Millisecond) },
		"a stream that pauses long":     func(q *deadconn.Query) { q.LongestPause = 501 * time.Millisecond },
		"no later request was served":   func(q *deadconn.Query) { q.ServedSentAt = q.LastEvent },
		"nothing is known of others":    func(q *deadconn.Query) { q.ServedSentAt = time.Time{} },
		"this entry was not run":        func(q *deadconn.Query) { q.EntryLate = true },
		"an event is there, but unread": func(q *deadconn.Query) { q.Unread = true },
	} {
		q := evidence
		change(&q)
		require.False(t, deadconn.Suspected(q), name)
	}
}

// TestDoubtsStayBounded draws outcomes and checks the bound on doubted streams after each.
func TestDoubtsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker deadconn.Tracker
		now := time.Unix(100, 0)
		open, allowed := 0, 1
		var pausedUntil time.Time
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				began := tracker.Begin("e", now)
				require.Equal(t, open < allowed && !now.Before(pausedUntil), began)
				if began {
					open++
				}
			case 2:
				if open > 0 {
					tracker.Confirm("e")
					open, allowed = open-1, min(4, 2*allowed)
				}
			case 3:
				if open > 0 {
					tracker.Refute("e", now)
					open, allowed, pausedUntil = open-1, 1, now.Add(5*time.Second)
				}
			case 4:
				if open > 0 {
					tracker.End("e")
					open--
				}
			}
			require.True(t, open <= 4)
		}
	})
}

func TestSweepKeepsDoubtedEndpoints(t *testing.T) {
	var tracker deadconn.Tracker
	now := time.Unix(100, 0)
	none := func(string) bool { return false }
	require.True(t, tracker.Begin("e", now))
	tracker.Sweep(none)
	require.False(t, tracker.Begin("e", now), "the doubted stream still counts")
	tracker.Refute("e", now)
	require.False(t, tracker.Begin("e", now), "paused")
	tracker.Sweep(none)
	require.True(t, tracker.Begin("e", now), "forgotten")
}
