// SPDX-License-Identifier: Apache-2.0

package reroute_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/reroute"
	"pinerun.example/pinerun/protocol"
)

var errLost = errors.New("no answer")

// simulation is one request as its first engine and its entry see it.
type simulation struct {
	tracker    reroute.Tracker
	now        time.Time
	path       path.Path
	waiting    bool // the entry waits for the answer to an order
	inFlight   int  // orders that the engine may still apply
	ordered    int
	open       bool // the attempt over the first engine is open
	changes    int  // how often the engine changed the path
	resends    int  // open attempts over other paths
	callerLeft bool // the caller has left
}

// order orders a change as an entry does, whenever it is allowed.
func (s *simulation) order(t *rapid.T) {
	if !s.open || s.callerLeft || s.resends > 0 || !s.tracker.CanStart() {
		t.Skip("no change may be ordered")
	}
	require.False(t, s.waiting, "two orders at once")
	s.tracker.Start(&s.path)
	s.ordered++
	s.waiting = true
	s.inFlight++
	require.True(t, s.tracker.Pending())
}

// applyOrder lets the engine handle an order, with or without an answer, in time or late.
func (s *simulation) applyOrder(t *rapid.T) {
	if s.inFlight == 0 {
		t.Skip("no order is in flight")
	}
	s.inFlight--
	if !s.open {
		s.answer(protocol.PathUnknown{})
		return
	}
	require.Zero(t, s.resends, "the path changes while the request runs over another path")
	if rapid.Bool().Draw(t, "unfit") {
		s.answer(protocol.PathStageUnavailable{Address: "a"})
		return
	}
	s.changes++
	if rapid.Bool().Draw(t, "answer lost") {
		s.answer(protocol.PathUnanswered{Cause: errLost})
	} else {
		s.answer(protocol.PathAccepted{})
	}
}

// timeOut ends the entry's wait before the engine handles the order.
func (s *simulation) timeOut(t *rapid.T) {
	if !s.waiting {
		t.Skip("no answer is awaited")
	}
	s.answer(protocol.PathUnanswered{Cause: errLost})
}

func (s *simulation) answer(a protocol.PathAnswer) {
	if s.waiting && s.open {
		s.tracker.HandleAnswer(a, s.now)
	}
	s.waiting = false
}

// advance lets time pass and queries an unresolved order.
func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
	if s.open && s.tracker.StartQuery(s.now) {
		s.tracker.HandleReport(rapid.Bool().Draw(t, "waits"), s.now)
	}
}

func (s *simulation) progress(*rapid.T) {
	if s.open {
		s.tracker.HandleProgress()
	}
}

// abort lets the first engine abort the attempt, or the caller leave.
func (s *simulation) abort(t *rapid.T) {
	s.open = false
	s.callerLeft = rapid.Bool().Draw(t, "caller leaves")
	if s.callerLeft {
		s.resends = 0
	}
}

// resend sends the request over another path as an entry does, whenever it is allowed.
func (s *simulation) resend(t *rapid.T) {
	if s.callerLeft || s.open && s.tracker.Pending() {
		t.Skip("the request may not be resent")
	}
	if s.open && s.tracker.MayApplyLate() {
		s.open = false
	}
	s.resends = 1
}

func (s *simulation) check(t *rapid.T) {
	require.False(t, s.open && s.resends > 0 && s.inFlight > 0, "a late order could give the request a second path")
	require.LessOrEqual(t, s.ordered, 2)
	require.LessOrEqual(t, s.inFlight, 1, "one order at a time")
	if s.open && s.waiting {
		require.True(t, s.tracker.Pending())
	}
}

// TestRequestHasOnePath draws the actions of engines, the network and the caller around changes of
// path: answers are lost, orders arrive late, the engine aborts, the caller leaves. No request may
// run over two paths.
func TestRequestHasOnePath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{open: true, now: now}
		t.Repeat(map[string]func(*rapid.T){
			"order": s.order, "apply order": s.applyOrder, "time out": s.timeOut, "advance": s.advance,
			"progress": s.progress, "abort": s.abort, "resend": s.resend, "": s.check,
		})
	})
}

func TestOrderForUnknownRequestIsLast(t *testing.T) {
	var tracker reroute.Tracker
	tracker.Start(&path.Path{})
	require.Equal(t, reroute.Abandoned, tracker.HandleAnswer(protocol.PathUnknown{}, now))
	require.False(t, tracker.CanStart())
	require.False(t, tracker.Pending())
	require.False(t, tracker.MayApplyLate())
}

func TestUnfitStageIsReplacedOnce(t *testing.T) {
	var tracker reroute.Tracker
	tracker.Start(&path.Path{})
	require.Equal(t, reroute.RetryChange, tracker.HandleAnswer(protocol.PathStageUnavailable{}, now))
	require.True(t, tracker.CanStart())
	tracker.Start(&path.Path{})
	require.Equal(t, reroute.Abandoned, tracker.HandleAnswer(protocol.PathStageUnavailable{}, now))
	require.False(t, tracker.CanStart())
}

// TestUnresolvedOrderIsSettled checks that an unresolved order ends with the engine's report or
// with the next event.
func TestUnresolvedOrderIsSettled(t *testing.T) {
	var tracker reroute.Tracker
	tracker.Start(&path.Path{})
	require.Equal(t, reroute.Unresolved, tracker.HandleAnswer(protocol.PathUnanswered{}, now))
	require.False(t, tracker.StartQuery(now), "the order still has time to take effect")
	later := now.Add(time.Second)
	require.True(t, tracker.StartQuery(later))
	require.False(t, tracker.StartQuery(later), "the engine is asked already")
	require.Equal(t, reroute.Unresolved, tracker.HandleReport(false, later), "the request does not wait: the order may have been applied")
	require.True(t, tracker.Pending())
	later = later.Add(time.Second)
	require.True(t, tracker.StartQuery(later))
	require.Equal(t, reroute.Abandoned, tracker.HandleReport(true, later))
	require.True(t, tracker.MayApplyLate())

	tracker = reroute.Tracker{}
	tracker.Start(&path.Path{})
	tracker.HandleAnswer(protocol.PathUnanswered{}, now)
	tracker.HandleProgress()
	require.False(t, tracker.Pending())
	require.True(t, tracker.MayApplyLate())
	require.False(t, tracker.CanStart())
}
