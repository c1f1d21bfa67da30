// SPDX-License-Identifier: Apache-2.0

package front

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

const (
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 2 * time.Second
	// writtenAgain is how long after that the operator writes its table again.
	writtenAgain = 1500 * time.Millisecond
	// longestRefusal is how long keys are refused at an entry that starts and whose peers never answer: the
	// search for a peer, 3 s, four rounds of questions, 0.8 s each, and a read.
	longestRefusal = 6300 * time.Millisecond
	// recordsRead is how long after the store's return an entry that started before has read the records.
	recordsRead = 30 * time.Millisecond
)

// restoreTrial is a store that comes back from a copy that lacks the latest table, and entries that end as it
// goes away and start again at an offset from its return.
type restoreTrial struct {
	fleet   *entryFleet
	records []protocol.EntryRecord
	started []*fleetEntry
}

// newRestoreTrial has every entry know a table that a copy of the store lacks, and some of them end.
func newRestoreTrial(t *testing.T, entries int, ends func(i int) bool) (*restoreTrial, storeCopy) {
	r := &restoreTrial{fleet: newEntryFleet(t, entries, 3)}
	f := r.fleet
	earlier := f.store.copied()
	f.store.put("config", "main", "22")
	time.Sleep(time.Second)
	for _, e := range f.entries {
		require.EqualValues(t, 2, e.tables.versionInForce())
		r.records = append(r.records, e.source.Self)
	}
	f.store.setDown(true)
	for i, e := range f.entries {
		if ends(i) {
			e.kill()
		}
	}
	return r, earlier
}

// startAgain starts an entry that ended.
func (r *restoreTrial) startAgain(t *testing.T, ended *fleetEntry) *fleetEntry {
	e := r.fleet.newEntry(ended.Settings.Name, ended.Settings.DataCenter)
	e.source.Self.Key = ended.source.Self.Key
	r.started = append(r.started, e)
	t.Cleanup(e.kill)
	return e
}

// run plays a trial, and watches until the operator has written its table again and everybody has it.
func (r *restoreTrial) run(t *testing.T, earlier storeCopy, ends func(i int) bool, offset time.Duration) {
	f := r.fleet
	back := time.Now().Add(storeAway)
	time.Sleep(time.Until(back) + min(0, offset))
	if offset >= 0 {
		f.store.restore(earlier)
		time.Sleep(offset)
	}
	for i, e := range f.entries {
		if !ends(i) {
			continue
		}
		again := r.startAgain(t, e)
		if offset >= 0 {
			again.start(r.records)
		} else {
			again.startUnknowing()
		}
		time.Sleep(370 * time.Microsecond)
	}
	if offset < 0 {
		r.watch(t, back)
		f.store.restore(earlier)
		r.watch(t, back.Add(recordsRead))
		for _, e := range r.started {
			e.source.Learn(r.records, true)
		}
	}
	r.watch(t, back.Add(writtenAgain))
	f.store.put("config", "main", "22")
	written := time.Now()
	r.watch(t, written.Add(2*time.Second))
	for _, e := range r.started {
		require.EqualValues(t, 2, e.tables.versionInForce(), e.Settings.Name)
		require.True(t, e.routing.ConfirmedAt().After(written), "%s confirms the table that was written again", e.Settings.Name)
	}
}

// startUnknowing starts an entry that can't read the records of others yet.
func (e *fleetEntry) startUnknowing() {
	e.source.Start()
	for _, w := range e.watchers {
		w.Start()
	}
	e.confirmer.Start()
	go e.run()
}

// watch requires until a time that no entry that started confirms the table that the others know to be old.
func (r *restoreTrial) watch(t *testing.T, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		for _, e := range r.started {
			require.False(t, e.tables.versionInForce() == 1 && !e.routing.ConfirmedAt().IsZero(),
				"%s takes keys by a table that its peers have outgrown", e.Settings.Name)
		}
	}
}

// TestEntryStartedAroundRestoreTakesNoWithdrawnKey guards against an entry that confirms the older table of a
// restored store because peers that have not noticed the restore say that they know of no lost one.
func TestEntryStartedAroundRestoreTakesNoWithdrawnKey(t *testing.T) {
	for offset := -time.Second; offset <= time.Second; offset += 10 * time.Millisecond {
		first := func(i int) bool { return i == 0 }
		synctest.Test(t, func(t *testing.T) {
			r, earlier := newRestoreTrial(t, 7, first)
			r.run(t, earlier, first, offset)
		})
		if t.Failed() {
			t.Fatalf("the start is %v after the return", offset)
		}
	}
}

// TestEntriesStartedAroundRestoreTakeNoWithdrawnKey has others than the followed entry start, and several.
func TestEntriesStartedAroundRestoreTakeNoWithdrawnKey(t *testing.T) {
	for name, ends := range map[string]func(i int) bool{
		"the last":         func(i int) bool { return i == 6 },
		"the first two":    func(i int) bool { return i < 2 },
		"half":             func(i int) bool { return i%2 == 0 },
		"all but the last": func(i int) bool { return i < 6 },
	} {
		for offset := -time.Second; offset <= time.Second; offset += 130 * time.Millisecond {
			t.Run(fmt.Sprint(name, " ", offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r, earlier := newRestoreTrial(t, 7, ends)
					r.run(t, earlier, ends, offset)
				})
			})
		}
	}
}

// TestRestoreOfRestoreTakesNoWithdrawnKey has the store come back from the same copy again while the entry
// that started asks its peers.
func TestRestoreOfRestoreTakesNoWithdrawnKey(t *testing.T) {
	first := func(i int) bool { return i == 0 }
	for wait := time.Duration(0); wait <= 500*time.Millisecond; wait += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r, earlier := newRestoreTrial(t, 7, first)
			time.Sleep(storeAway)
			r.fleet.store.restore(earlier)
			r.startAgain(t, r.fleet.entries[0]).start(r.records)
			r.watch(t, time.Now().Add(wait))
			r.fleet.store.restore(earlier)
			r.watch(t, time.Now().Add(writtenAgain))
			r.fleet.store.put("config", "main", "22")
			r.watch(t, time.Now().Add(2*time.Second))
			require.False(t, r.started[0].routing.ConfirmedAt().IsZero())
		})
	}
}

// TestCutOffEntryTakesNoWithdrawnKeyAfterRestore guards against an entry that missed the withdrawal, because
// it was cut off, and confirms its old table by the restored store.
func TestCutOffEntryTakesNoWithdrawnKeyAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEntryFleet(t, 7, 3)
		first := f.entries[0]
		earlier := f.store.copied()
		first.standStill()
		f.store.put("config", "main", "22")
		time.Sleep(5 * time.Second)
		f.store.setDown(true)
		time.Sleep(storeAway)
		f.store.restore(earlier)
		confirmed := first.routing.ConfirmedAt()
		first.goOn()
		for range 800 {
			time.Sleep(5 * time.Millisecond)
			synctest.Wait()
			require.False(t, first.tables.versionInForce() == 1 && first.routing.ConfirmedAt().After(confirmed.Add(2*time.Second)))
		}
		require.EqualValues(t, 2, first.tables.versionInForce())
	})
}

// TestFleetThatStartsTogetherAfterRestoreIsNotRefusedLong guards against keys that are refused although
// nobody can know a later table.
func TestFleetThatStartsTogetherAfterRestoreIsNotRefusedLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := func(int) bool { return true }
		r, earlier := newRestoreTrial(t, 7, all)
		time.Sleep(storeAway)
		r.fleet.store.restore(earlier)
		for _, e := range r.fleet.entries {
			r.startAgain(t, e).start(r.records)
			time.Sleep(370 * time.Microsecond)
		}
		time.Sleep(time.Second)
		for _, e := range r.started {
			require.EqualValues(t, 1, e.tables.versionInForce())
			require.False(t, e.routing.ConfirmedAt().IsZero(), "%s refuses keys", e.Settings.Name)
		}
	})
}

// TestEntryWhosePeersDoNotAnswerIsNotRefusedForGood guards against keys that are refused as long as peers are
// silent.
func TestEntryWhosePeersDoNotAnswerIsNotRefusedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := func(i int) bool { return i == 0 }
		r, earlier := newRestoreTrial(t, 7, first)
		for _, e := range r.fleet.entries[1:] {
			r.fleet.cutOff(t, e)
		}
		time.Sleep(storeAway)
		r.fleet.store.restore(earlier)
		e := r.startAgain(t, r.fleet.entries[0])
		e.start(r.records)
		time.Sleep(longestRefusal)
		require.EqualValues(t, 1, e.tables.versionInForce())
		require.False(t, e.routing.ConfirmedAt().IsZero())
	})
}

// TestEntryStartedWhilePeersStandStillTakesNoWithdrawnKey guards against an entry that follows nobody and asks
// nobody because its peers do not answer for a while.
func TestEntryStartedWhilePeersStandStillTakesNoWithdrawnKey(t *testing.T) {
	for still := 100 * time.Millisecond; still <= 2*time.Second; still += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			last := func(i int) bool { return i == 4 }
			r, earlier := newRestoreTrial(t, 5, last)
			f := r.fleet
			f.store.setDown(false)
			time.Sleep(time.Second)
			for _, e := range f.entries[:4] {
				e.standStill()
			}
			f.store.restore(earlier)
			r.startAgain(t, f.entries[4]).start(r.records)
			r.watch(t, time.Now().Add(still))
			for _, e := range f.entries[:4] {
				e.goOn()
			}
			r.watch(t, time.Now().Add(time.Second))
			require.EqualValues(t, 2, r.started[0].tables.versionInForce())
		})
	}
}
