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

var noon = time.Unix(1_800_000_000, 0)

// waiter is a request that came in that many ms after noon, is late after 300 ms and
// without hope after 1.5 s.
func waiter(ticket admit.Ticket, team string, priority, afterMS int) admit.Waiter {
	since := noon.Add(time.Duration(afterMS) * time.Millisecond)
	return admit.Waiter{
		Ticket: ticket, Team: team, Priority: priority, Since: since,
		TargetStart: since.Add(300 * time.Millisecond), LatestStart: since.Add(1500 * time.Millisecond),
	}
}

func join(t require.TestingT, l *admit.WaitQueue, w admit.Waiter) {
	_, ok := l.Enqueue(w, w.Since)
	require.True(t, ok)
}

// turns takes every request out of the line in the order of their turns.
func turns(l *admit.WaitQueue, now time.Time) []admit.Ticket {
	var order []admit.Ticket
	for {
		w, ok := l.Peek(0, now)
		if !ok {
			return order
		}
		order = append(order, w.Ticket)
		l.RecordDispatch(w.Team, now)
		l.Remove(w.Ticket)
	}
}

func TestTheUrgentGoFirstThenThoseThatCanBeOnTime(t *testing.T) {
	var l admit.WaitQueue
	join(t, &l, waiter(1, "a", 1, 0))
	join(t, &l, waiter(2, "b", 1, 200))
	join(t, &l, waiter(3, "c", 0, 250))
	join(t, &l, waiter(4, "d", 1, 300))
	require.Equal(t, []admit.Ticket{3, 2, 4, 1}, turns(&l, noon.Add(350*time.Millisecond)), "the first came too late to be on time")
}

func TestALargeTeamTakesTurnsWithASmallOne(t *testing.T) {
	var l admit.WaitQueue
	for i := range 6 {
		join(t, &l, waiter(admit.Ticket(i), "large", 1, i))
	}
	join(t, &l, waiter(10, "small", 1, 50))
	join(t, &l, waiter(11, "small", 1, 60))
	order := turns(&l, noon.Add(100*time.Millisecond))
	require.Equal(t, []admit.Ticket{0, 10, 1, 11, 2, 3, 4, 5}, order)
}

func TestARequestWithoutHopeIsToldAtOnceWhenToComeBack(t *testing.T) {
	var l admit.WaitQueue
	now := noon
	for i := range 5 { // ten a second
		l.RecordDispatch("a", now)
		now = now.Add(100 * time.Millisecond)
		_ = i
	}
	refused := 0
	for i := range 40 {
		w := waiter(admit.Ticket(i), "a", 1, 400)
		again, ok := l.Enqueue(w, now)
		if ok {
			continue
		}
		refused++
		require.True(t, again.After(now), "it is told when to come back")
		require.False(t, again.After(now.Add(3*time.Second)))
	}
	require.InDelta(t, 40-15, refused, 4, "ten a second begin, and there are 1.5 s")
	require.Equal(t, 40-refused, l.Len())
}

func TestWhileNothingBeginsTheLineWaits(t *testing.T) {
	var l admit.WaitQueue
	for i := range 20 {
		join(t, &l, waiter(admit.Ticket(i), "a", 1, i))
	}
	require.Equal(t, 20, l.Len())
}

// TestLineOnAnyRequests draws requests: each that joined has its turn once, no turn goes
// to one that has left, and none goes before a more urgent one.
func TestLineOnAnyRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l admit.WaitQueue
		now := noon
		here := map[admit.Ticket]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0, 1:
				w := waiter(admit.Ticket(i), fmt.Sprint("team-", rapid.IntRange(0, 3).Draw(t, "team")), rapid.IntRange(0, 2).Draw(t, "priority"), 0)
				w.Since, w.TargetStart, w.LatestStart = now, now.Add(300*time.Millisecond), now.Add(1500*time.Millisecond)
				if again, ok := l.Enqueue(w, now); ok {
					here[w.Ticket] = w.Priority
				} else {
					require.True(t, again.After(now))
				}
			case 2:
				w, ok := l.Peek(0, now)
				require.Equal(t, len(here) > 0, ok)
				if !ok {
					continue
				}
				for _, p := range here {
					require.LessOrEqual(t, w.Priority, p)
				}
				require.Contains(t, here, w.Ticket)
				l.RecordDispatch(w.Team, now)
				l.Remove(w.Ticket)
				delete(here, w.Ticket)
			}
			require.Equal(t, len(here), l.Len())
		}
	})
}

func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("waiting=", n), func(b *testing.B) {
			var l admit.WaitQueue
			for i := range n {
				l.Enqueue(waiter(admit.Ticket(i), fmt.Sprint("team-", i%10), 1, 0), noon)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Peek(0, noon)
			}
		})
	}
}
