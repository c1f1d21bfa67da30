// SPDX-License-Identifier: Apache-2.0

package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/admit"
)

var baseTime = time.Unix(1_800_000_000, 0)

// waiter returns a request that arrives afterMS milliseconds after baseTime.
// Its TargetStart is 300 ms and its LatestStart 1.5 s after its arrival.
func waiter(ticket admit.Ticket, team string, priority, afterMS int) admit.Waiter {
	since := baseTime.Add(time.Duration(afterMS) * time.Millisecond)
	return admit.Waiter{
		Ticket: ticket, Team: team, Priority: priority, Since: since,
		TargetStart: since.Add(300 * time.Millisecond), LatestStart: since.Add(1500 * time.Millisecond),
	}
}

func enqueue(t require.TestingT, q *admit.WaitQueue, w admit.Waiter) {
	_, ok := q.Enqueue(w, w.Since)
	require.True(t, ok)
}

// drain dispatches all requests of the queue and returns them in dispatch order.
func drain(q *admit.WaitQueue, now time.Time) []admit.Ticket {
	var order []admit.Ticket
	for {
		w, ok := q.Peek(0, now)
		if !ok {
			return order
		}
		order = append(order, w.Ticket)
		q.RecordDispatch(w.Team, now)
		q.Remove(w.Ticket)
	}
}

func TestUrgentGoFirstThenOnTime(t *testing.T) {
	var q admit.WaitQueue
	enqueue(t, &q, waiter(1, "a", 1, 0))
	enqueue(t, &q, waiter(2, "b", 1, 200))
	enqueue(t, &q, waiter(3, "c", 0, 250))
	enqueue(t, &q, waiter(4, "d", 1, 300))
	require.Equal(t, []admit.Ticket{3, 2, 4, 1}, drain(&q, baseTime.Add(350*time.Millisecond)), "request 1 is past its target start")
}

func TestTeamsTakeTurns(t *testing.T) {
	var q admit.WaitQueue
	for i := range 6 {
		enqueue(t, &q, waiter(admit.Ticket(i), "large", 1, i))
	}
	enqueue(t, &q, waiter(10, "small", 1, 50))
	enqueue(t, &q, waiter(11, "small", 1, 60))
	order := drain(&q, baseTime.Add(100*time.Millisecond))
	require.Equal(t, []admit.Ticket{0, 10, 1, 11, 2, 3, 4, 5}, order)
}

func TestUnreachableRequestIsRefusedWithRetryTime(t *testing.T) {
	var q admit.WaitQueue
	now := baseTime
	for i := range 5 { // ten dispatches a second
		q.RecordDispatch("a", now)
		now = now.Add(100 * time.Millisecond)
		_ = i
	}
	refused := 0
	for i := range 40 {
		w := waiter(admit.Ticket(i), "a", 1, 400)
		retryAfter, ok := q.Enqueue(w, now)
		if ok {
			continue
		}
		refused++
		require.True(t, retryAfter.After(now), "the retry time is in the future")
		require.False(t, retryAfter.After(now.Add(3*time.Second)))
	}
	require.InDelta(t, 40-15, refused, 4, "10 dispatches a second and 1.5 s left")
	require.Equal(t, 40-refused, q.Len())
}

func TestQueueAcceptsWhileNothingIsDispatched(t *testing.T) {
	var q admit.WaitQueue
	for i := range 20 {
		enqueue(t, &q, waiter(admit.Ticket(i), "a", 1, i))
	}
	require.Equal(t, 20, q.Len())
}

// TestWaitQueueOnRandomRequests applies random operations: each queued request is
// dispatched once, none is dispatched after it was removed, and none goes before a
// more urgent one.
func TestWaitQueueOnRandomRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q admit.WaitQueue
		now := baseTime
		queued := map[admit.Ticket]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0, 1:
				w := waiter(admit.Ticket(i), fmt.Sprint("team-", rapid.IntRange(0, 3).Draw(t, "team")), rapid.IntRange(0, 2).Draw(t, "priority"), 0)
				w.Since, w.TargetStart, w.LatestStart = now, now.Add(300*time.Millisecond), now.Add(1500*time.Millisecond)
				if retryAfter, ok := q.Enqueue(w, now); ok {
					queued[w.Ticket] = w.Priority
				} else {
					require.True(t, retryAfter.After(now))
				}
			case 2:
				w, ok := q.Peek(0, now)
				require.Equal(t, len(queued) > 0, ok)
				if !ok {
					continue
				}
				for _, p := range queued {
					require.LessOrEqual(t, w.Priority, p)
				}
				require.Contains(t, queued, w.Ticket)
				q.RecordDispatch(w.Team, now)
				q.Remove(w.Ticket)
				delete(queued, w.Ticket)
			}
			require.Equal(t, len(queued), q.Len())
		}
	})
}

func BenchmarkPeek(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("waiting=", n), func(b *testing.B) {
			var q admit.WaitQueue
			for i := range n {
				q.Enqueue(waiter(admit.Ticket(i), fmt.Sprint("team-", i%10), 1, 0), baseTime)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Peek(0, baseTime)
			}
		})
	}
}
