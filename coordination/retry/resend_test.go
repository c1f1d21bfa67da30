// SPDX-License-Identifier: Apache-2.0

package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/retry"
)

// TestDecideNeverRunsTwiceOrMisreports draws every situation. A request that may not be
// repeated is never sent again once it may have run, and no caller is told that a request
// has not run if it may have.
func TestDecideNeverRunsTwiceOrMisreports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		f := retry.FailedAttempt{
			Result:          retry.Result(rapid.IntRange(0, int(retry.Broken)).Draw(t, "result")),
			MayRepeat:       rapid.Bool().Draw(t, "may repeat"),
			MayHaveRun:      rapid.Bool().Draw(t, "may have run"),
			EndpointAllowed: rapid.Bool().Draw(t, "allowed"),
			EndpointReady:   rapid.Bool().Draw(t, "ready"),
			WaitUntil:       now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "wait")) * time.Second),
			Unreachable:     rapid.IntRange(0, 5).Draw(t, "unreachable"),
			Now:             now,
			Deadline:        now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "left")) * time.Second),
		}
		b := retry.WindowBudget{Share: 0.2, Slack: float64(rapid.IntRange(0, 2).Draw(t, "budget")), SpanEnd: spanEnd}
		mayHaveRun := f.MayHaveRun || f.Result != retry.NeverSent && f.Result != retry.NotRun
		next := b.Decide(f)
		switch next {
		case retry.Resend:
			require.True(t, now.Before(f.Deadline))
			require.True(t, f.MayRepeat || !mayHaveRun || f.Result == retry.NeverSent && !f.MayHaveRun,
				"a request that may have run and may not be repeated was sent again")
			require.True(t, f.EndpointAllowed, "sent to more endpoints than the route allows")
			require.True(t, f.EndpointReady, "sent although no endpoint is ready")
		case retry.Enqueue:
			require.True(t, now.Before(f.WaitUntil) && now.Before(f.Deadline), "queued although waiting is useless")
			require.True(t, f.EndpointAllowed && (f.MayRepeat || !mayHaveRun), "queued for an attempt that is not allowed")
		case retry.Refuse:
			require.False(t, mayHaveRun, "refused although it may have run")
		case retry.Deliver:
			require.Equal(t, retry.Failed, f.Result)
		}
	})
}

func TestRetriesAreBoundedByBudget(t *testing.T) {
	b := retry.WindowBudget{Share: 0.25, Slack: 3, SpanEnd: spanEnd}
	now := time.Unix(100, 0)
	f := retry.FailedAttempt{Result: retry.NotRun, MayRepeat: true, EndpointAllowed: true, EndpointReady: true, Now: now, Deadline: now.Add(time.Second)}
	for range 3 {
		require.Equal(t, retry.Resend, b.Decide(f))
	}
	require.Equal(t, retry.Refuse, b.Decide(f))
	for range 4 {
		b.RecordFirst(now)
	}
	require.Equal(t, retry.Resend, b.Decide(f))
	require.Equal(t, retry.Refuse, b.Decide(f))
}
