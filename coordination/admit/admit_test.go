// SPDX-License-Identifier: Apache-2.0

package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/admit"
	"pinerun.example/pinerun/protocol"
)

var start = time.Unix(1_800_000_000, 0)

func request(ticket admit.Ticket, team string) admit.Request {
	return admit.Request{Ticket: ticket, Team: team, Share: 1, Deadline: start.Add(time.Hour)}
}

// TestQueueDecidesEachRequestOnceAndStaysBusy applies random operations to a
// queue. Each ticket is admitted or refused exactly once, no more requests run
// than the capacity allows, and the capacity is fully used while any request
// waits.
func TestQueueDecidesEachRequestOnceAndStaysBusy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q admit.Queue
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		q.Resize(capacity)
		now, next := start, admit.Ticket(0)
		waiting := map[admit.Ticket]string{}
		var running []string
		settle := func() {
			admitted, refused := q.Dispatch(now)
			for _, x := range admitted {
				require.Contains(t, waiting, x)
				running = append(running, waiting[x])
				delete(waiting, x)
			}
			for _, x := range refused {
				require.Contains(t, waiting, x.Ticket())
				delete(waiting, x.Ticket())
			}
			require.LessOrEqual(t, len(running), capacity)
			require.Len(t, waiting, q.Waiting())
			if len(waiting) > 0 {
				require.Equal(t, capacity, q.Running())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				team := fmt.Sprint("team", rapid.IntRange(0, 3).Draw(t, "team"))
				r := admit.Request{
					Ticket: next, Team: team, Share: rapid.Float64Range(0.5, 4).Draw(t, "share"),
					Priority: rapid.Uint8Range(0, 9).Draw(t, "priority"), OpenLimit: rapid.IntRange(0, 9).Draw(t, "open"),
					Deadline: now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "seconds")) * time.Second),
				}
				switch q.Offer(r, now).(type) {
				case admit.Run:
					running = append(running, team)
				case admit.Wait:
					waiting[next] = team
				}
				settle()
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				q.Finish(running[0], time.Second, now)
				running = running[1:]
				settle()
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				settle()
			},
		})
	})
}

// longestSmallTeamWait runs a queue of capacity 1 in which a large team always
// has waiting requests and a small team sends one every tenth slot. It returns
// the largest number of slots that a request of the small team waits.
func longestSmallTeamWait(perSlot int) int {
	var q admit.Queue
	q.Resize(1)
	var ticket admit.Ticket
	since := map[admit.Ticket]int{}
	longest := 0
	q.Offer(request(0, "large"), start)
	current := "large"
	for slot := range 1000 {
		now := start.Add(time.Duration(slot) * time.Millisecond)
		for range perSlot {
			ticket++
			q.Offer(request(ticket, "large"), now)
		}
		if slot%10 == 0 {
			ticket++
			if _, refused := q.Offer(request(ticket, "small"), now).(admit.Refuse); !refused {
				since[ticket] = slot
			}
		}
		q.Finish(current, time.Millisecond, now)
		admitted, _ := q.Dispatch(now)
		current = "large"
		for _, a := range admitted {
			if at, ok := since[a]; ok {
				current = "small"
				longest = max(longest, slot-at)
			}
		}
	}
	return longest
}

func TestLargeTeamDoesNotDelaySmallTeam(t *testing.T) {
	require.LessOrEqual(t, longestSmallTeamWait(1), 2)
	require.LessOrEqual(t, longestSmallTeamWait(10), 2, "ten times as many requests")
}

func TestAgingOvertakesPriority(t *testing.T) {
	var q admit.Queue
	q.Resize(1)
	require.IsType(t, admit.Run{}, q.Offer(request(1, "a"), start))
	old := request(2, "b")
	old.Priority = 3
	require.IsType(t, admit.Wait{}, q.Offer(old, start))
	later := start.Add(10 * time.Second)
	urgent := request(3, "c")
	urgent.Priority = 1
	require.IsType(t, admit.Wait{}, q.Offer(urgent, later))
	q.Finish("a", time.Millisecond, later)
	admitted, _ := q.Dispatch(later)
	require.Equal(t, []admit.Ticket{2}, admitted, "it has aged past the urgent request")
}

func TestEarliestDeadlineGoesFirstWithinTeam(t *testing.T) {
	var q admit.Queue
	q.Resize(1)
	q.Offer(request(1, "a"), start)
	q.Offer(request(2, "a"), start)
	soon := request(3, "a")
	soon.Deadline = start.Add(time.Minute)
	q.Offer(soon, start)
	q.Finish("a", time.Millisecond, start)
	admitted, _ := q.Dispatch(start)
	require.Equal(t, []admit.Ticket{3}, admitted)
}

func TestUnreachableDeadlineIsRefusedEarly(t *testing.T) {
	var q admit.Queue
	q.Resize(1)
	q.Offer(request(1, "a"), start)
	q.Finish("a", 10*time.Second, start) // requests take ten seconds
	q.Offer(request(2, "a"), start)
	hopeless := request(3, "a")
	hopeless.Deadline = start.Add(time.Second)
	d, ok := q.Offer(hopeless, start).(admit.Refuse)
	require.True(t, ok)
	require.Equal(t, protocol.DeadlineUnreachable, d.Kind())
	require.True(t, d.RetryAfter().After(start))
}

func TestFullQueueRefusesFromTeamAboveShare(t *testing.T) {
	var q admit.Queue
	q.Resize(1)
	q.Offer(request(0, "large"), start)
	for i := range q.Bound() {
		require.IsType(t, admit.Wait{}, q.Offer(request(admit.Ticket(i+1), "large"), start))
	}
	d, ok := q.Offer(request(1000, "large"), start).(admit.Refuse)
	require.True(t, ok)
	require.Equal(t, protocol.QueueFull, d.Kind())
	require.IsType(t, admit.Wait{}, q.Offer(request(1001, "small"), start))
	_, refused := q.Dispatch(start)
	require.Len(t, refused, 1)
	require.NotEqual(t, admit.Ticket(1001), refused[0].Ticket())
}

func BenchmarkOfferAndDispatch(b *testing.B) {
	for _, teams := range []int{10, 70, 700} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			var q admit.Queue
			q.Resize(teams)
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team", i)
			}
			var ticket admit.Ticket
			for range 2 * teams {
				ticket++
				q.Offer(request(ticket, names[int(ticket)%teams]), start)
			}
			b.ReportAllocs()
			for b.Loop() {
				ticket++
				q.Offer(request(ticket, names[int(ticket)%teams]), start)
				q.Finish(names[int(ticket)%teams], time.Millisecond, start)
				q.Dispatch(start)
			}
		})
	}
}
