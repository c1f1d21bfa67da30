// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// takeAll takes further attempts until the budget is used up, and returns how many there were.
func takeAll(b *serviceBudgets, service string, now time.Time) int {
	n := 0
	for b.takeRetry(service, now) {
		n++
	}
	return n
}

// TestServicesHaveSeparateBudgets checks that requests and further attempts are counted by service,
// as the platform counts them.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	var b serviceBudgets
	now := time.Unix(100, 0)
	window := func(at time.Time) time.Time { return at.Add(10 * time.Second) }
	b.start(RetryBudget{Share: 0.2, Slack: 100, WindowEnd: window}, 10, now)
	now = window(now)
	for range 50 {
		b.recordFirst("plain", now)
	}
	require.Equal(t, 7, takeAll(&b, "llm", now), "0.7 of a tenth of the slack")
	require.Equal(t, 17, takeAll(&b, "plain", now), "the same and a fifth of 50 requests")
}

// TestRestartedEntryStartsWithReducedBudget guards against an entry that restarts and spends its
// share of the slack a second time within the window of its previous process.
func TestRestartedEntryStartsWithReducedBudget(t *testing.T) {
	var b serviceBudgets
	now := time.Unix(100, 0)
	window := func(at time.Time) time.Time { return at.Add(10 * time.Second) }
	b.start(RetryBudget{Share: 0.2, Slack: 100, WindowEnd: window}, 10, now)
	require.Equal(t, 1, takeAll(&b, "llm", now))
	require.Equal(t, 6, takeAll(&b, "llm", window(now)), "seven less the one already taken")
	b.setEntries(5)
	require.Equal(t, 7, takeAll(&b, "llm", window(now)), "fewer entries have larger shares")
}
