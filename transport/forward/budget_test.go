// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// takeAll takes further sends until there are none, and returns how many there were.
func takeAll(b *serviceBudgets, service string, now time.Time) int {
	n := 0
	for b.takeRetry(service, now) {
		n++
	}
	return n
}

// TestServicesHaveSeparateBudgets: the platform counts the requests and the further sends
// of each for itself.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	var b serviceBudgets
	now := time.Unix(100, 0)
	window := func(at time.Time) time.Time { return at.Add(10 * time.Second) }
	b.start(RetryBudget{Share: 0.2, Slack: 100, WindowEnd: window}, 10, now)
	now = window(now)
	for range 50 {
		b.recordFirst("plain", now)
	}
	require.Equal(t, 7, takeAll(&b, "llm", now), "seven tenths of a tenth of the slack")
	require.Equal(t, 17, takeAll(&b, "plain", now), "and what its requests pay for")
}

// TestRestartedEntryStartsWithReducedBudget until what the process before it may have spent
// counts no longer.
func TestRestartedEntryStartsWithReducedBudget(t *testing.T) {
	var b serviceBudgets
	now := time.Unix(100, 0)
	window := func(at time.Time) time.Time { return at.Add(10 * time.Second) }
	b.start(RetryBudget{Share: 0.2, Slack: 100, WindowEnd: window}, 10, now)
	require.Equal(t, 1, takeAll(&b, "llm", now))
	require.Equal(t, 6, takeAll(&b, "llm", window(now)), "the rest of seven, one spent meanwhile")
	b.setEntries(5)
	require.Equal(t, 7, takeAll(&b, "llm", window(now)), "fewer entries have more each")
}
