// SPDX-License-Identifier: Apache-2.0

package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/retry"
)

// span is the time over which the platform of the tests counts.
const span = 10 * time.Second

func spanEnd(begin time.Time) time.Time { return begin.Add(span) }

// TestNoSpanExceedsTheRetryBound drives several entries, each with its part of the slack,
// and restarts them, which loses their counts. In every span the retries of all entries
// stay within the share of the first attempts of that span plus the whole slack.
func TestNoSpanExceedsTheRetryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, slack, maxPart, initialPart = 0.2, 12.0, 0.7, 0.15
		entries := rapid.IntRange(1, 3).Draw(t, "entries")
		var firstAttempts, retries []time.Time
		for range entries {
			now := time.Unix(100, 0)
			each := slack / float64(entries)
			w := retry.WindowBudget{Share: share, Slack: maxPart * each, SpanEnd: spanEnd}
			restarts := 0
			fullAt := time.Time{}
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
				if !fullAt.IsZero() && !now.Before(fullAt) {
					w.Slack, fullAt = maxPart*each, time.Time{}
				}
				switch n := rapid.IntRange(0, 40).Draw(t, "what"); {
				case n == 0 && restarts < 2:
					restarts++
					w = retry.WindowBudget{Share: share, Slack: initialPart * each, SpanEnd: spanEnd}
					fullAt = now.Add(span)
				case n%2 == 0:
					w.RecordFirst(now)
					firstAttempts = append(firstAttempts, now)
				case w.Spend(now):
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			begin := end.Add(-span)
			spent, first := 0, 0
			for _, at := range retries {
				if at.After(begin) && !at.After(end) {
					spent++
				}
			}
			for _, at := range firstAttempts {
				if !at.Before(begin) && !at.After(end) {
					first++
				}
			}
			require.LessOrEqual(t, float64(spent), share*float64(first)+slack+1e-9)
		}
	})
}

// TestFullCreditIsAvailableAfterLoss drives an entry that serves 4 requests a second without
// retries for ten seconds. When an engine is lost, the entry may retry at least eight
// requests at once, and about as many again ten seconds later.
func TestFullCreditIsAvailableAfterLoss(t *testing.T) {
	w := retry.WindowBudget{Share: 0.19, Slack: 3.2, SpanEnd: spanEnd}
	now := time.Unix(100, 0)
	atOnce := func() int {
		for range 40 {
			now = now.Add(250 * time.Millisecond)
			w.RecordFirst(now)
		}
		n := 0
		for w.Spend(now) {
			n++
		}
		return n
	}
	require.Equal(t, 10, atOnce())
	require.False(t, w.Spend(now.Add(time.Second)), "spent retries keep counting")
	now = now.Add(500 * time.Millisecond)
	require.GreaterOrEqual(t, atOnce(), 9)
}

// BenchmarkWindow records a first attempt and asks for a retry in a full window.
func BenchmarkWindow(b *testing.B) {
	w := retry.WindowBudget{Share: 0.19, Slack: 3.2, SpanEnd: spanEnd}
	now := time.Unix(100, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(25 * time.Millisecond)
		w.RecordFirst(now)
		w.Spend(now)
	}
}
