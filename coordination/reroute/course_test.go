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

// life is one request as its first engine and its entry see it.
type life struct {
	course   reroute.Tracker
	now      time.Time
	path     path.Path
	waiting  bool // an order whose answer the entry waits for
	onTheWay int  // orders that the engine may carry out yet
	ordered  int
	open     bool // the send over the first engine
	moved    int  // times that the engine changed its path
	sends    int  // sends elsewhere that are open
	left     bool // the caller has left
}

// order orders a change as an entry does, whenever it may.
func (l *life) order(t *rapid.T) {
	if !l.open || l.left || l.sends > 0 || !l.course.CanStart() {
		t.Skip("no change may begin")
	}
	require.False(t, l.waiting, "two orders at once")
	l.course.Start(&l.path)
	l.ordered++
	l.waiting = true
	l.onTheWay++
	require.True(t, l.course.Pending())
}

// carryOut has the engine take an order, answered or not, now or late.
func (l *life) carryOut(t *rapid.T) {
	if l.onTheWay == 0 {
		t.Skip("no order is on its way")
	}
	l.onTheWay--
	if !l.open {
		l.answer(protocol.PathUnknown{})
		return
	}
	require.Zero(t, l.sends, "a path changes while the request runs elsewhere")
	if rapid.Bool().Draw(t, "unfit") {
		l.answer(protocol.PathUnfit{Address: "a"})
		return
	}
	l.moved++
	if rapid.Bool().Draw(t, "answer lost") {
		l.answer(protocol.PathUnanswered{Cause: errLost})
	} else {
		l.answer(protocol.PathTaken{})
	}
}

// late has the entry's wait end before the engine takes the order.
func (l *life) late(t *rapid.T) {
	if !l.waiting {
		t.Skip("no answer is awaited")
	}
	l.answer(protocol.PathUnanswered{Cause: errLost})
}

func (l *life) answer(a protocol.PathAnswer) {
	if l.waiting && l.open {
		l.course.HandleAnswer(a, l.now)
	}
	l.waiting = false
}

// pass lets time go by and asks about an order in doubt.
func (l *life) pass(t *rapid.T) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
	if l.open && l.course.StartQuery(l.now) {
		l.course.HandleReport(rapid.Bool().Draw(t, "waits"), l.now)
	}
}

func (l *life) speak(*rapid.T) {
	if l.open {
		l.course.HandleProgress()
	}
}

// cut has the first engine break the send off, or the caller leave.
func (l *life) cut(t *rapid.T) {
	l.open = false
	l.left = rapid.Bool().Draw(t, "caller leaves")
	if l.left {
		l.sends = 0
	}
}

// elsewhere sends the request elsewhere as an entry does, whenever it may.
func (l *life) elsewhere(t *rapid.T) {
	if l.left || l.open && l.course.Pending() {
		t.Skip("no send may begin")
	}
	if l.open && l.course.MayApplyLate() {
		l.open = false
	}
	l.sends = 1
}

func (l *life) check(t *rapid.T) {
	require.False(t, l.open && l.sends > 0 && l.onTheWay > 0, "a late order could give the request a second path")
	require.LessOrEqual(t, l.ordered, 2)
	require.LessOrEqual(t, l.onTheWay, 1, "one order at a time")
	if l.open && l.waiting {
		require.True(t, l.course.Pending())
	}
}

// TestOneRequestHasOnePath draws what engines, the network and the caller do around
// changes of path: answers are lost, orders come late, the engine breaks off, the caller
// leaves.
func TestOneRequestHasOnePath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &life{open: true, now: now}
		t.Repeat(map[string]func(*rapid.T){
			"order": l.order, "carry out": l.carryOut, "late": l.late, "pass": l.pass,
			"speak": l.speak, "cut": l.cut, "elsewhere": l.elsewhere, "": l.check,
		})
	})
}

func TestAnOrderThatFindsNoRequestIsTheLast(t *testing.T) {
	var c reroute.Tracker
	c.Start(&path.Path{})
	require.Equal(t, reroute.Abandoned, c.HandleAnswer(protocol.PathUnknown{}, now))
	require.False(t, c.CanStart())
	require.False(t, c.Pending())
	require.False(t, c.MayApplyLate())
}

func TestAnUnfitStageIsReplacedOnce(t *testing.T) {
	var c reroute.Tracker
	c.Start(&path.Path{})
	require.Equal(t, reroute.RetryChange, c.HandleAnswer(protocol.PathUnfit{}, now))
	require.True(t, c.CanStart())
	c.Start(&path.Path{})
	require.Equal(t, reroute.Abandoned, c.HandleAnswer(protocol.PathUnfit{}, now))
	require.False(t, c.CanStart())
}

// TestAnOrderInDoubtEndsByTheEnginesWord, or by the next event.
func TestAnOrderInDoubtEndsByTheEnginesWord(t *testing.T) {
	var c reroute.Tracker
	c.Start(&path.Path{})
	require.Equal(t, reroute.Unresolved, c.HandleAnswer(protocol.PathUnanswered{}, now))
	require.False(t, c.StartQuery(now), "it is left to show")
	later := now.Add(time.Second)
	require.True(t, c.StartQuery(later))
	require.False(t, c.StartQuery(later), "it is asked already")
	require.Equal(t, reroute.Unresolved, c.HandleReport(false, later), "it does not wait: it may have been moved")
	require.True(t, c.Pending())
	later = later.Add(time.Second)
	require.True(t, c.StartQuery(later))
	require.Equal(t, reroute.Abandoned, c.HandleReport(true, later))
	require.True(t, c.MayApplyLate())

	c = reroute.Tracker{}
	c.Start(&path.Path{})
	c.HandleAnswer(protocol.PathUnanswered{}, now)
	c.HandleProgress()
	require.False(t, c.Pending())
	require.True(t, c.MayApplyLate())
	require.False(t, c.CanStart())
}
