// SPDX-License-Identifier: Apache-2.0

package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/retry"
)

// TestResendNeverDoublesAndNeverLies draws every situation.
func TestResendNeverDoublesAndNeverLies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		q := retry.FailedAttempt{
			Result:          retry.Result(rapid.IntRange(0, 3).Draw(t, "result")),
			MayRepeat:       rapid.Bool().Draw(t, "may repeat"),
			MayHaveRun:      rapid.Bool().Draw(t, "may have"),
			EndpointAllowed: rapid.Bool().Draw(t, "allowed"),
			EndpointReady:   rapid.Bool().Draw(t, "ready"),
			WaitUntil:       now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "hope")) * time.Second),
			Unreachable:     rapid.IntRange(0, 5).Draw(t, "unsent"),
			Now:             now,
			Deadline:        now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "left")) * time.Second),
		}
		b := retry.WindowBudget{Share: 0.2, Slack: float64(rapid.IntRange(0, 2).Draw(t, "budget")), SpanEnd: ends}
		mayHaveRun := q.MayHaveRun || q.Result == retry.Failed || q.Result == retry.Broken
		next := b.Decide(q)
		switch next {
		case retry.Resend:
			require.True(t, now.Before(q.Deadline))
			require.True(t, q.MayRepeat || !mayHaveRun || q.Result == retry.NeverSent && !q.MayHaveRun,
				"a request that may have run and may not be repeated was sent again")
			require.True(t, q.EndpointAllowed, "sent to more endpoints than the route allows")
			require.True(t, q.EndpointReady, "sent where nothing can take it")
		case retry.Enqueue:
			require.True(t, now.Before(q.WaitUntil) && now.Before(q.Deadline), "held without hope")
			require.True(t, q.EndpointAllowed && (q.MayRepeat || !mayHaveRun), "held for a send that is not allowed")
		case retry.Refuse:
			require.False(t, mayHaveRun, "told not to have run")
		case retry.Deliver:
			require.Equal(t, retry.Failed, q.Result)
		}
	})
}

func TestFurtherSendsAreBoundedByTheBudget(t *testing.T) {
	b := retry.WindowBudget{Share: 0.25, Slack: 3, SpanEnd: ends}
	now := time.Unix(100, 0)
	q := retry.FailedAttempt{Result: retry.NotRun, MayRepeat: true, EndpointAllowed: true, EndpointReady: true, Now: now, Deadline: now.Add(time.Second)}
	for range 3 {
		require.Equal(t, retry.Resend, b.Decide(q))
	}
	require.Equal(t, retry.Refuse, b.Decide(q))
	for range 4 {
		b.RecordFirst(now)
	}
	require.Equal(t, retry.Resend, b.Decide(q))
	require.Equal(t, retry.Refuse, b.Decide(q))
}
