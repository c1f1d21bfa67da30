// SPDX-License-Identifier: Apache-2.0

package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGroupsCountWaitersByPriorityAndTeam(t *testing.T) {
	now := time.Now()
	var q WaitQueue
	require.Empty(t, q.Groups())
	for i, w := range []Waiter{{Team: "b", Priority: 1}, {Team: "b"}, {Team: "a", Priority: 1}, {Team: "b", Priority: 1}} {
		w.Ticket = Ticket(i)
		w.Since = now.Add(-time.Duration(i) * time.Second)
		w.LatestStart = now.Add(time.Hour)
		_, ok := q.Enqueue(w, now)
		require.True(t, ok)
	}
	require.Equal(t, []Group{
		{team: "b", requests: 1, oldest: now.Add(-time.Second)},
		{team: "a", priority: 1, requests: 1, oldest: now.Add(-2 * time.Second)},
		{team: "b", priority: 1, requests: 2, oldest: now.Add(-3 * time.Second)},
	}, q.Groups())
	q.Remove(1)
	require.Len(t, q.Groups(), 2)
}
