// SPDX-License-Identifier: Apache-2.0

package pressure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/pressure"
)

const limit = 1 << 20

var startTime = time.Unix(1_700_000_000, 0)

// lateTime is long enough after startTime that the callers of accounts filled at startTime count as
// stalled.
var lateTime = startTime.Add(10 * time.Second)

// newHoldingAccount returns an account that holds bytes since startTime.
func newHoldingAccount(t *testing.T, b *pressure.Budget, team string, priority int, resumable bool, n int64) *pressure.Account {
	a := &pressure.Account{}
	b.Assign(a, team, priority, resumable)
	_, ok := b.Reserve(a, n, startTime)
	require.True(t, ok)
	return a
}

func TestResumableStreamIsPausedThenDropped(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := newHoldingAccount(t, &b, "team", 0, true, limit/16)
	require.IsType(t, pressure.Continue{}, b.Decide(a, startTime))

	_, ok := b.Reserve(a, limit/8, startTime)
	require.True(t, ok)
	d := b.Decide(a, startTime)
	require.IsType(t, pressure.Pause{}, d)
	until := d.(pressure.Pause).Until()
	require.Equal(t, d, b.Decide(a, until.Add(-time.Millisecond)))
	require.IsType(t, pressure.DropAttempt{}, b.Decide(a, until))

	b.Release(a, limit/32, until)
	require.IsType(t, pressure.DropAttempt{}, b.Decide(a, until), "a few released bytes do not end the pause")
	b.Release(a, limit/8, until)
	require.IsType(t, pressure.Continue{}, b.Decide(a, until))
}

// TestNonResumableResponseMayHoldMore: the attempt of a response that cannot resume elsewhere is
// never dropped, because the response would be lost.
func TestNonResumableResponseMayHoldMore(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := newHoldingAccount(t, &b, "team", 0, false, limit/4)
	require.IsType(t, pressure.Continue{}, b.Decide(a, startTime))
	_, ok := b.Reserve(a, limit/4, startTime)
	require.True(t, ok)
	require.IsType(t, pressure.Pause{}, b.Decide(a, startTime))
	require.IsType(t, pressure.Pause{}, b.Decide(a, lateTime))
}

func TestEvictionOrder(t *testing.T) {
	quarter := int64(limit / 4)
	tests := map[string]func(b *pressure.Budget) (first *pressure.Account){
		"the least urgent": func(b *pressure.Budget) *pressure.Account {
			newHoldingAccount(t, b, "a", 0, true, 2*quarter)
			return newHoldingAccount(t, b, "b", 3, false, quarter)
		},
		"the resumable stream": func(b *pressure.Budget) *pressure.Account {
			newHoldingAccount(t, b, "a", 1, false, 2*quarter)
			return newHoldingAccount(t, b, "b", 1, true, quarter)
		},
		"the team that holds most": func(b *pressure.Budget) *pressure.Account {
			first := newHoldingAccount(t, b, "b", 1, true, quarter*4/5)
			newHoldingAccount(t, b, "a", 1, true, quarter)
			newHoldingAccount(t, b, "b", 1, true, quarter/2)
			return first
		},
		"the account that holds most": func(b *pressure.Budget) *pressure.Account {
			newHoldingAccount(t, b, "a", 1, true, quarter)
			return newHoldingAccount(t, b, "b", 1, true, 2*quarter)
		},
		"the account that read longest ago": func(b *pressure.Budget) *pressure.Account {
			read := newHoldingAccount(t, b, "a", 1, true, quarter+1)
			b.Release(read, 1, lateTime.Add(-2*time.Second))
			return newHoldingAccount(t, b, "b", 1, true, quarter)
		},
	}
	for name, fill := range tests {
		t.Run(name, func(t *testing.T) {
			var b pressure.Budget
			b.SetLimit(limit)
			first := fill(&b)
			evicted, ok := b.Reserve(&pressure.Account{}, limit-b.Held()+1, lateTime)
			require.True(t, ok)
			require.Equal(t, []*pressure.Account{first}, evicted)
			require.True(t, first.Evicted())
			require.IsType(t, pressure.Abort{}, b.Decide(first, lateTime))
		})
	}
}

// TestReadingCallerIsNeverEvicted: the new account gets no bytes and has to wait instead.
func TestReadingCallerIsNeverEvicted(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := newHoldingAccount(t, &b, "a", 9, true, limit)
	b.Release(a, 1, lateTime)
	evicted, ok := b.Reserve(&pressure.Account{}, limit/2, lateTime.Add(time.Millisecond))
	require.False(t, ok)
	require.Empty(t, evicted)
	require.EqualValues(t, limit-1, b.Held())
}

// TestOneTeamLeavesBudgetToOthers: 300 callers of one team that read nothing hold half of the
// budget. A stream of another team may still hold as much as if there were only a few of them.
func TestOneTeamLeavesBudgetToOthers(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(64 << 20)
	const event = 1 << 10
	var accounts []*pressure.Account
	for range 300 {
		a := &pressure.Account{}
		b.Assign(a, "crowd", 0, true)
		accounts = append(accounts, a)
	}
	for progress := true; progress; {
		progress = false
		for _, a := range accounts {
			if _, reads := b.Decide(a, startTime).(pressure.Continue); reads {
				_, ok := b.Reserve(a, event, startTime)
				require.True(t, ok)
				progress = true
			}
		}
	}
	require.LessOrEqual(t, b.Held(), int64(33<<20))
	other := &pressure.Account{}
	b.Assign(other, "other", 0, true)
	for range 64 {
		require.IsType(t, pressure.Continue{}, b.Decide(other, startTime))
		evicted, ok := b.Reserve(other, event, startTime)
		require.True(t, ok)
		require.Empty(t, evicted)
	}
	require.False(t, b.NearLimit())
}

func TestBodiesLeaveBudgetToResponses(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	require.True(t, b.ReserveBody(limit/2))
	require.False(t, b.ReserveBody(1))
	require.True(t, b.ReserveBody(-limit/4))
	require.True(t, b.ReserveBody(1))
}

func TestNearLimitHysteresis(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := newHoldingAccount(t, &b, "a", 0, true, limit*9/10)
	require.True(t, b.NearLimit())
	b.Release(a, limit/5, startTime)
	require.True(t, b.NearLimit())
	b.Release(a, limit/5, startTime)
	require.False(t, b.NearLimit())
	_, ok := b.Reserve(a, limit/5, startTime)
	require.True(t, ok)
	require.False(t, b.NearLimit())
}

// TestHeldBytesStayWithinBudget draws callers of several teams that read quickly, slowly or not at
// all. No more than the budget is ever held, the bytes of each account are counted once, and no
// caller that has read within a second is evicted.
func TestHeldBytesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b pressure.Budget
		budget := rapid.Int64Range(8<<10, 1<<20).Draw(t, "limit")
		b.SetLimit(budget)
		now := startTime
		accounts := make([]*pressure.Account, rapid.IntRange(1, 20).Draw(t, "callers"))
		lastRead := make(map[*pressure.Account]time.Time)
		held := make(map[*pressure.Account]int64)
		for i := range accounts {
			accounts[i] = &pressure.Account{}
			b.Assign(accounts[i], fmt.Sprint("team-", i%3), i%4, i%2 == 0)
		}
		bodies := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			n := rapid.Int64Range(1, 64<<10).Draw(t, "bytes")
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				before := held[a]
				evicted, ok := b.Reserve(a, n, now)
				for _, e := range evicted {
					require.GreaterOrEqual(t, now.Sub(lastRead[e]), time.Second, "a caller that reads is not evicted")
					require.True(t, e.Evicted())
					held[e] = 0
				}
				if ok {
					if before == 0 {
						lastRead[a] = now
					}
					held[a] += n
				}
			case 2:
				n = min(n, held[a])
				b.Release(a, n, now)
				if n > 0 {
					held[a] -= n
					lastRead[a] = now
				}
			case 3:
				if b.ReserveBody(n) {
					bodies += n
				}
			default:
				b.ReserveBody(-bodies)
				bodies = 0
				b.Decide(a, now)
			}
			sum := int64(0)
			for _, c := range accounts {
				require.Equal(t, held[c], c.Held())
				sum += held[c]
			}
			require.Equal(t, sum, b.Held())
			require.Equal(t, bodies, b.BodyBytes())
			require.LessOrEqual(t, b.Held()+b.BodyBytes(), budget)
		}
	})
}

// BenchmarkReserve evicts the first of 2,000 slow callers, which is the most expensive case.
func BenchmarkReserve(b *testing.B) {
	var budget pressure.Budget
	budget.SetLimit(2000 * 4096)
	for i := range 2000 {
		a := &pressure.Account{}
		budget.Assign(a, fmt.Sprint("team-", i%24), i%10, true)
		budget.Reserve(a, 4096, startTime)
	}
	for b.Loop() {
		a := &pressure.Account{}
		budget.Assign(a, "team", 0, true)
		budget.Reserve(a, 4096, lateTime)
	}
}

// TestMoreUrgentAccountIsNotEvicted: a burst of new callers does not evict a more urgent account,
// even if no other account has stalled for long.
func TestMoreUrgentAccountIsNotEvicted(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	urgent := newHoldingAccount(t, &b, "a", 1, true, limit/2)
	var burst, equal pressure.Account
	b.Assign(&burst, "b", 2, true)
	evicted, ok := b.Reserve(&burst, limit/2, lateTime)
	require.True(t, ok)
	require.Empty(t, evicted)
	evicted, ok = b.Reserve(&burst, 1, lateTime)
	require.False(t, ok)
	require.Empty(t, evicted)
	b.Assign(&equal, "c", 1, true)
	evicted, ok = b.Reserve(&equal, 1, lateTime)
	require.True(t, ok)
	require.Equal(t, []*pressure.Account{urgent}, evicted)
}

// TestSteadyReaderKeepsItsAttempt: once the pause is over, the stream reads from its engine again
// as soon as it holds less than the full allowance, before the engine cuts it off.
func TestSteadyReaderKeepsItsAttempt(t *testing.T) {
	const share = 80 << 10
	var b pressure.Budget
	b.SetLimit(limit)
	a := newHoldingAccount(t, &b, "team", 0, true, share+1)
	d := b.Decide(a, startTime)
	require.IsType(t, pressure.Pause{}, d)
	until := d.(pressure.Pause).Until()
	b.Release(a, 1, until)
	require.Equal(t, d, b.Decide(a, until.Add(-time.Millisecond)), "not for one event before the timeout")
	require.IsType(t, pressure.Continue{}, b.Decide(a, until))
	_, ok := b.Reserve(a, 1, until)
	require.True(t, ok)
	require.Equal(t, until.Add(until.Sub(startTime)), b.Decide(a, until).(pressure.Pause).Until(), "the timeout starts again")
}
