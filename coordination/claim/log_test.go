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

// mutant is a mistake that the tests must catch when it is made on purpose.
type mutant int

const (
	sound         mutant = iota
	unconditional        // writes do not compare versions
	believesLost         // a write whose answer was lost counts as done
)

// world is a platform with one claim shard, the entries that write it, and how
// often each key was run.
type world struct {
	mutant  mutant
	slots   map[int]claim.StoredSlot
	version uint64
	late    []claim.Write // writes on their way that their entry gave up on
	entries []*writer
	runs    map[protocol.ClaimKey]int
	next    uint64
}

// writer is one entry that believes it writes the shard.
type writer struct {
	log    *claim.Log
	flight claim.Action // asked for and not yet ended
}

func newWorld(m mutant, entries int) *world {
	w := &world{mutant: m, slots: map[int]claim.StoredSlot{}, runs: map[protocol.ClaimKey]int{}}
	for range entries {
		w.entries = append(w.entries, &writer{})
		w.restart(len(w.entries) - 1)
	}
	return w
}

// restart loses everything that an entry knew, as when its VM is replaced.
func (w *world) restart(i int) {
	if write, ok := w.entries[i].flight.(claim.Write); ok {
		w.late = append(w.late, write)
	}
	w.entries[i] = &writer{log: &claim.Log{RetainUntil: retain}}
}

func (w *world) offer(i int, key byte) {
	w.next++
	w.entries[i].log.Add(protocol.ClaimRecord{
		Key: protocol.ClaimKey{key}, Digest: 1, Claimant: w.next, IssuedMS: epoch.UnixMilli(),
	})
}

// release gives a claimant's claim up, whatever became of it.
func (w *world) release(i int, claimant uint64) {
	w.entries[i].log.Add(protocol.ClaimRecord{
		Kind: protocol.ClaimReleased, Key: protocol.ClaimKey{1}, Claimant: claimant, IssuedMS: epoch.UnixMilli(),
	})
}

func (w *world) put(x claim.Write) (uint64, bool) {
	held := w.slots[x.Slot()].Version
	if held != x.ExpectedVersion() && w.mutant != unconditional {
		return held, false
	}
	w.version++
	w.slots[x.Slot()] = claim.StoredSlot{Slot: x.Slot(), Version: w.version, Batch: x.Batch()}
	return w.version, true
}

// answer is how a platform call ends.
type answer int

const (
	answered answer = iota
	refused         // no effect
	lostDone        // it took effect and its answer was lost
	lostLate        // its answer was lost and it takes effect later, if ever
	answers
)

// step lets an entry begin an action, or ends the one in flight.
func (w *world) step(i int, a answer) {
	e := w.entries[i]
	if e.flight == nil {
		e.flight = e.log.Next(epoch)
		w.collect(e)
		return
	}
	action := e.flight
	e.flight = nil
	switch action := action.(type) {
	case claim.Load:
		if a == answered {
			var all []claim.StoredSlot
			for _, s := range w.slots {
				all = append(all, s)
			}
			e.log.Loaded(all)
		}
	case claim.Read:
		if a == answered {
			s := w.slots[action.Slot()]
			s.Slot = action.Slot()
			e.log.SlotRead(s)
		}
	case claim.Write:
		w.endWrite(e, action, a)
	}
	w.collect(e)
}

func (w *world) endWrite(e *writer, x claim.Write, a answer) {
	switch a {
	case refused:
		e.log.WriteFailed()
	case answered:
		if version, done := w.put(x); done {
			e.log.WriteSucceeded(version)
		} else {
			e.log.WriteUncertain()
		}
	case lostDone, lostLate:
		if a == lostDone {
			w.put(x)
		} else {
			w.late = append(w.late, x)
		}
		if w.mutant == believesLost {
			e.log.WriteSucceeded(w.version + 1)
			return
		}
		e.log.WriteUncertain()
	}
}

// land lets a delayed write reach the platform.
func (w *world) land() {
	if len(w.late) == 0 {
		return
	}
	x := w.late[0]
	w.late = w.late[1:]
	w.put(x)
}

// collect runs what was granted.
func (w *world) collect(e *writer) {
	for _, r := range e.log.Results() {
		if r.Verdict() == claim.Granted && r.Record().Kind == protocol.ClaimTaken {
			w.runs[r.Record().Key]++
		}
	}
}

func (w *world) doubled() bool {
	for _, n := range w.runs {
		if n > 1 {
			return true
		}
	}
	return false
}

// TestNoKeyRunsTwice interleaves entries, restarts, refused and lost writes and
// writes that land late, and no key may ever be granted to two claimants.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(sound, 3)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				w.offer(rapid.IntRange(0, 2).Draw(t, "entry"), rapid.ByteRange(1, 4).Draw(t, "key"))
			},
			"step": func(t *rapid.T) {
				w.step(rapid.IntRange(0, 2).Draw(t, "entry"), answer(rapid.IntRange(0, int(answers)-1).Draw(t, "answer")))
			},
			"restart": func(t *rapid.T) { w.restart(rapid.IntRange(0, 2).Draw(t, "entry")) },
			"land":    func(*rapid.T) { w.land() },
			"": func(t *rapid.T) {
				if w.doubled() {
					t.Fatal("a key was granted twice")
				}
			},
		})
	})
}

// search tries every order of steps of two entries that both claim two keys, up
// to a depth, and reports whether some order grants a key twice.
func search(m mutant, depth int) bool {
	return searchFrom(m, nil, depth)
}

// choices are the moves of the search: a step of either entry with any ending,
// or the landing of a delayed write.
const choices = 2*int(answers) + 1

func searchFrom(m mutant, moves []int, depth int) bool {
	if replay(m, moves).doubled() {
		return true
	}
	if depth == 0 {
		return false
	}
	for c := range choices {
		if searchFrom(m, append(moves[:len(moves):len(moves)], c), depth-1) {
			return true
		}
	}
	return false
}

func replay(m mutant, moves []int) *world {
	w := newWorld(m, 2)
	for i := range 2 {
		w.offer(i, 1)
		w.offer(i, 2)
		w.step(i, answered) // ask to load
		w.step(i, answered) // load an empty shard
	}
	for _, c := range moves {
		if c == choices-1 {
			w.land()
			continue
		}
		w.step(c%2, answer(c/2))
	}
	return w
}

const searchDepth = 4

func TestEveryOrderOfStepsIsSound(t *testing.T) {
	require.False(t, search(sound, searchDepth))
}

func TestSearchCatchesAMissingCondition(t *testing.T) {
	require.True(t, search(unconditional, searchDepth))
}

func TestSearchCatchesAnUncheckedLostAnswer(t *testing.T) {
	require.True(t, search(believesLost, searchDepth))
}

// TestAReleasedKeyIsFree lets claimants give up at any point, with answers lost
// and writes that land late. Whoever gave up is never counted as granted, and in
// the end, when all have given up, a new claimant must get the key.
func TestAReleasedKeyIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(sound, 2)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "entry")
				w.offer(i, 1)
				w.release(i, w.next)
			},
			"step": func(t *rapid.T) {
				w.step(rapid.IntRange(0, 1).Draw(t, "entry"), answer(rapid.IntRange(0, int(answers)-1).Draw(t, "answer")))
			},
			"land": func(*rapid.T) { w.land() },
		})
		for range 200 {
			w.land()
			w.step(0, answered)
			w.step(1, answered)
		}
		w.runs = map[protocol.ClaimKey]int{}
		w.entries[0].log.Refresh()
		w.offer(0, 1)
		for range 20 {
			w.step(0, answered)
		}
		require.Equal(t, 1, w.runs[protocol.ClaimKey{1}])
	})
}

// TestOutcomesAnswerRepeats follows one key through its life at two entries.
func TestOutcomesAnswerRepeats(t *testing.T) {
	w := newWorld(sound, 2)
	settle := func(i int) claim.Result {
		for range 12 {
			e := w.entries[i]
			if e.flight == nil {
				e.flight = e.log.Next(epoch)
			} else {
				a := e.flight
				e.flight = nil
				switch a := a.(type) {
				case claim.Load:
					var all []claim.StoredSlot
					for _, s := range w.slots {
						all = append(all, s)
					}
					e.log.Loaded(all)
				case claim.Read:
					s := w.slots[a.Slot()]
					e.log.SlotRead(s)
				case claim.Write:
					w.endWrite(e, a, answered)
				}
			}
			if got := e.log.Results(); len(got) > 0 {
				return got[0]
			}
		}
		t.Fatal("no result")
		return claim.Result{}
	}
	record := protocol.ClaimRecord{Key: protocol.ClaimKey{9}, Digest: 5, Claimant: 1, IssuedMS: epoch.UnixMilli()}
	claimAt := func(i int, r protocol.ClaimRecord) claim.Result {
		w.entries[i].log.Refresh()
		w.entries[i].log.Add(r)
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

func TestAVerdictOfANewerEntryHasAWord(t *testing.T) {
	require.Equal(t, "kept", claim.Kept.String())
	require.Equal(t, "unknown", (claim.Kept + 1).String())
}

func TestReleaseLetsARepeatRun(t *testing.T) {
	l := loadedLog()
	r := protocol.ClaimRecord{Key: protocol.ClaimKey{1}, Claimant: 1, IssuedMS: epoch.UnixMilli()}
	l.Add(r)
	writeAll(l, 1)
	r.Kind = protocol.ClaimReleased
	l.Add(r)
	writeAll(l, 2)
	require.Zero(t, l.KeyCount())
}

// TestAFullRingRefusesNewClaims fills every slot with keys that are still
// remembered: a claim more must be refused, and run again after they expire.
func TestAFullRingRefusesNewClaims(t *testing.T) {
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

// BenchmarkKeys measures the memory that a shard's writer needs for each key.
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
		l.WriteSucceeded(version)
	}
}
