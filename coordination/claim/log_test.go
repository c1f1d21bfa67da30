// SPDX-License-Identifier: Apache-2.0

package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/claim"
	"pinerun.example/pinerun/protocol"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func retain(issued time.Time) time.Time { return issued.Add(10 * time.Minute) }

// mutant is a deliberate fault that the tests must detect.
type mutant int

const (
	correct        mutant = iota
	unconditional         // writes do not compare versions
	assumesSuccess        // a write whose answer was lost counts as successful
)

// simulation is a platform with one claim shard, the entries that write it, and the number
// of times that each key was granted.
type simulation struct {
	mutant  mutant
	slots   map[int]claim.StoredSlot
	version uint64
	delayed []claim.Write // writes in transit whose entry no longer waits for an answer
	writers []*writer
	runs    map[protocol.ClaimKey]int
	next    uint64
}

// writer is one entry that believes that it writes the shard.
type writer struct {
	log      *claim.Log
	inFlight claim.Action // begun and not yet completed
}

func newSimulation(m mutant, entries int) *simulation {
	s := &simulation{mutant: m, slots: map[int]claim.StoredSlot{}, runs: map[protocol.ClaimKey]int{}}
	for range entries {
		s.writers = append(s.writers, &writer{})
		s.restart(len(s.writers) - 1)
	}
	return s
}

// restart discards everything that an entry knows, as when its VM is replaced.
func (s *simulation) restart(i int) {
	if write, ok := s.writers[i].inFlight.(claim.Write); ok {
		s.delayed = append(s.delayed, write)
	}
	s.writers[i] = &writer{log: &claim.Log{RetainUntil: retain}}
}

func (s *simulation) offer(i int, key byte) {
	s.next++
	s.writers[i].log.Add(protocol.ClaimRecord{
		Key: protocol.ClaimKey{key}, Digest: 1, Claimant: s.next, IssuedMS: epoch.UnixMilli(),
	})
}

// release releases a claimant's claim, whatever its result was.
func (s *simulation) release(i int, claimant uint64) {
	s.writers[i].log.Add(protocol.ClaimRecord{
		Kind: protocol.ClaimReleased, Key: protocol.ClaimKey{1}, Claimant: claimant, IssuedMS: epoch.UnixMilli(),
	})
}

func (s *simulation) put(write claim.Write) (uint64, bool) {
	version := s.slots[write.Slot()].Version
	if version != write.ExpectedVersion() && s.mutant != unconditional {
		return version.Number, false
	}
	s.version++
	s.slots[write.Slot()] = claim.StoredSlot{Slot: write.Slot(), Version: protocol.Revision{Number: s.version}, Batch: write.Batch()}
	return s.version, true
}

// answer says how a call to the platform ends.
type answer int

const (
	answered    answer = iota
	refused            // the call has no effect
	lostApplied        // the call takes effect and its answer is lost
	lostDelayed        // the answer is lost, and the call takes effect later, if ever
	answerCount
)

// step begins the next action of an entry or completes the one in flight.
func (s *simulation) step(i int, a answer) {
	w := s.writers[i]
	if w.inFlight == nil {
		w.inFlight = w.log.Next(epoch)
		s.collect(w)
		return
	}
	action := w.inFlight
	w.inFlight = nil
	switch action := action.(type) {
	case claim.Load:
		if a == answered {
			var all []claim.StoredSlot
			for _, s := range s.slots {
				all = append(all, s)
			}
			w.log.Loaded(all)
		}
	case claim.Read:
		if a == answered {
			s := s.slots[action.Slot()]
			s.Slot = action.Slot()
			w.log.SlotRead(s)
		}
	case claim.Write:
		s.endWrite(w, action, a)
	}
	s.collect(w)
}

func (s *simulation) endWrite(w *writer, write claim.Write, a answer) {
	switch a {
	case refused:
		w.log.WriteFailed()
	case answered:
		if version, done := s.put(write); done {
			w.log.WriteSucceeded(protocol.Revision{Number: version})
		} else {
			w.log.WriteUncertain()
		}
	case lostApplied, lostDelayed:
		if a == lostApplied {
			s.put(write)
		} else {
			s.delayed = append(s.delayed, write)
		}
		if s.mutant == assumesSuccess {
			w.log.WriteSucceeded(protocol.Revision{Number: s.version + 1})
			return
		}
		w.log.WriteUncertain()
	}
}

// deliverDelayed lets the oldest delayed write reach the platform.
func (s *simulation) deliverDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	write := s.delayed[0]
	s.delayed = s.delayed[1:]
	s.put(write)
}

// collect counts the granted claims.
func (s *simulation) collect(w *writer) {
	for _, r := range w.log.Results() {
		if r.Verdict() == claim.Granted && r.Record().Kind == protocol.ClaimTaken {
			s.runs[r.Record().Key]++
		}
	}
}

func (s *simulation) ranTwice() bool {
	for _, n := range s.runs {
		if n > 1 {
			return true
		}
	}
	return false
}

// TestNoKeyRunsTwice interleaves entries, restarts, refused and lost writes and delayed
// writes. No key may ever be granted to two claimants.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(correct, 3)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				s.offer(rapid.IntRange(0, 2).Draw(t, "entry"), rapid.ByteRange(1, 4).Draw(t, "key"))
			},
			"step": func(t *rapid.T) {
				s.step(rapid.IntRange(0, 2).Draw(t, "entry"), answer(rapid.IntRange(0, int(answerCount)-1).Draw(t, "answer")))
			},
			"restart": func(t *rapid.T) { s.restart(rapid.IntRange(0, 2).Draw(t, "entry")) },
			"deliver": func(*rapid.T) { s.deliverDelayed() },
			"": func(t *rapid.T) {
				if s.ranTwice() {
					t.Fatal("a key was granted twice")
				}
			},
		})
	})
}

// search tries every order of steps of two entries that both claim two keys, up to the
// given depth, and reports whether any order grants a key twice.
func search(m mutant, depth int) bool {
	return searchFrom(m, nil, depth)
}

// searchChoices is the number of choices at each step of the search: a step of either entry
// with any answer, or the delivery of a delayed write.
const searchChoices = 2*int(answerCount) + 1

func searchFrom(m mutant, steps []int, depth int) bool {
	if replay(m, steps).ranTwice() {
		return true
	}
	if depth == 0 {
		return false
	}
	for choice := range searchChoices {
		if searchFrom(m, append(steps[:len(steps):len(steps)], choice), depth-1) {
			return true
		}
	}
	return false
}

func replay(m mutant, steps []int) *simulation {
	s := newSimulation(m, 2)
	for i := range 2 {
		s.offer(i, 1)
		s.offer(i, 2)
		s.step(i, answered) // begin to load
		s.step(i, answered) // load an empty shard
	}
	for _, choice := range steps {
		if choice == searchChoices-1 {
			s.deliverDelayed()
			continue
		}
		s.step(choice%2, answer(choice/2))
	}
	return s
}

const searchDepth = 4

func TestNoOrderOfStepsRunsAKeyTwice(t *testing.T) {
	require.False(t, search(correct, searchDepth))
}

func TestSearchDetectsUnconditionalWrites(t *testing.T) {
	require.True(t, search(unconditional, searchDepth))
}

func TestSearchDetectsAssumedSuccess(t *testing.T) {
	require.True(t, search(assumesSuccess, searchDepth))
}

// TestReleasedKeyCanBeClaimed lets claimants release their claims at any point, with lost
// answers and delayed writes. Once all have released, only a new claimant is granted the
// key: a delayed duplicate of an earlier claim must not hold it.
func TestReleasedKeyCanBeClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(correct, 2)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "entry")
				s.offer(i, 1)
				s.release(i, s.next)
			},
			"step": func(t *rapid.T) {
				s.step(rapid.IntRange(0, 1).Draw(t, "entry"), answer(rapid.IntRange(0, int(answerCount)-1).Draw(t, "answer")))
			},
			"deliver": func(*rapid.T) { s.deliverDelayed() },
		})
		for range 200 {
			s.deliverDelayed()
			s.step(0, answered)
			s.step(1, answered)
		}
		s.runs = map[protocol.ClaimKey]int{}
		s.writers[0].log.Refresh()
		s.offer(0, 1)
		for range 20 {
			s.step(0, answered)
		}
		require.Equal(t, 1, s.runs[protocol.ClaimKey{1}])
	})
}

// TestRepeatsGetTheStoredOutcome follows one key at two entries from its claim to its
// stored outcome.
func TestRepeatsGetTheStoredOutcome(t *testing.T) {
	s := newSimulation(correct, 2)
	settle := func(i int) claim.Result {
		for range 12 {
			w := s.writers[i]
			if w.inFlight == nil {
				w.inFlight = w.log.Next(epoch)
			} else {
				a := w.inFlight
				w.inFlight = nil
				switch a := a.(type) {
				case claim.Load:
					var all []claim.StoredSlot
					for _, s := range s.slots {
						all = append(all, s)
					}
					w.log.Loaded(all)
				case claim.Read:
					s := s.slots[a.Slot()]
					w.log.SlotRead(s)
				case claim.Write:
					s.endWrite(w, a, answered)
				}
			}
			if got := w.log.Results(); len(got) > 0 {
				return got[0]
			}
		}
		t.Fatal("no result")
		return claim.Result{}
	}
	record := protocol.ClaimRecord{Key: protocol.ClaimKey{9}, Digest: 5, Claimant: 1, IssuedMS: epoch.UnixMilli()}
	claimAt := func(i int, r protocol.ClaimRecord) claim.Result {
		s.writers[i].log.Refresh()
		s.writers[i].log.Add(r)
		return settle(i)
	}
	require.Equal(t, claim.Granted, claimAt(0, record).Verdict())
	repeat := record
	repeat.Claimant = 2
	require.Equal(t, claim.Held, claimAt(1, repeat).Verdict())
	other := repeat
	other.Digest = 6
	require.Equal(t, claim.Reused, claimAt(1, other).Verdict())
	outcome := record
	outcome.Kind, outcome.Status, outcome.Answer = protocol.ClaimSettled, 200, []byte("done")
	require.Equal(t, claim.Kept, claimAt(0, outcome).Verdict())
	again := claimAt(1, repeat)
	require.Equal(t, claim.Settled, again.Verdict())
	require.Equal(t, "done", string(again.Existing().Answer))
	old := record
	old.Key, old.IssuedMS = protocol.ClaimKey{8}, epoch.Add(-time.Hour).UnixMilli()
	require.Equal(t, claim.Expired, claimAt(1, old).Verdict())
}

func TestUnknownVerdictHasAString(t *testing.T) {
	require.Equal(t, "kept", claim.Kept.String())
	require.Equal(t, "unknown", (claim.Kept + 1).String())
}

func TestReleaseRemovesKey(t *testing.T) {
	l := loadedLog()
	r := protocol.ClaimRecord{Key: protocol.ClaimKey{1}, Claimant: 1, IssuedMS: epoch.UnixMilli()}
	l.Add(r)
	writeAll(l, 1)
	r.Kind = protocol.ClaimReleased
	l.Add(r)
	writeAll(l, 2)
	require.Zero(t, l.KeyCount())
}

// TestFullRingRefusesNewClaims fills every slot with keys that are still remembered. A
// further claim must be refused, and accepted once the keys have expired.
func TestFullRingRefusesNewClaims(t *testing.T) {
	l := loadedLog()
	for i := range claim.Slots {
		l.Add(protocol.ClaimRecord{Key: protocol.ClaimKey{byte(i), byte(i >> 8), 1}, Claimant: uint64(i + 1), IssuedMS: epoch.UnixMilli()})
		writeAll(l, uint64(i+1))
	}
	l.Results()
	extra := protocol.ClaimRecord{Key: protocol.ClaimKey{7, 7, 7}, Claimant: 99, IssuedMS: epoch.UnixMilli()}
	l.Add(extra)
	require.IsType(t, claim.Idle{}, l.Next(epoch))
	require.Equal(t, claim.Full, l.Results()[0].Verdict())
	later := epoch.Add(time.Hour)
	extra.IssuedMS = later.UnixMilli()
	l.Add(extra)
	require.IsType(t, claim.Write{}, l.Next(later))
}

// BenchmarkKeys measures the memory that the writer of a shard needs for each key.
func BenchmarkKeys(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 70_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			var before, after runtime.MemStats
			var l *claim.Log
			for b.Loop() {
				l = nil //nolint:ineffassign // the older log must not count
				runtime.GC()
				runtime.ReadMemStats(&before)
				l = loadedLog()
				for i := range keys {
					l.Add(protocol.ClaimRecord{Key: protocol.ClaimKey{byte(i), byte(i >> 8), byte(i >> 16)}, Claimant: uint64(i + 1), IssuedMS: epoch.UnixMilli()})
					if i%50 == 49 {
						writeAll(l, uint64(i+1))
						l.Results()
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(l)
		})
	}
}

func loadedLog() *claim.Log {
	l := &claim.Log{RetainUntil: retain}
	l.Loaded(nil)
	return l
}

func writeAll(l *claim.Log, version uint64) {
	if _, ok := l.Next(epoch).(claim.Write); ok {
		l.WriteSucceeded(protocol.Revision{Number: version})
	}
}
