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
		q := retry.Forwarded{
			Result:    retry.Result(rapid.IntRange(0, 3).Draw(t, "result")),
			MayRepeat: rapid.Bool().Draw(t, "may repeat"),
			MayHave:   rapid.Bool().Draw(t, "may have"),
			Allowed:   rapid.Bool().Draw(t, "allowed"),
			Ready:     rapid.Bool().Draw(t, "ready"),
			Hope:      now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "hope")) * time.Second),
			Unsent:    rapid.IntRange(0, 5).Draw(t, "unsent"),
			Now:       now,
			Deadline:  now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "left")) * time.Second),
		}
		b := retry.Window{Share: 0.2, Slack: float64(rapid.IntRange(0, 2).Draw(t, "budget")), Ends: ends}
		mayHaveRun := q.MayHave || q.Result == retry.Failed || q.Result == retry.Broken
		next := b.Resend(q)
		switch next {
		case retry.Again:
			require.True(t, now.Before(q.Deadline))
			require.True(t, q.MayRepeat || !mayHaveRun || q.Result == retry.NeverSent && !q.MayHave,
				"a request that may have run and may not be repeated was sent again")
			require.True(t, q.Allowed, "sent to more endpoints than the route allows")
			require.True(t, q.Ready, "sent where nothing can take it")
		case retry.Hold:
			require.True(t, now.Before(q.Hope) && now.Before(q.Deadline), "held without hope")
			require.True(t, q.Allowed && (q.MayRepeat || !mayHaveRun), "held for a send that is not allowed")
		case retry.Refuse:
			require.False(t, mayHaveRun, "told not to have run")
		case retry.Deliver:
			require.Equal(t, retry.Failed, q.Result)
		}
	})
}

func TestFurtherSendsAreBoundedByTheBudget(t *testing.T) {
	b := retry.Window{Share: 0.25, Slack: 3, Ends: ends}
	now := time.Unix(100, 0)
	q := retry.Forwarded{Result: retry.NotRun, MayRepeat: true, Allowed: true, Ready: true, Now: now, Deadline: now.Add(time.Second)}
	for range 3 {
		require.Equal(t, retry.Again, b.Resend(q))
	}
	require.Equal(t, retry.Refuse, b.Resend(q))
	for range 4 {
		b.First(now)
	}
	require.Equal(t, retry.Again, b.Resend(q))
	require.Equal(t, retry.Refuse, b.Resend(q))
}
