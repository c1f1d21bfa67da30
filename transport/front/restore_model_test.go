// SPDX-License-Identifier: Apache-2.0

package front

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/era"
)

// acceptedTable is a version that the store accepted, and when a restore lost it, 0 for never.
type acceptedTable struct {
	version, at, lostAt int
}

// tableAnswer is an answer of the store on its way to an entry.
type tableAnswer struct {
	object protocol.Object
	at     int // when the entry asked
}

// modelEntry is an entry with the answers that it has not received yet.
type modelEntry struct {
	sink    *routingSink
	eras    *era.Tracker
	answers []tableAnswer
	highest uint64 // version in force so far
}

// tableModel consists of a store, whose clock ticks with each change, and entries.
type tableModel struct {
	tick     int
	at       protocol.Revision
	version  int // of the table that the store holds
	newest   int // that the operator has written
	copied   protocol.Revision
	copy     int // version in the copy
	accepted []acceptedTable
	entries  []*modelEntry
}

func newTableModel() *tableModel {
	m := &tableModel{}
	m.write(1)
	m.makeCopy()
	for range 3 {
		m.entries = append(m.entries, newModelEntry())
	}
	return m
}

func newModelEntry() *modelEntry {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: versionDecoder{}}}
	return &modelEntry{sink: &routingSink{front: f}, eras: &era.Tracker{}}
}

// write has the store accept a version.
func (m *tableModel) write(version int) {
	m.tick++
	m.at.Number++
	m.version, m.newest = version, max(m.newest, version)
	m.accepted = append(m.accepted, acceptedTable{version: version, at: m.tick})
}

func (m *tableModel) makeCopy() { m.copied, m.copy = m.at, m.version }

// restore makes the store come back from the copy.
func (m *tableModel) restore() {
	m.tick++
	m.at = protocol.Revision{Era: m.at.Era + 1, Number: m.copied.Number}
	m.version = m.copy
	for i := range m.accepted {
		if a := &m.accepted[i]; a.version > m.copy && a.lostAt == 0 {
			a.lostAt = m.tick
		}
	}
}

// ask has the store answer an entry. The answer arrives later.
func (m *tableModel) ask(e *modelEntry) {
	m.tick++
	o := protocol.Object{Name: "main", Version: m.at, Value: make([]byte, m.version)}
	e.answers = append(e.answers, tableAnswer{object: o, at: m.tick})
}

// deliver delivers one answer. It may confirm a version that the store held then, or accepted later.
func (m *tableModel) deliver(t *rapid.T, e *modelEntry, i int) {
	a := e.answers[i]
	e.answers = slices.Delete(e.answers, i, i+1)
	if !e.eras.Observe(a.object.Version.Era) {
		return
	}
	e.sink.Changed(protocol.Change{Object: a.object}, time.Time{})
	before := e.sink.front.routing.ConfirmedAt()
	e.sink.Confirmed(tickTime(a.at))
	version := int(e.sink.versionInForce())
	if e.sink.front.routing.ConfirmedAt().After(before) && version != len(a.object.Value) {
		require.True(t, slices.ContainsFunc(m.accepted, func(v acceptedTable) bool { return v.version == version && v.at > a.at }),
			"version %d was confirmed although the store held %d", version, len(a.object.Value))
	}
}

// tell passes on what one entry reports to another.
func tell(from, to *modelEntry) {
	if version := from.sink.versionInForce(); from.sink.held < version {
		to.sink.applyLost(version, from.sink.value)
	}
}

// restart replaces an entry by one that asks the others.
func (m *tableModel) restart(i int) {
	m.entries[i] = newModelEntry()
	for j, other := range m.entries {
		if j != i {
			tell(other, m.entries[i])
		}
	}
}

func tickTime(tick int) time.Time { return time.Unix(int64(1000+tick), 0) }

// check checks what holds at any moment.
func (m *tableModel) check(t *rapid.T) {
	for i, e := range m.entries {
		version := e.sink.versionInForce()
		require.GreaterOrEqual(t, version, e.highest, "entry %d: the version in force fell", i)
		e.highest = version
		confirmedAt := e.sink.front.routing.ConfirmedAt()
		for _, a := range m.accepted {
			known := !tickTime(a.at).After(confirmedAt) && (a.lostAt == 0 || tickTime(a.lostAt).After(confirmedAt))
			if known && uint64(a.version) > version {
				t.Fatalf("entry %d confirms version %d at a time at which the store held %d", i, version, a.version)
			}
		}
	}
}

// TestTablesAcrossRestores writes, copies and restores tables, restarts entries, and delivers the store's
// answers in any order. The version in force never falls, keys are never confirmed by a version that was
// replaced at that time, and once the operator has written again, every entry has the newest version,
// confirmed.
func TestTablesAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel()
		draw := func(label string) *modelEntry { return rapid.SampledFrom(m.entries).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"write":   func(t *rapid.T) { m.write(m.newest + rapid.IntRange(1, 3).Draw(t, "step")) },
			"again":   func(*rapid.T) { m.write(m.newest) },
			"copy":    func(*rapid.T) { m.makeCopy() },
			"restore": func(*rapid.T) { m.restore() },
			"ask":     func(*rapid.T) { m.ask(draw("asks")) },
			"deliver": func(t *rapid.T) {
				if e := draw("receives"); len(e.answers) > 0 {
					m.deliver(t, e, rapid.IntRange(0, len(e.answers)-1).Draw(t, "answer"))
				}
			},
			"tell":    func(*rapid.T) { tell(draw("from"), draw("to")) },
			"restart": func(t *rapid.T) { m.restart(rapid.IntRange(0, len(m.entries)-1).Draw(t, "restarts")) },
			"":        m.check,
		})
		m.write(m.newest)
		for i, e := range m.entries {
			e.answers = nil
			m.ask(e)
			m.deliver(t, e, 0)
			require.EqualValues(t, m.newest, e.sink.versionInForce(), "entry %d", i)
			require.Equal(t, tickTime(m.tick), e.sink.front.routing.ConfirmedAt(), "entry %d", i)
		}
	})
}
