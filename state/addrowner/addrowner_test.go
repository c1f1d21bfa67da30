// SPDX-License-Identifier: Apache-2.0

package addrowner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/addrowner"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// ledger is a ledger whose records all name one address.
type ledger struct{ addrowner.Tracker }

func (l *ledger) record(id string, life protocol.Incarnation, ms int) {
	l.NextBatch()
	l.Record(addrowner.Claim{Endpoint: id, Address: "x", Incarnation: life, HoldsLayers: true}, at(ms))
}

// used returns which of the endpoints x and y is in use.
func (l *ledger) used() string {
	used := ""
	for _, id := range []string{"old", "new"} {
		if l.InUse(id) {
			used += id
		}
	}
	return used
}

func TestWhichRecordOfAnAddressIsUsed(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(l *ledger)
		used string
	}{
		{"the only one", func(l *ledger) { l.record("old", 0, 0) }, "old"},
		{"none", func(*ledger) {}, ""},
		{"the one that was seen later", func(l *ledger) { l.record("old", 0, 0); l.record("new", 0, 1) }, "new"},
		{"not one that comes back", func(l *ledger) {
			l.record("old", 0, 0)
			l.RecordRemoved("old", at(1))
			l.record("new", 0, 2)
			l.record("old", 0, 3)
		}, "new"},
		{"one that comes back to an address of its own", func(l *ledger) {
			l.record("old", 0, 0)
			l.RecordRemoved("old", at(1))
			l.record("old", 0, 2)
		}, "old"},
		{"not one that was superseded, once the next has gone", func(l *ledger) {
			l.record("old", 0, 0)
			l.record("new", 0, 1)
			l.RecordRemoved("new", at(2))
		}, ""},
		{"one that is recorded anew and anew stays superseded", func(l *ledger) {
			l.record("old", 0, 0)
			l.record("new", 0, 1)
			for i := range 10 {
				l.RecordRemoved("old", at(2+2*i))
				l.record("old", 0, 3+2*i)
			}
		}, "new"},
		{"one that answers itself", func(l *ledger) {
			l.record("old", 0, 0)
			l.record("new", 0, 1)
			l.Answered("x", "old", 0, at(2))
		}, "old"},
		{"not one that answered before the next was seen", func(l *ledger) {
			l.record("old", 0, 0)
			l.Answered("x", "old", 0, at(1))
			l.record("new", 0, 2)
		}, "new"},
		{"none, if one without a record answers", func(l *ledger) {
			l.record("old", 0, 0)
			l.Answered("x", "new", 0, at(1))
		}, ""},
		{"one that answered before it had a record", func(l *ledger) {
			l.record("old", 0, 0)
			l.Answered("x", "new", 0, at(1))
			l.record("new", 0, 2)
		}, "new"},
		{"the later start, though it was seen first", func(l *ledger) { l.record("new", 20, 0); l.record("old", 10, 1) }, "new"},
		{"a later start of one that was superseded", func(l *ledger) {
			l.record("old", 10, 0)
			l.record("new", 20, 1)
			l.record("old", 30, 2)
		}, "old"},
		{"one that answers, whatever starts are told", func(l *ledger) {
			l.record("old", 10, 0)
			l.record("new", 20, 1)
			l.Answered("x", "old", 0, at(2))
		}, "old"},
		{"an answer of an earlier life says nothing", func(l *ledger) {
			l.record("old", 10, 0)
			l.record("new", 20, 1)
			l.Answered("x", "old", 5, at(2))
		}, "new"},
		{"of one list that which promises nothing", func(l *ledger) {
			l.NextBatch()
			l.Record(addrowner.Claim{Endpoint: "old", Address: "x", HoldsLayers: true}, at(0))
			l.Record(addrowner.Claim{Endpoint: "new", Address: "x"}, at(0))
		}, "new"},
		{"one that has moved leaves its address to others", func(l *ledger) {
			l.record("old", 0, 0)
			l.record("new", 0, 1)
			l.NextBatch()
			l.Record(addrowner.Claim{Endpoint: "new", Address: "y"}, at(2))
			l.Answered("x", "old", 0, at(3))
		}, "oldnew"},
	} {
		var l ledger
		c.do(&l)
		require.Equal(t, c.used, l.used(), c.name)
	}
}

func TestRecordsWithoutAnAddressDontContend(t *testing.T) {
	var l ledger
	l.NextBatch()
	l.Record(addrowner.Claim{Endpoint: "old"}, at(0))
	l.NextBatch()
	l.Record(addrowner.Claim{Endpoint: "new"}, at(1))
	require.Equal(t, "oldnew", l.used())
}

func TestWhatIsUnclearIsAsked(t *testing.T) {
	var l ledger
	l.record("old", 0, 0)
	require.False(t, l.ProbeDue("old", 0, at(5000)), "one record, in use")
	l.record("new", 0, 6000)
	require.False(t, l.ProbeDue("new", 5*time.Second, at(6001)), "it is left to others for now")
	require.True(t, l.ProbeDue("new", 0, at(6001)))
	require.False(t, l.ProbeDue("new", 0, at(7000)), "once")
	require.True(t, l.ProbeDue("new", 0, at(7001)), "no answer came")
	require.False(t, l.ProbeDue("new", 0, at(7002)))
	l.RecordRemoved("new", at(9000))
	require.True(t, l.ProbeDue("old", 0, at(9001)), "no record is in use")
	require.False(t, l.ProbeDue("old", 0, at(9002)))
	require.True(t, l.ProbeDue("old", 0, at(9001).Add(addrowner.ProbeInterval)))
	l.Answered("x", "old", 0, at(11000))
	require.False(t, l.ProbeDue("old", 0, at(20000)), "it answered itself")
}

func TestASupersededRecordIsForgottenAfterAWhile(t *testing.T) {
	var l ledger
	l.record("old", 0, 0)
	l.RecordRemoved("old", at(1))
	l.record("new", 0, 2)
	l.RecordRemoved("new", at(3))
	l.Sweep(at(3).Add(addrowner.Retention))
	require.Empty(t, l.Owner("old"))
	l.record("old", 0, 100000)
	require.Equal(t, "old", l.used())
}

// BenchmarkInUse asks for each of so many endpoints whether it is in use. With 4,900 the
// rebuilding of a roster spends 0.24 ms on it.
func BenchmarkInUse(b *testing.B) {
	var l addrowner.Tracker
	l.NextBatch()
	var ids []string
	for i := range 4900 {
		ids = append(ids, fmt.Sprint("e-", i))
		l.Record(addrowner.Claim{Endpoint: fmt.Sprint("e-", i), Address: fmt.Sprint("a-", i)}, at(0))
	}
	for b.Loop() {
		for _, id := range ids {
			l.InUse(id)
		}
	}
}
