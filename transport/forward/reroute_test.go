// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// TestWorkFollowsThePath draws losses, answers, lost answers, reports, events and callers
// that leave: work counts just where it may be done, and one request never has two paths.
func TestWorkFollowsThePath(t *testing.T) {
	addresses := silentEngines(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newPathChangeHarness(t, addresses, rapid.Bool().Draw(t, "may repeat"))
		defer s.end()
		t.Repeat(map[string]func(*rapid.T){
			"lose": func(t *rapid.T) { s.lose(rapid.IntRange(0, 2).Draw(t, "stage")) },
			"answer": func(t *rapid.T) {
				s.answer(rapid.SampledFrom([]protocol.PathAnswer{
					protocol.PathTaken{},
					protocol.PathUnknown{},
					protocol.PathUnfit{Address: addresses[1]},
					protocol.PathUnfit{},
					protocol.PathRefused{Cause: errNoAnswer},
					protocol.PathUnanswered{Cause: errNoAnswer},
				}).Draw(t, "answer"))
			},
			"event": func(*rapid.T) { s.event() },
			"look":  func(t *rapid.T) { s.look(rapid.Bool().Draw(t, "stalled")) },
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					s.exchange.closeAttempts()
				}
			},
			"": func(*rapid.T) { s.check() },
		})
	})
}

// TestLostStageIsReplacedBeforeRetry, and what has moved is heard on its
// new path.
func TestLostStageIsReplacedBeforeRetry(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	a := s.exchange.open[0]
	before := a.path
	s.lose(1)
	require.True(t, s.ordered)
	require.Equal(t, 1, s.exchange.attempts)
	s.event() // on its way since before the loss
	require.False(t, before.Runner(1).HeardAt().After(s.exchange.begun), "what came says nothing of a stage that is being replaced")
	require.True(t, before.Runner(2).HeardAt().After(s.exchange.begun))
	s.answer(protocol.PathTaken{})
	require.Equal(t, 1, s.exchange.attempts)
	require.Equal(t, before.Runner(0), a.path.Runner(0))
	require.NotEqual(t, before.Runner(1), a.path.Runner(1))
	require.Equal(t, before.Runner(2), a.path.Runner(2))
	require.Zero(t, before.Runner(1).Outstanding())
	s.event()
	require.WithinDuration(t, time.Now(), a.path.Runner(1).HeardAt(), time.Minute)
}

// TestSecondLossDuringPathChange is answered by a second one.
func TestSecondLossDuringPathChange(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), false)
	t.Cleanup(s.end)
	a := s.exchange.open[0]
	s.lose(1)
	s.lose(2)
	require.Equal(t, 1, s.changes, "one order at a time")
	s.answer(protocol.PathTaken{})
	require.Equal(t, 2, s.changes)
	s.answer(protocol.PathTaken{})
	require.Empty(t, lostRunners(a, time.Now()))
	require.Equal(t, 1, s.exchange.attempts)
}

// TestUnfitStageIsNotRetried, whether it is named or not.
func TestUnfitStageIsNotRetried(t *testing.T) {
	for _, named := range []bool{true, false} {
		s := newPathChangeHarness(t, silentEngines(t), true)
		t.Cleanup(s.end)
		a := s.exchange.open[0]
		s.lose(1)
		next, _ := a.pathChange.OrderedPath()
		unfit := next.Runner(1)
		answer := protocol.PathUnfit{}
		if named {
			answer.Address = unfit.Spec().Address
		}
		s.answer(answer)
		require.Equal(t, 2, s.changes)
		next, _ = a.pathChange.OrderedPath()
		require.NotEqual(t, unfit, next.Runner(1))
		require.Zero(t, unfit.Outstanding())
		require.Equal(t, named, !unfit.Usable(time.Now()))
		s.answer(answer)
		require.Equal(t, 2, s.exchange.attempts, "then it is sent elsewhere")
	}
}

// TestFailedPathChangeIsRetriedElsewhere, if the request may run twice.
func TestFailedPathChangeIsRetriedElsewhere(t *testing.T) {
	for _, mayRepeat := range []bool{true, false} {
		s := newPathChangeHarness(t, silentEngines(t), mayRepeat)
		t.Cleanup(s.end)
		s.lose(1)
		s.answer(protocol.PathUnknown{})
		require.Equal(t, mayRepeat, s.exchange.attempts == 2)
	}
}

// TestUnresolvedAttemptClosesBeforeRetry: a late order then finds no request.
func TestUnresolvedAttemptClosesBeforeRetry(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	first := s.exchange.open[0]
	s.lose(2)
	s.answer(protocol.PathUnanswered{Cause: errNoAnswer})
	require.Equal(t, 1, s.exchange.attempts)
	s.look(false)
	require.Equal(t, 1, s.exchange.attempts, "it does not wait: it may have been moved")
	s.look(true)
	require.Equal(t, 2, s.exchange.attempts)
	require.Len(t, s.exchange.open, 1)
	require.NotEqual(t, first, s.exchange.open[0])
	require.Error(t, first.cancelled.Err(), "the engine sees its connection close")
}

// TestSilentStageIsReplacedWithoutAlternative: not if the request may be sent elsewhere,
// and not if most of the path is silent.
func TestSilentStageIsReplacedWithoutAlternative(t *testing.T) {
	for _, c := range []struct {
		mayRepeat     bool
		quiet         []int
		orders, sends int
	}{
		{mayRepeat: false, quiet: []int{1}, orders: 1, sends: 1},
		{mayRepeat: false, quiet: []int{0}, orders: 0, sends: 1},
		{mayRepeat: false, quiet: []int{1, 2}, orders: 0, sends: 1},
		{mayRepeat: true, quiet: []int{1}, orders: 0, sends: 2},
	} {
		s := newPathChangeHarness(t, silentEngines(t), c.mayRepeat)
		t.Cleanup(s.end)
		a := s.exchange.open[0]
		var quiet []*fleet.Runner
		for _, stage := range c.quiet {
			quiet = append(quiet, a.path.Runner(stage))
		}
		s.exchange.recoverAttempt(a, quiet, time.Now())
		s.recordOrder()
		require.Equal(t, c.orders, s.changes, c)
		require.Equal(t, c.sends, s.exchange.attempts, c)
	}
}

// TestFirstStageIsNotReplaced, nor has one that is lost itself anybody to order it.
func TestFirstStageIsNotReplaced(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	s.lose(0)
	require.False(t, s.ordered)
	require.Equal(t, 2, s.exchange.attempts)
	f, x := newForwarder(t, 3, nil)
	f.PathChanger = s.engine
	markLost(f, x.open[0].endpoint)
	x.handleLosses(time.Now())
	require.Equal(t, 2, x.attempts)
}
