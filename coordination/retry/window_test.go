// SPDX-License-Identifier: Apache-2.0

package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/retry"
)

// span is the time over which the tests' platform counts.
const span = 10 * time.Second

func ends(begin time.Time) time.Time { return begin.Add(span) }

// TestNoSpanHoldsMoreFurtherTriesThanTheBound plays entries through lives that begin
// anew, each with its part of the slack, and counts every span of the length: further
// tries against the share of the first ones of that span and the whole slack.
func TestNoSpanHoldsMoreFurtherTriesThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, slack, most, first = 0.2, 12.0, 0.7, 0.15
		entries := rapid.IntRange(1, 3).Draw(t, "entries")
		var firsts, further []time.Time
		for range entries {
			now := time.Unix(100, 0)
			each := slack / float64(entries)
			w := retry.WindowBudget{Share: share, Slack: most * each, SpanEnd: ends}
			lives := 0
			fillAt := time.Time{}
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
				if !fillAt.IsZero() && !now.Before(fillAt) {
					w.Slack, fillAt = most*each, time.Time{}
				}
				switch n := rapid.IntRange(0, 40).Draw(t, "what"); {
				case n == 0 && lives < 2:
					lives++
					w = retry.WindowBudget{Share: share, Slack: first * each, SpanEnd: ends}
					fillAt = now.Add(span)
				case n%2 == 0:
					w.RecordFirst(now)
					firsts = append(firsts, now)
				case w.Spend(now):
					further = append(further, now)
				}
			}
		}
		for _, end := range further {
			begin := end.Add(-span)
			sum, paid := 0, 0
			for _, at := range further {
				if at.After(begin) && !at.After(end) {
					sum++
				}
			}
			for _, at := range firsts {
				if !at.Before(begin) && !at.After(end) {
					paid++
				}
			}
			require.LessOrEqual(t, float64(sum), share*float64(paid)+slack+1e-9)
		}
	})
}

// TestALossFindsTheWholeCredit plays an entry that serves 4 requests a second and sends
// none again for ten seconds: when an engine is lost it may send eight and more at once,
// and ten seconds later as many again.
func TestALossFindsTheWholeCredit(t *testing.T) {
	w := retry.WindowBudget{Share: 0.19, Slack: 3.2, SpanEnd: ends}
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
	require.False(t, w.Spend(now.Add(time.Second)), "what was spent counts on")
	now = now.Add(500 * time.Millisecond)
	require.GreaterOrEqual(t, atOnce(), 9)
}

// BenchmarkWindow counts a first try and asks for a further one in a full window.
func BenchmarkWindow(b *testing.B) {
	w := retry.WindowBudget{Share: 0.19, Slack: 3.2, SpanEnd: ends}
	now := time.Unix(100, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(25 * time.Millisecond)
		w.RecordFirst(now)
		w.Spend(now)
	}
}
