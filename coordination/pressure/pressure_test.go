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

var start = time.Unix(1_700_000_000, 0)

// late is a time at which what was held at the start has long been unread.
var late = start.Add(10 * time.Second)

// holding returns an account that holds bytes since the start.
func holding(t *testing.T, b *pressure.Budget, team string, rank int, resumable bool, n int64) *pressure.Account {
	a := &pressure.Account{}
	b.Assign(a, team, rank, resumable)
	_, ok := b.Reserve(a, n, start)
	require.True(t, ok)
	return a
}

func TestAStreamIsLeftUnreadBeyondItsShareAndDroppedBeforeItsEngineCuts(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := holding(t, &b, "team", 0, true, limit/16)
	require.IsType(t, pressure.Continue{}, b.Decide(a, start))

	_, ok := b.Reserve(a, limit/8, start)
	require.True(t, ok)
	d := b.Decide(a, start)
	require.IsType(t, pressure.Pause{}, d)
	till := d.(pressure.Pause).Until()
	require.Equal(t, d, b.Decide(a, till.Add(-time.Millisecond)))
	require.IsType(t, pressure.DropAttempt{}, b.Decide(a, till))

	b.Release(a, limit/32, till)
	require.IsType(t, pressure.DropAttempt{}, b.Decide(a, till), "a little room is no reason to go on")
	b.Release(a, limit/8, till)
	require.IsType(t, pressure.Continue{}, b.Decide(a, till))
}

// TestAnAnswerThatCantGoOnElsewhereMayHoldMore, and its engine is never left: the answer
// would be lost.
func TestAnAnswerThatCantGoOnElsewhereMayHoldMore(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := holding(t, &b, "team", 0, false, limit/4)
	require.IsType(t, pressure.Continue{}, b.Decide(a, start))
	_, ok := b.Reserve(a, limit/4, start)
	require.True(t, ok)
	require.IsType(t, pressure.Pause{}, b.Decide(a, start))
	require.IsType(t, pressure.Pause{}, b.Decide(a, late))
}

func TestWhoGivesWay(t *testing.T) {
	part := int64(limit / 4)
	tests := map[string]func(b *pressure.Budget) (first *pressure.Account){
		"the least urgent": func(b *pressure.Budget) *pressure.Account {
			holding(t, b, "a", 0, true, 2*part)
			return holding(t, b, "b", 3, false, part)
		},
		"who loses only time": func(b *pressure.Budget) *pressure.Account {
			holding(t, b, "a", 1, false, 2*part)
			return holding(t, b, "b", 1, true, part)
		},
		"the team that holds most": func(b *pressure.Budget) *pressure.Account {
			first := holding(t, b, "b", 1, true, part*4/5)
			holding(t, b, "a", 1, true, part)
			holding(t, b, "b", 1, true, part/2)
			return first
		},
		"who holds most": func(b *pressure.Budget) *pressure.Account {
			holding(t, b, "a", 1, true, part)
			return holding(t, b, "b", 1, true, 2*part)
		},
		"who read longest ago": func(b *pressure.Budget) *pressure.Account {
			read := holding(t, b, "a", 1, true, part+1)
			b.Release(read, 1, late.Add(-2*time.Second))
			return holding(t, b, "b", 1, true, part)
		},
	}
	for name, fill := range tests {
		t.Run(name, func(t *testing.T) {
			var b pressure.Budget
			b.SetLimit(limit)
			first := fill(&b)
			ended, ok := b.Reserve(&pressure.Account{}, limit-b.Held()+1, late)
			require.True(t, ok)
			require.Equal(t, []*pressure.Account{first}, ended)
			require.True(t, first.Evicted())
			require.IsType(t, pressure.Abort{}, b.Decide(first, late))
		})
	}
}

// TestWhoReadsWellIsNeverEnded: what finds no room waits instead.
func TestWhoReadsWellIsNeverEnded(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := holding(t, &b, "a", 9, true, limit)
	b.Release(a, 1, late)
	ended, ok := b.Reserve(&pressure.Account{}, limit/2, late.Add(time.Millisecond))
	require.False(t, ok)
	require.Empty(t, ended)
	require.EqualValues(t, limit-1, b.Held())
}

// TestOneTeamLeavesTheOthersTheirs: 300 callers of one team that read nothing hold half of
// the budget, and a stream of another team may hold as if they were a handful.
func TestOneTeamLeavesTheOthersTheirs(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(64 << 20)
	const event = 1 << 10
	var crowd []*pressure.Account
	for range 300 {
		a := &pressure.Account{}
		b.Assign(a, "crowd", 0, true)
		crowd = append(crowd, a)
	}
	for going := true; going; {
		going = false
		for _, a := range crowd {
			if _, goOn := b.Decide(a, start).(pressure.Continue); goOn {
				_, ok := b.Reserve(a, event, start)
				require.True(t, ok)
				going = true
			}
		}
	}
	require.LessOrEqual(t, b.Held(), int64(33<<20))
	other := &pressure.Account{}
	b.Assign(other, "other", 0, true)
	for range 64 {
		require.IsType(t, pressure.Continue{}, b.Decide(other, start))
		ended, ok := b.Reserve(other, event, start)
		require.True(t, ok)
		require.Empty(t, ended)
	}
	require.False(t, b.NearLimit())
}

func TestBodiesLeaveRoomForAnswers(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	require.True(t, b.ReserveBody(limit/2))
	require.False(t, b.ReserveBody(1))
	require.True(t, b.ReserveBody(-limit/4))
	require.True(t, b.ReserveBody(1))
}

func TestNearTheEndUntilClearlyLessIsHeld(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	a := holding(t, &b, "a", 0, true, limit*9/10)
	require.True(t, b.NearLimit())
	b.Release(a, limit/5, start)
	require.True(t, b.NearLimit())
	b.Release(a, limit/5, start)
	require.False(t, b.NearLimit())
	_, ok := b.Reserve(a, limit/5, start)
	require.True(t, ok)
	require.False(t, b.NearLimit())
}

// TestHeldBytesStayWithinTheBudget draws callers of several teams that read well, slowly or
// not at all. No more is ever held than the budget, each account's bytes are counted once,
// and nobody who has read within a second is ended.
func TestHeldBytesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b pressure.Budget
		most := rapid.Int64Range(8<<10, 1<<20).Draw(t, "limit")
		b.SetLimit(most)
		now := start
		accounts := make([]*pressure.Account, rapid.IntRange(1, 20).Draw(t, "callers"))
		read := make(map[*pressure.Account]time.Time)
		held := make(map[*pressure.Account]int64)
		for i := range accounts {
			accounts[i] = &pressure.Account{}
			b.Assign(accounts[i], fmt.Sprint("team-", i%3), i%4, i%2 == 0)
		}
		bodies := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "who")]
			n := rapid.Int64Range(1, 64<<10).Draw(t, "bytes")
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				before := held[a]
				ended, ok := b.Reserve(a, n, now)
				for _, e := range ended {
					require.GreaterOrEqual(t, now.Sub(read[e]), time.Second, "who reads is not ended")
					require.True(t, e.Evicted())
					held[e] = 0
				}
				if ok {
					if before == 0 {
						read[a] = now
					}
					held[a] += n
				}
			case 2:
				n = min(n, held[a])
				b.Release(a, n, now)
				if n > 0 {
					held[a] -= n
					read[a] = now
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
			require.LessOrEqual(t, b.Held()+b.BodyBytes(), most)
		}
	})
}

// BenchmarkHold ends the worst of 2,000 slow callers to make room, which is the dearest case.
func BenchmarkHold(b *testing.B) {
	var p pressure.Budget
	p.SetLimit(2000 * 4096)
	for i := range 2000 {
		a := &pressure.Account{}
		p.Assign(a, fmt.Sprint("team-", i%24), i%10, true)
		p.Reserve(a, 4096, start)
	}
	for b.Loop() {
		a := &pressure.Account{}
		p.Assign(a, "team", 0, true)
		p.Reserve(a, 4096, late)
	}
}

// TestWhoIsMoreUrgentDoesNotGiveWay to a crowd that just came, also when nobody else has been
// quiet for long.
func TestWhoIsMoreUrgentDoesNotGiveWay(t *testing.T) {
	var b pressure.Budget
	b.SetLimit(limit)
	urgent := holding(t, &b, "a", 1, true, limit/2)
	var crowd, equal pressure.Account
	b.Assign(&crowd, "b", 2, true)
	ended, ok := b.Reserve(&crowd, limit/2, late)
	require.True(t, ok)
	require.Empty(t, ended)
	ended, ok = b.Reserve(&crowd, 1, late)
	require.False(t, ok)
	require.Empty(t, ended)
	b.Assign(&equal, "c", 1, true)
	ended, ok = b.Reserve(&equal, 1, late)
	require.True(t, ok)
	require.Equal(t, []*pressure.Account{urgent}, ended)
}

// TestWhoReadsSteadilyKeepsItsSend: its engine is read on before it cuts, as soon as less is
// held than the stream may.
func TestWhoReadsSteadilyKeepsItsSend(t *testing.T) {
	const share = 80 << 10
	var b pressure.Budget
	b.SetLimit(limit)
	a := holding(t, &b, "team", 0, true, share+1)
	d := b.Decide(a, start)
	require.IsType(t, pressure.Pause{}, d)
	till := d.(pressure.Pause).Until()
	b.Release(a, 1, till)
	require.Equal(t, d, b.Decide(a, till.Add(-time.Millisecond)), "not for one event, as long as the engine bears it")
	require.IsType(t, pressure.Continue{}, b.Decide(a, till))
	_, ok := b.Reserve(a, 1, till)
	require.True(t, ok)
	require.Equal(t, till.Add(till.Sub(start)), b.Decide(a, till).(pressure.Pause).Until(), "it bears as long again")
}
