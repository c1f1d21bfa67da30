// SPDX-License-Identifier: Apache-2.0

package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/protocol"
)

var start = time.Unix(1_800_000_000, 0)

// mutant is a deliberate fault that the tests must detect.
type mutant int

const (
	correct       mutant = iota
	unfenced             // endpoints take orders of any epoch
	ignoresExpiry        // holders ignore their own expiry
	unconditional        // writes do not compare versions
)

// simulation is a platform with one lease, an endpoint, and entries that can be
// paused at any point. The clocks of the entries run at the same speed but show
// different times.
type simulation struct {
	mutant       mutant
	now          time.Time
	version      protocol.Revision
	record       lease.Record
	history      []storedLease // every state so far
	copied       storedLease   // the copy to restore
	entries      []*entry
	delayed      []lease.Write // writes sent and not answered; each may take effect later
	incarnations uint64        // number of restarts so far
	fence        uint64        // the highest epoch that the endpoint has seen
	staleOrder   bool          // the endpoint took an order of a former holder
	twoHolders   bool          // two entries believed to hold the lease at the same time
}

// storedLease is the lease as the platform held it at a version.
type storedLease struct {
	version protocol.Revision
	record  lease.Record
}

type entry struct {
	lease     lease.Lease
	skew      time.Duration
	paused    bool
	inFlight  lease.Action
	releasing bool   // the write in flight releases the lease
	order     uint64 // epoch of an order that was decided on and not yet sent
}

func newSimulation(m mutant, n int) *simulation {
	s := &simulation{mutant: m, now: start}
	for i := range n {
		s.entries = append(s.entries, &entry{lease: lease.Lease{Self: fmt.Sprint("e", i)}, skew: time.Duration(i) * time.Hour})
	}
	return s
}

func (s *simulation) clock(e *entry) time.Time { return s.now.Add(e.skew) }

// step begins the next action of an entry or completes the one in flight. Lost says
// that a write takes effect but its answer is lost.
func (s *simulation) step(i int, lost bool) {
	e := s.entries[i]
	if e.paused {
		return
	}
	if e.inFlight == nil {
		e.inFlight = e.lease.Next(s.clock(e))
		return
	}
	action := e.inFlight
	e.inFlight = nil
	switch a := action.(type) {
	case lease.Read:
		e.lease.Observe(s.version, s.record, s.clock(e))
	case lease.Write:
		if s.version.Number != a.ExpectedVersion().Number && s.mutant != unconditional {
			e.releasing = false
			e.lease.WriteUncertain()
			return
		}
		s.write(a.Record())
		switch {
		case lost || !a.ExpectedVersion().IsZero() && a.ExpectedVersion().Era != s.version.Era:
			e.lease.WriteUncertain()
		case e.releasing:
			e.lease.Released(s.version)
		default:
			e.lease.WriteSucceeded(s.version)
		}
	}
	e.releasing = false
}

// delayWrite ends a write in flight without an answer: it takes effect later, if
// ever.
func (s *simulation) delayWrite(i int) {
	e := s.entries[i]
	write, ok := e.inFlight.(lease.Write)
	if !ok || e.paused {
		return
	}
	s.delayed = append(s.delayed, write)
	e.inFlight, e.releasing = nil, false
	e.lease.WriteUncertain()
}

// deliverDelayed lets a delayed write take effect if its condition still holds.
func (s *simulation) deliverDelayed(i int) {
	write := s.delayed[i]
	s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
	if write.ExpectedVersion().Number == s.version.Number {
		s.write(write.Record())
	}
}

// write replaces the lease.
func (s *simulation) write(r lease.Record) {
	s.version.Number++
	s.record = r
	s.history = append(s.history, storedLease{version: s.version, record: r})
}

// makeCopy keeps a copy of the lease to restore.
func (s *simulation) makeCopy() { s.copied = storedLease{version: s.version, record: s.record} }

// restore makes the platform come back from the copy, in the next era.
func (s *simulation) restore() {
	s.version = protocol.Revision{Era: s.version.Era + 1, Number: s.copied.version.Number}
	s.record = s.copied.record
	s.history = append(s.history, storedLease{version: s.version, record: s.record})
}

// restart replaces an entry's process by a new incarnation with the same name.
func (s *simulation) restart(i int) {
	e := s.entries[i]
	if write, ok := e.inFlight.(lease.Write); ok {
		s.delayed = append(s.delayed, write)
	}
	s.incarnations++
	*e = entry{lease: lease.Lease{Self: e.lease.Self, Incarnation: s.incarnations << 32}, skew: e.skew}
}

// report reports a current or earlier state of the lease to an entry.
func (s *simulation) report(i, state int) {
	e := s.entries[i]
	if e.paused || e.inFlight != nil {
		return
	}
	var reported storedLease
	if state > 0 {
		reported = s.history[state-1]
	}
	e.lease.ObserveReport(reported.version, reported.record, s.clock(e))
}

// release lets an entry without a pending order release the lease.
func (s *simulation) release(i int) {
	e := s.entries[i]
	if e.paused || e.inFlight != nil || e.order != 0 {
		return
	}
	if write, ok := e.lease.Release(s.clock(e)); ok {
		e.inFlight = write
		e.releasing = true
	}
}

// decideOrder lets an entry decide on an order if it believes to hold the lease.
func (s *simulation) decideOrder(i int) {
	e := s.entries[i]
	epoch, ok := e.lease.Epoch(s.clock(e))
	if s.mutant == ignoresExpiry {
		ok = epoch > 0 && s.holdsIgnoringExpiry(e)
	}
	if ok && !e.paused {
		e.order = epoch
	}
}

// holdsIgnoringExpiry reports whether an entry that ignores its expiry believes to
// hold the lease.
func (s *simulation) holdsIgnoringExpiry(e *entry) bool {
	_, ok := e.lease.Epoch(time.Time{})
	return ok
}

// sendOrder delivers a decided order to the endpoint, perhaps after a pause.
func (s *simulation) sendOrder(i int) {
	e := s.entries[i]
	if e.order == 0 || e.paused {
		return
	}
	if e.order < s.fence {
		s.staleOrder = s.staleOrder || s.mutant == unfenced
	} else {
		s.fence = e.order
	}
	e.order = 0
}

// check records whether two entries may give orders at the same time.
func (s *simulation) check() {
	holders := 0
	for _, e := range s.entries {
		if _, ok := e.lease.Epoch(s.clock(e)); ok {
			holders++
		} else if s.mutant == ignoresExpiry && s.holdsIgnoringExpiry(e) {
			holders++
		}
	}
	s.twoHolders = s.twoHolders || holders > 1
}

// drive interleaves all operations at random.
func drive(t *rapid.T, s *simulation) {
	t.Repeat(map[string]func(*rapid.T){
		"step": func(t *rapid.T) {
			s.step(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry"), rapid.IntRange(0, 3).Draw(t, "lost") == 0)
		},
		"report": func(t *rapid.T) {
			s.report(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry"), rapid.IntRange(0, len(s.history)).Draw(t, "state"))
		},
		"delay":   func(t *rapid.T) { s.delayWrite(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")) },
		"restart": func(t *rapid.T) { s.restart(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")) },
		"deliver": func(t *rapid.T) {
			if len(s.delayed) > 0 {
				s.deliverDelayed(rapid.IntRange(0, len(s.delayed)-1).Draw(t, "write"))
			}
		},
		"settle":  func(t *rapid.T) { s.settle(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")) },
		"copy":    func(*rapid.T) { s.makeCopy() },
		"restore": func(*rapid.T) { s.restore() },
		"release": func(t *rapid.T) { s.release(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")) },
		"decide":  func(t *rapid.T) { s.decideOrder(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")) },
		"send":    func(t *rapid.T) { s.sendOrder(rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")) },
		"pause": func(t *rapid.T) {
			e := rapid.SampledFrom(s.entries).Draw(t, "entry")
			e.paused = !e.paused
		},
		"wait": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) { s.check() },
	})
}

// TestAtMostOneHolder pauses and restarts entries, loses and delays writes, and restores copies
// of the platform at random. No two entries may give orders at the same time, and a fenced endpoint
// never takes an order after one of a later holder.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(correct, 3)
		drive(t, s)
		if s.twoHolders || s.staleOrder {
			t.Fatalf("two holders %v, stale order %v", s.twoHolders, s.staleOrder)
		}
	})
}

// handover plays the case that every mutant fails: the holder decides on an order
// and is paused until its lease expires, another entry acquires the lease and gives
// an order, and then the first entry resumes.
func handover(m mutant) *simulation {
	s := newSimulation(m, 2)
	settle := func(i int) {
		for range 4 {
			s.step(i, false)
		}
		s.check()
	}
	settle(0)
	s.decideOrder(0)
	if m == unconditional {
		s.entries[1].lease.Observe(protocol.Revision{}, lease.Record{}, s.clock(s.entries[1]))
		settle(1) // writes over a lease that it has not seen
		return s
	}
	s.entries[0].paused = true
	settle(1)
	s.now = s.now.Add(lease.TTL + time.Second)
	settle(1)
	settle(1)
	s.decideOrder(1)
	s.sendOrder(1)
	s.entries[0].paused = false
	s.check()
	s.sendOrder(0)
	return s
}

func TestHandoverIsCorrectAndCatchesMutants(t *testing.T) {
	s := handover(correct)
	require.Equal(t, uint64(2), s.fence, "the second holder has given its order")
	require.False(t, s.twoHolders)
	require.False(t, s.staleOrder)
	require.True(t, handover(unfenced).staleOrder, "without a fence")
	require.True(t, handover(ignoresExpiry).twoHolders, "without expiry at the holder")
	require.True(t, handover(unconditional).twoHolders, "without conditional writes")
}

func TestRenewingHolderKeepsTheLease(t *testing.T) {
	s := newSimulation(correct, 2)
	for range 200 {
		for i := range s.entries {
			s.step(i, false)
			s.step(i, false)
		}
		s.now = s.now.Add(500 * time.Millisecond)
	}
	require.Equal(t, lease.Record{Holder: "e0", Epoch: 1, Nonce: s.record.Nonce}, s.record)
	_, holds := s.entries[0].lease.Epoch(s.clock(s.entries[0]))
	require.True(t, holds)
}

// settle lets an entry that runs act until it has nothing to do.
func (s *simulation) settle(i int) {
	if !s.entries[i].paused {
		s.acquires(i)
	}
}

// acquires lets an entry act until it has nothing to do and reports whether it holds
// the lease then.
func (s *simulation) acquires(i int) bool {
	for range 6 {
		s.step(i, false)
	}
	_, holds := s.entries[i].lease.Epoch(s.clock(s.entries[i]))
	return holds
}

func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	s := newSimulation(correct, 2)
	require.True(t, s.acquires(0))
	require.False(t, s.acquires(1))
	s.release(0)
	s.step(0, false)
	_, holds := s.entries[0].lease.Epoch(s.clock(s.entries[0]))
	require.False(t, holds)
	s.now = s.now.Add(time.Second)
	require.True(t, s.acquires(1))
	require.Equal(t, uint64(2), s.record.Epoch)
}

func TestHolderReacquiresItsExpiredLeaseAtOnce(t *testing.T) {
	s := newSimulation(correct, 2)
	require.True(t, s.acquires(0))
	s.now = s.now.Add(lease.TTL)
	require.True(t, s.acquires(0))
	require.Equal(t, uint64(2), s.record.Epoch)
	s.now = s.now.Add(lease.TTL)
	require.False(t, s.acquires(1), "the other entry has only just seen the lease")
	require.True(t, s.acquires(0))
	require.False(t, s.acquires(1))
}

// TestReportedLeaseNeedsNoRead reports the acquisition, the renewal and the release of
// another entry's lease, and an outdated state. The entry never reads the lease unless
// a write of its own is uncertain.
func TestReportedLeaseNeedsNoRead(t *testing.T) {
	l := lease.Lease{Self: "me"}
	l.ObserveReport(protocol.Revision{Number: 4}, lease.Record{Holder: "other", Epoch: 2}, start)
	require.Equal(t, start.Add(lease.TTL), l.Next(start.Add(2*time.Second)).(lease.Wait).Until())
	l.ObserveReport(protocol.Revision{Number: 5}, lease.Record{Holder: "other", Epoch: 2, Nonce: 1}, start.Add(2*time.Second))
	l.ObserveReport(protocol.Revision{Number: 4}, lease.Record{Holder: "other", Epoch: 2}, start.Add(4*time.Second))
	require.IsType(t, lease.Wait{}, l.Next(start.Add(4*time.Second)), "the lease was renewed since")
	l.ObserveReport(protocol.Revision{Number: 6}, lease.Record{Epoch: 2, Nonce: 2}, start.Add(4*time.Second))
	write := l.Next(start.Add(4 * time.Second)).(lease.Write)
	require.Equal(t, protocol.Revision{Number: 6}, write.ExpectedVersion(), "the lease was released")
	l.WriteUncertain()
	l.ObserveReport(protocol.Revision{Number: 7}, write.Record(), start.Add(4*time.Second))
	require.Equal(t, lease.Read{}, l.Next(start.Add(4*time.Second)), "only a read of the platform resolves an uncertain write")
	_, holds := l.Epoch(start.Add(4 * time.Second))
	require.False(t, holds)
}

// TestDelayedWriteOfEarlierIncarnationDoesNotHold restarts an entry while a write is in
// flight. The write takes effect, other entries see it, and a second later the new
// incarnation asks for the same write. It must not mistake the earlier write for its own:
// it would then hold the lease longer than other entries wait for it to expire.
func TestDelayedWriteOfEarlierIncarnationDoesNotHold(t *testing.T) {
	held := lease.Record{Holder: "other", Epoch: 2, Nonce: 1}
	expired := start.Add(lease.TTL + time.Millisecond)
	earlier := lease.Lease{Self: "me", Incarnation: 1000}
	earlier.ObserveReport(protocol.Revision{Number: 3}, held, start)
	delayed := earlier.Next(expired).(lease.Write)
	current := lease.Lease{Self: "me", Incarnation: 2000}
	current.ObserveReport(protocol.Revision{Number: 3}, held, start)
	again := current.Next(expired.Add(time.Second)).(lease.Write)
	require.Equal(t, delayed.ExpectedVersion(), again.ExpectedVersion())
	current.WriteUncertain() // the delayed write took effect in between
	current.Observe(protocol.Revision{Number: 4}, delayed.Record(), expired.Add(time.Second))
	_, holds := current.Epoch(expired.Add(time.Second))
	require.False(t, holds)
	require.IsType(t, lease.Wait{}, current.Next(expired.Add(time.Second)), "the lease lasts like one of another entry")
	require.EqualValues(t, 4, current.Next(expired.Add(time.Second+lease.TTL+time.Millisecond)).(lease.Write).Record().Epoch)
}

// TestDelayedWriteOfHolderHasNoEffect delays a write that acquires, renews or releases
// the lease until a later write has taken effect: the delayed one must change nothing.
func TestDelayedWriteOfHolderHasNoEffect(t *testing.T) {
	s := newSimulation(correct, 2)
	e := s.entries[0]
	for _, begin := range []func(){
		func() { s.step(0, false); s.step(0, false); s.step(0, false) },         // read, then begin to acquire
		func() { s.now = s.now.Add(1100 * time.Millisecond); s.step(0, false) }, // begin to renew
		func() { s.release(0) },
	} {
		begin()
		require.IsType(t, lease.Write{}, e.inFlight)
		s.delayWrite(0)
		s.now = s.now.Add(lease.TTL + time.Millisecond)
		require.True(t, s.acquires(0), "a delayed write of its own does not keep the entry from acquiring the lease")
		version, record := s.version, s.record
		s.deliverDelayed(0)
		require.Equal(t, version, s.version)
		require.Equal(t, record, s.record)
	}
	require.False(t, s.acquires(1))
}

// TestUnreadableLeaseExpiresAsUsual lets an entry read records that no entry has written:
// it waits for them to expire and then uses a higher epoch.
func TestUnreadableLeaseExpiresAsUsual(t *testing.T) {
	for _, unreadable := range []lease.Record{{}, {Holder: "me"}, {Holder: "other", Epoch: 1 << 63}} {
		l := lease.Lease{Self: "me"}
		l.Observe(protocol.Revision{Number: 40}, unreadable, start)
		_, holds := l.Epoch(start)
		require.False(t, holds)
		_, writes := l.Next(start).(lease.Write)
		require.False(t, writes, "its holder may be alive")
		write := l.Next(start.Add(lease.TTL + time.Millisecond)).(lease.Write)
		require.Equal(t, protocol.Revision{Number: 40}, write.ExpectedVersion())
		require.EqualValues(t, 41, write.Record().Epoch, "above every epoch given before")
	}
}

// TestLeaseLostByRestoreIsNotFree restores a copy without the lease, or with a released one, while its holder
// may still give orders.
func TestLeaseLostByRestoreIsNotFree(t *testing.T) {
	for name, copiedAfter := range map[string]int{"absent": 0, "released": 1} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(correct, 3)
			s.makeCopy()
			if copiedAfter > 0 {
				require.True(t, s.acquires(1))
				s.release(1)
				s.step(1, false)
				s.makeCopy()
			}
			require.True(t, s.acquires(0))
			require.False(t, s.acquires(1))
			epoch := s.record.Epoch
			s.restore()
			require.False(t, s.acquires(1), "an entry that knew the holder")
			require.False(t, s.acquires(2), "an entry that has just started")
			s.now = s.now.Add(lease.TTL + time.Millisecond)
			require.True(t, s.acquires(2))
			require.Greater(t, s.record.Epoch, epoch, "epochs stay above all that were given")
			s.check()
			require.False(t, s.twoHolders)
		})
	}
}

// TestWriteThatCrossesRestoreDoesNotHold has a write meet the expected number in the next era, over the
// lease of a holder that the copy lacks.
func TestWriteThatCrossesRestoreDoesNotHold(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(correct, 2)
			s.makeCopy()
			s.step(0, false)
			s.step(0, false) // sees no lease
			s.step(0, false) // begins to acquire it
			require.IsType(t, lease.Write{}, s.entries[0].inFlight)
			s.step(1, false)
			s.step(1, false)
			require.True(t, s.acquires(1))
			s.restore()
			if answered {
				s.step(0, false)
			} else {
				s.delayWrite(0)
				s.deliverDelayed(0)
			}
			require.Equal(t, "e0", s.record.Holder, "it took effect")
			require.False(t, s.acquires(0))
			s.check()
			require.False(t, s.twoHolders)
		})
	}
}
