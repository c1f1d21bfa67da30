// SPDX-License-Identifier: Apache-2.0

package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/lease"
)

var start = time.Unix(1_800_000_000, 0)

// mutant is a mistake that the tests must catch when it is made on purpose.
type mutant int

const (
	sound     mutant = iota
	unfenced         // endpoints take orders whatever their epoch
	impatient        // holders ignore their own deadline
	unmatched        // writes do not compare versions
)

// world is a platform with one lease, an endpoint, and entries whose clocks run
// alike but show different times, and which may be paused at any point.
type world struct {
	mutant  mutant
	now     time.Time
	version uint64
	record  lease.Record
	past    []lease.Record // by version, from 1 on
	entries []*entry
	late    []lease.Write // sent and not answered; each may yet take effect
	lives   uint64        // of processes so far
	fence   uint64        // the highest epoch that the endpoint has seen
	stale   bool          // the endpoint took an order of a holder that was deposed
	both    bool          // two entries believed to hold the lease at one moment
}

type entry struct {
	lease  lease.Lease
	skew   time.Duration
	paused bool
	flight lease.Action
	gives  bool   // the write in flight gives the lease up
	order  uint64 // epoch of an order that was decided on and not yet sent
}

func newWorld(m mutant, n int) *world {
	w := &world{mutant: m, now: start}
	for i := range n {
		w.entries = append(w.entries, &entry{lease: lease.Lease{Self: fmt.Sprint("e", i)}, skew: time.Duration(i) * time.Hour})
	}
	return w
}

func (w *world) clock(e *entry) time.Time { return w.now.Add(e.skew) }

// step begins an action of an entry or ends the one in flight; lost says that
// the answer of a write that took effect is lost.
func (w *world) step(i int, lost bool) {
	e := w.entries[i]
	if e.paused {
		return
	}
	if e.flight == nil {
		e.flight = e.lease.Next(w.clock(e))
		return
	}
	action := e.flight
	e.flight = nil
	switch a := action.(type) {
	case lease.Read:
		e.lease.Observe(w.version, w.record, w.clock(e))
	case lease.Write:
		if w.version != a.ExpectedVersion() && w.mutant != unmatched {
			e.gives = false
			e.lease.WriteUncertain()
			return
		}
		w.version++
		w.record = a.Record()
		w.past = append(w.past, w.record)
		switch {
		case lost:
			e.lease.WriteUncertain()
		case e.gives:
			e.lease.Released(w.version)
		default:
			e.lease.WriteSucceeded(w.version)
		}
	}
	e.gives = false
}

// lag ends a write in flight without an answer: it takes effect later, if ever.
func (w *world) lag(i int) {
	e := w.entries[i]
	write, ok := e.flight.(lease.Write)
	if !ok || e.paused {
		return
	}
	w.late = append(w.late, write)
	e.flight, e.gives = nil, false
	e.lease.WriteUncertain()
}

// land lets a late write take effect if its condition still holds.
func (w *world) land(i int) {
	write := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	if write.ExpectedVersion() == w.version {
		w.version++
		w.record = write.Record()
		w.past = append(w.past, w.record)
	}
}

// restart ends an entry's process and starts it anew under its name.
func (w *world) restart(i int) {
	e := w.entries[i]
	if write, ok := e.flight.(lease.Write); ok {
		w.late = append(w.late, write)
	}
	w.lives++
	*e = entry{lease: lease.Lease{Self: e.lease.Self, Incarnation: w.lives << 32}, skew: e.skew}
}

// hear tells an entry how the lease stood at some time, the latest or long ago.
func (w *world) hear(i int, version uint64) {
	e := w.entries[i]
	if e.paused || e.flight != nil {
		return
	}
	var r lease.Record
	if version > 0 {
		r = w.past[version-1]
	}
	e.lease.ObserveReport(version, r, w.clock(e))
}

// release lets an entry that has decided on no order give the lease up.
func (w *world) release(i int) {
	e := w.entries[i]
	if e.paused || e.flight != nil || e.order != 0 {
		return
	}
	if write, ok := e.lease.Release(w.clock(e)); ok {
		e.flight = write
		e.gives = true
	}
}

// decide lets an entry decide on an order if it believes to hold the lease.
func (w *world) decide(i int) {
	e := w.entries[i]
	epoch, ok := e.lease.Epoch(w.clock(e))
	if w.mutant == impatient {
		ok = epoch > 0 && w.holds(e)
	}
	if ok && !e.paused {
		e.order = epoch
	}
}

// holds is what an entry believes that forgets its own deadline.
func (w *world) holds(e *entry) bool {
	_, ok := e.lease.Epoch(time.Time{})
	return ok
}

// send lets a decided order reach the endpoint, perhaps after a pause.
func (w *world) send(i int) {
	e := w.entries[i]
	if e.order == 0 || e.paused {
		return
	}
	if e.order < w.fence {
		w.stale = w.stale || w.mutant == unfenced
	} else {
		w.fence = e.order
	}
	e.order = 0
}

// check looks whether two entries that are not paused may both give orders.
func (w *world) check() {
	holders := 0
	for _, e := range w.entries {
		if _, ok := e.lease.Epoch(w.clock(e)); ok {
			holders++
		} else if w.mutant == impatient && w.holds(e) {
			holders++
		}
	}
	w.both = w.both || holders > 1
}

// drive interleaves everything at random and reports what went wrong.
func drive(t *rapid.T, w *world) {
	t.Repeat(map[string]func(*rapid.T){
		"step": func(t *rapid.T) {
			w.step(rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry"), rapid.IntRange(0, 3).Draw(t, "lost") == 0)
		},
		"hear": func(t *rapid.T) {
			w.hear(rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry"), uint64(rapid.IntRange(0, len(w.past)).Draw(t, "version")))
		},
		"lag":     func(t *rapid.T) { w.lag(rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")) },
		"restart": func(t *rapid.T) { w.restart(rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")) },
		"land": func(t *rapid.T) {
			if len(w.late) > 0 {
				w.land(rapid.IntRange(0, len(w.late)-1).Draw(t, "write"))
			}
		},
		"release": func(t *rapid.T) { w.release(rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")) },
		"decide":  func(t *rapid.T) { w.decide(rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")) },
		"send":    func(t *rapid.T) { w.send(rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")) },
		"pause": func(t *rapid.T) {
			e := rapid.SampledFrom(w.entries).Draw(t, "who")
			e.paused = !e.paused
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) { w.check() },
	})
}

// TestOneHolderAtATime: whatever is paused, lost or late, no two entries believe
// at one moment that they may give orders, and a fenced endpoint never takes an
// order after one of a later holder.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(sound, 3)
		drive(t, w)
		if w.both || w.stale {
			t.Fatalf("both %v, stale %v", w.both, w.stale)
		}
	})
}

// handover plays the case that each mutant fails: the holder decides on an order
// and is paused past its lease, another takes over and gives an order, and the
// first wakes.
func handover(m mutant) *world {
	w := newWorld(m, 2)
	settle := func(i int) {
		for range 4 {
			w.step(i, false)
		}
		w.check()
	}
	settle(0)
	w.decide(0)
	if m == unmatched {
		w.entries[1].lease.Observe(0, lease.Record{}, w.clock(w.entries[1]))
		settle(1) // it wrote over a lease that it had not seen
		return w
	}
	w.entries[0].paused = true
	settle(1)
	w.now = w.now.Add(lease.TTL + time.Second)
	settle(1)
	settle(1)
	w.decide(1)
	w.send(1)
	w.entries[0].paused = false
	w.check()
	w.send(0)
	return w
}

func TestTheHandoverIsSoundAndEachMutantIsCaught(t *testing.T) {
	w := handover(sound)
	require.Equal(t, uint64(2), w.fence, "the second holder gave its order")
	require.False(t, w.both)
	require.False(t, w.stale)
	require.True(t, handover(unfenced).stale, "no fence")
	require.True(t, handover(impatient).both, "no deadline of its own")
	require.True(t, handover(unmatched).both, "no conditional update")
}

func TestAHolderThatRenewsStays(t *testing.T) {
	w := newWorld(sound, 2)
	for range 200 {
		for i := range w.entries {
			w.step(i, false)
			w.step(i, false)
		}
		w.now = w.now.Add(500 * time.Millisecond)
	}
	require.Equal(t, lease.Record{Holder: "e0", Epoch: 1, Nonce: w.record.Nonce}, w.record)
	_, holds := w.entries[0].lease.Epoch(w.clock(w.entries[0]))
	require.True(t, holds)
}

// takes lets an entry act until it rests, and reports whether it holds the lease then.
func (w *world) takes(i int) bool {
	for range 6 {
		w.step(i, false)
	}
	_, holds := w.entries[i].lease.Epoch(w.clock(w.entries[i]))
	return holds
}

func TestALeaseThatWasGivenUpIsTakenAtOnce(t *testing.T) {
	w := newWorld(sound, 2)
	require.True(t, w.takes(0))
	require.False(t, w.takes(1))
	w.release(0)
	w.step(0, false)
	_, holds := w.entries[0].lease.Epoch(w.clock(w.entries[0]))
	require.False(t, holds)
	w.now = w.now.Add(time.Second)
	require.True(t, w.takes(1))
	require.Equal(t, uint64(2), w.record.Epoch)
}

func TestAHolderTakesItsOwnLapsedLeaseAtOnce(t *testing.T) {
	w := newWorld(sound, 2)
	require.True(t, w.takes(0))
	w.now = w.now.Add(lease.TTL)
	require.True(t, w.takes(0))
	require.Equal(t, uint64(2), w.record.Epoch)
	w.now = w.now.Add(lease.TTL)
	require.False(t, w.takes(1), "the other has just seen it for the first time")
	require.True(t, w.takes(0))
	require.False(t, w.takes(1))
}

// TestWhoHearsOfTheLeaseNeedNotRead has an entry hear of another's lease, of its renewal,
// of its end, and of what was before.
func TestWhoHearsOfTheLeaseNeedNotRead(t *testing.T) {
	l := lease.Lease{Self: "me"}
	l.ObserveReport(4, lease.Record{Holder: "other", Epoch: 2}, start)
	require.Equal(t, start.Add(lease.TTL), l.Next(start.Add(2*time.Second)).(lease.Wait).Until())
	l.ObserveReport(5, lease.Record{Holder: "other", Epoch: 2, Nonce: 1}, start.Add(2*time.Second))
	l.ObserveReport(4, lease.Record{Holder: "other", Epoch: 2}, start.Add(4*time.Second))
	require.IsType(t, lease.Wait{}, l.Next(start.Add(4*time.Second)), "it was renewed since")
	l.ObserveReport(6, lease.Record{Epoch: 2, Nonce: 2}, start.Add(4*time.Second))
	write := l.Next(start.Add(4 * time.Second)).(lease.Write)
	require.EqualValues(t, 6, write.ExpectedVersion(), "it was given up")
	l.WriteUncertain()
	l.ObserveReport(7, write.Record(), start.Add(4*time.Second))
	require.Equal(t, lease.Read{}, l.Next(start.Add(4*time.Second)), "only the platform settles a doubt")
	_, holds := l.Epoch(start.Add(4 * time.Second))
	require.False(t, holds)
}

// TestALateWriteOfAnEarlierLifeIsNotTakenForOurs has an entry end with a write under way
// and start anew under its name. The write takes effect, others see it, and a second later
// the new life writes the same: it must not believe that this is its own write, which it
// sent later than others began to count.
func TestALateWriteOfAnEarlierLifeIsNotTakenForOurs(t *testing.T) {
	held := lease.Record{Holder: "other", Epoch: 2, Nonce: 1}
	lapsed := start.Add(lease.TTL + time.Millisecond)
	before := lease.Lease{Self: "me", Incarnation: 1000}
	before.ObserveReport(3, held, start)
	late := before.Next(lapsed).(lease.Write)
	now := lease.Lease{Self: "me", Incarnation: 2000}
	now.ObserveReport(3, held, start)
	again := now.Next(lapsed.Add(time.Second)).(lease.Write)
	require.Equal(t, late.ExpectedVersion(), again.ExpectedVersion())
	now.WriteUncertain() // the late write came between
	now.Observe(4, late.Record(), lapsed.Add(time.Second))
	_, holds := now.Epoch(lapsed.Add(time.Second))
	require.False(t, holds)
	require.IsType(t, lease.Wait{}, now.Next(lapsed.Add(time.Second)), "it lasts as the lease of another")
	require.EqualValues(t, 4, now.Next(lapsed.Add(time.Second+lease.TTL+time.Millisecond)).(lease.Write).Record().Epoch)
}

// TestALateWriteOfTheHolderUndoesNothing lets each write of a lease take effect after a
// later one did: to take it, to renew it, and to give it up.
func TestALateWriteOfTheHolderUndoesNothing(t *testing.T) {
	w := newWorld(sound, 2)
	e := w.entries[0]
	for _, begin := range []func(){
		func() { w.step(0, false); w.step(0, false); w.step(0, false) },         // read, and begin to take
		func() { w.now = w.now.Add(1100 * time.Millisecond); w.step(0, false) }, // begin to renew
		func() { w.release(0) },
	} {
		begin()
		require.IsType(t, lease.Write{}, e.flight)
		w.lag(0)
		w.now = w.now.Add(lease.TTL + time.Millisecond)
		require.True(t, w.takes(0), "a write of its own that came to nothing keeps it from nothing")
		version, record := w.version, w.record
		w.land(0)
		require.Equal(t, version, w.version)
		require.Equal(t, record, w.record)
	}
	require.False(t, w.takes(1))
}

// TestALeaseOfAnotherFormLastsAsAnyOther has an entry meet records that no entry wrote.
func TestALeaseOfAnotherFormLastsAsAnyOther(t *testing.T) {
	for _, foreign := range []lease.Record{{}, {Holder: "me"}, {Holder: "other", Epoch: 1 << 63}} {
		l := lease.Lease{Self: "me"}
		l.Observe(40, foreign, start)
		_, holds := l.Epoch(start)
		require.False(t, holds)
		_, writes := l.Next(start).(lease.Write)
		require.False(t, writes, "its holder may live")
		write := l.Next(start.Add(lease.TTL + time.Millisecond)).(lease.Write)
		require.EqualValues(t, 40, write.ExpectedVersion())
		require.EqualValues(t, 41, write.Record().Epoch, "above any epoch that was given before")
	}
}
