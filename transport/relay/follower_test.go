// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// TestAnAnswerWaitsForNewsOfTheConfirmation has a follower ask three times: what is news
// to it is told at once, what it knows when the time for which it may be held back ends.
func TestAnAnswerWaitsForNewsOfTheConfirmation(t *testing.T) {
	asked := time.Now()
	s := &Source{ConfirmedKind: "k", ConfirmedName: "n"}
	f := &follower{source: s}
	ask := func(number uint64, at time.Time) {
		f.asked, f.askedAt, f.heldTill = &protocol.RelayAsk{Number: number}, at, at.Add(300*time.Millisecond)
	}
	require.Nil(t, f.answer(asked), "nobody asked")

	s.confirm(protocol.Object{}, asked.Add(-200*time.Millisecond))
	ask(1, asked)
	require.Equal(t, &protocol.RelayAnswer{Number: 1, ConfirmedMS: 200}, f.answer(asked))

	ask(2, asked)
	require.Nil(t, f.answer(asked.Add(100*time.Millisecond)), "it knows that")
	s.confirm(protocol.Object{}, asked.Add(90*time.Millisecond))
	a := f.answer(asked.Add(110 * time.Millisecond))
	require.Equal(t, &protocol.RelayAnswer{Number: 2, ConfirmedMS: 20, HeldMS: 110}, a)

	ask(3, asked)
	require.Equal(t, 300.0, f.answer(asked.Add(300*time.Millisecond)).HeldMS, "held back for long enough")
	require.Nil(t, f.answer(asked.Add(time.Second)), "answered once")
}

// TestAConfirmationNeverStepsBack takes an older one that a slower way brought.
func TestAConfirmationNeverStepsBack(t *testing.T) {
	now := time.Now()
	s := &Source{ConfirmedKind: "k", ConfirmedName: "n"}
	s.confirm(protocol.Object{}, now)
	s.confirm(protocol.Object{}, now.Add(-time.Second))
	require.Equal(t, now, s.passedOn().confirmed.at)
}

// beginner is a follower that begins again and again.
type beginner struct {
	times int
	news  chan struct{}
}

func (b *beginner) run() {
	for range b.times {
		held := newHeldTimer()
		select {
		case <-held.C:
		case <-b.news:
		}
		held.Stop()
	}
}

// TestFollowersThatBeginAtOnceBreakNothing has many followers begin to wait in one moment.
//
// Tests of the relay ended now and then with the race detector's own check or a fault in the
// runtime; nothing had failed and no race was told. Each follower began with a timer that was due,
// which the detector does not bear in virtual time when several goroutines meet one.
// Evidence: 8 of 48 processes of these tests beside a load of 60, with the stack of such a follower
// where there was one; a small program of nothing but 40 goroutines with timers that are due, in
// virtual time, ended so in 3 of 3 runs with the detector, in none of 3 without it and in none of 3
// on one processor. With a timer that is due, so does this test.
func TestFollowersThatBeginAtOnceBreakNothing(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		news := make(chan struct{})
		close(news)
		for range 40 {
			go (&beginner{times: 1000, news: news}).run()
		}
		synctest.Wait()
	})
}
