// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// TestWorkFollowsThePath generates random losses, replies to orders, lost replies, reports, events
// and callers that leave. It checks that load counts exactly where the request may run, and that a
// request never runs on two paths.
func TestWorkFollowsThePath(t *testing.T) {
	addresses := silentEngines(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newPathChangeHarness(t, addresses, rapid.Bool().Draw(t, "may repeat"))
		defer s.end()
		t.Repeat(map[string]func(*rapid.T){
			"lose": func(t *rapid.T) { s.lose(rapid.IntRange(0, 2).Draw(t, "stage")) },
			"answer": func(t *rapid.T) {
				s.answer(rapid.SampledFrom([]protocol.PathAnswer{
					protocol.PathAccepted{},
					protocol.PathUnknown{},
					protocol.PathStageUnavailable{Address: addresses[1]},
					protocol.PathStageUnavailable{},
					protocol.PathRefused{Cause: errNoAnswer},
					protocol.PathUnanswered{Cause: errNoAnswer},
				}).Draw(t, "answer"))
			},
			"event": func(*rapid.T) { s.deliverEvent() },
			"look":  func(t *rapid.T) { s.checkUnresolved(rapid.Bool().Draw(t, "stalled")) },
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					s.exchange.closeAttempts()
				}
			},
			"": func(*rapid.T) { s.check() },
		})
	})
}

// TestLostStageIsReplacedBeforeRetry checks that a lost stage is replaced instead of retrying the
// request, and that events after the change count for the new path.
func TestLostStageIsReplacedBeforeRetry(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	a := s.exchange.open[0]
	before := a.path
	s.lose(1)
	require.True(t, s.ordered)
	require.Equal(t, 1, s.exchange.attempts)
	s.deliverEvent() // sent before the loss
	require.False(t, before.Runner(1).HeardAt().After(s.exchange.begun), "an event proves nothing about a stage that is being replaced")
	require.True(t, before.Runner(2).HeardAt().After(s.exchange.begun))
	s.answer(protocol.PathAccepted{})
	require.Equal(t, 1, s.exchange.attempts)
	require.Equal(t, before.Runner(0), a.path.Runner(0))
	require.NotEqual(t, before.Runner(1), a.path.Runner(1))
	require.Equal(t, before.Runner(2), a.path.Runner(2))
	require.Zero(t, before.Runner(1).Outstanding())
	s.deliverEvent()
	require.WithinDuration(t, time.Now(), a.path.Runner(1).HeardAt(), time.Minute)
}

// TestSecondLossDuringPathChange checks that a second loss during a path change leads to a second
// change.
func TestSecondLossDuringPathChange(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), false)
	t.Cleanup(s.end)
	a := s.exchange.open[0]
	s.lose(1)
	s.lose(2)
	require.Equal(t, 1, s.changes, "one order at a time")
	s.answer(protocol.PathAccepted{})
	require.Equal(t, 2, s.changes)
	s.answer(protocol.PathAccepted{})
	require.Empty(t, lostRunners(a, time.Now()))
	require.Equal(t, 1, s.exchange.attempts)
}

// TestUnfitStageIsNotRetried checks that a stage that could not take the request is not ordered
// again, whether the reply names it or not.
func TestUnfitStageIsNotRetried(t *testing.T) {
	for _, named := range []bool{true, false} {
		s := newPathChangeHarness(t, silentEngines(t), true)
		t.Cleanup(s.end)
		a := s.exchange.open[0]
		s.lose(1)
		next, _ := a.pathChange.OrderedPath()
		unfit := next.Runner(1)
		answer := protocol.PathStageUnavailable{}
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
		require.Equal(t, 2, s.exchange.attempts, "the request is sent elsewhere")
	}
}

// TestFailedPathChangeIsRetriedElsewhere checks that a failed path change leads to a further
// attempt if the request is repeatable.
func TestFailedPathChangeIsRetriedElsewhere(t *testing.T) {
	for _, mayRepeat := range []bool{true, false} {
		s := newPathChangeHarness(t, silentEngines(t), mayRepeat)
		t.Cleanup(s.end)
		s.lose(1)
		s.answer(protocol.PathUnknown{})
		require.Equal(t, mayRepeat, s.exchange.attempts == 2)
	}
}

// TestUnresolvedAttemptClosesBeforeRetry guards against a request that runs on two paths: an
// attempt whose order has no reply is closed before the next attempt, so that a late order finds no
// request.
func TestUnresolvedAttemptClosesBeforeRetry(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	first := s.exchange.open[0]
	s.lose(2)
	s.answer(protocol.PathUnanswered{Cause: errNoAnswer})
	require.Equal(t, 1, s.exchange.attempts)
	s.checkUnresolved(false)
	require.Equal(t, 1, s.exchange.attempts, "not listed as stalled: its path may have changed")
	s.checkUnresolved(true)
	require.Equal(t, 2, s.exchange.attempts)
	require.Len(t, s.exchange.open, 1)
	require.NotEqual(t, first, s.exchange.open[0])
	require.Error(t, first.ctx.Err(), "the engine sees its connection close")
}

// TestSilentStageIsReplacedWithoutAlternative checks that a silent stage is replaced only if the
// request can't be sent elsewhere and most of the path is not silent.
func TestSilentStageIsReplacedWithoutAlternative(t *testing.T) {
	for _, test := range []struct {
		mayRepeat        bool
		silentStages     []int
		orders, attempts int
	}{
		{mayRepeat: false, silentStages: []int{1}, orders: 1, attempts: 1},
		{mayRepeat: false, silentStages: []int{0}, orders: 0, attempts: 1},
		{mayRepeat: false, silentStages: []int{1, 2}, orders: 0, attempts: 1},
		{mayRepeat: true, silentStages: []int{1}, orders: 0, attempts: 2},
	} {
		s := newPathChangeHarness(t, silentEngines(t), test.mayRepeat)
		t.Cleanup(s.end)
		a := s.exchange.open[0]
		var silent []*fleet.Runner
		for _, stage := range test.silentStages {
			silent = append(silent, a.path.Runner(stage))
		}
		s.exchange.recoverAttempt(a, silent, time.Now())
		s.recordOrder()
		require.Equal(t, test.orders, s.changes, test)
		require.Equal(t, test.attempts, s.exchange.attempts, test)
	}
}

// TestFirstStageIsNotReplaced checks that a lost engine that holds the whole model, or the first
// stage, leads to a further attempt: no engine is left that could receive an order.
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

// TestClosedAttemptGivesNoOrder guards against a path change for an attempt that was closed because
// another one is still open: the load of its new stages would count for ever.
func TestClosedAttemptGivesNoOrder(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	x, now := s.exchange, time.Now()
	closed := x.open[0]
	require.Equal(t, silenceElsewhere, x.hedge(closed, []*fleet.Runner{closed.path.Runner(2)}, now))
	x.attempts = maxAttempts
	for _, a := range x.open {
		a.path.Runner(1).MarkLost(now, now.Add(time.Minute))
		a.path.Runner(1).MarkRefused()
	}
	x.handleLosses(now)
	require.NotContains(t, x.open, closed)
	_, ordered := closed.pathChange.OrderedPath()
	require.False(t, ordered)
	s.recordOrder()
	s.check()
}

// TestAttemptAtASilentEndpointStaysOpenBesideAnother guards against a stream that ends because its second attempt is refused.
func TestAttemptAtASilentEndpointStaysOpenBesideAnother(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	x := s.exchange
	first := x.open[0]
	s.lose(0)
	require.Len(t, x.open, 2)
	x.handleLosses(time.Now())
	require.Contains(t, x.open, first)
	second := x.open[1]
	x.handleMessage(attemptEnded{attempt: second, cause: io.ErrUnexpectedEOF, sent: 1})
	require.Equal(t, []*attempt{first}, x.open)
	require.False(t, x.finished)
	require.NoError(t, first.ctx.Err())
}

// TestStreamAfterAnUnansweredOrderIsNotGivenUpForAShortSilence guards against the end of a stream that an endpoint still runs.
func TestStreamAfterAnUnansweredOrderIsNotGivenUpForAShortSilence(t *testing.T) {
	s := newPathChangeHarness(t, silentEngines(t), true)
	t.Cleanup(s.end)
	x := s.exchange
	first := x.open[0]
	lost := first.path.Runner(2)
	s.lose(2)
	s.answer(protocol.PathUnanswered{Cause: errNoAnswer})
	lost.ClearLost()
	first.hasEvent = true
	x.recordPathChange(first, time.Now())
	x.timing.recordEvent(time.Now())
	now := time.Now().Add(200 * time.Millisecond)
	x.recoverAttempt(first, []*fleet.Runner{first.endpoint}, now)
	require.Equal(t, []*attempt{first}, x.open)
	require.NoError(t, first.ctx.Err())
}
