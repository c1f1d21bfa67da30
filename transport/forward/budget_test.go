// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spend takes further sends until there are none, and returns how many there were.
func spend(b *budgets, service string, now time.Time) int {
	n := 0
	for b.take(service, now) {
		n++
	}
	return n
}

// TestEachServiceHasItsOwnBudget: the platform counts the requests and the further sends
// of each for itself.
func TestEachServiceHasItsOwnBudget(t *testing.T) {
	var b budgets
	now := time.Unix(100, 0)
	window := func(at time.Time) time.Time { return at.Add(10 * time.Second) }
	b.open(RetryBudget{Share: 0.2, Slack: 100, WindowEnd: window}, 10, now)
	now = window(now)
	for range 50 {
		b.first("plain", now)
	}
	require.Equal(t, 7, spend(&b, "llm", now), "seven tenths of a tenth of the slack")
	require.Equal(t, 17, spend(&b, "plain", now), "and what its requests pay for")
}

// TestAStartedEntryHasLittleOfTheSlack until what the process before it may have spent
// counts no longer.
func TestAStartedEntryHasLittleOfTheSlack(t *testing.T) {
	var b budgets
	now := time.Unix(100, 0)
	window := func(at time.Time) time.Time { return at.Add(10 * time.Second) }
	b.open(RetryBudget{Share: 0.2, Slack: 100, WindowEnd: window}, 10, now)
	require.Equal(t, 1, spend(&b, "llm", now))
	require.Equal(t, 6, spend(&b, "llm", window(now)), "the rest of seven, one spent meanwhile")
	b.setEntries(5)
	require.Equal(t, 7, spend(&b, "llm", window(now)), "fewer entries have more each")
}
