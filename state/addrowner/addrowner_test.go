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

// tracker is a Tracker whose records all have the same address.
type tracker struct{ addrowner.Tracker }

func (t *tracker) record(id string, incarnation protocol.Incarnation, ms int) {
	t.NextBatch()
	t.Record(addrowner.Claim{Endpoint: id, Address: "x", Incarnation: incarnation, HoldsLayers: true}, at(ms))
}

// used returns the endpoints in use.
func (t *tracker) used() string {
	used := ""
	for _, id := range []string{"old", "new"} {
		if t.InUse(id) {
			used += id
		}
	}
	return used
}

func TestRecordInUse(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(tr *tracker)
		want string
	}{
		{"the only one", func(tr *tracker) { tr.record("old", 0, 0) }, "old"},
		{"none", func(*tracker) {}, ""},
		{"the one first seen later", func(tr *tracker) { tr.record("old", 0, 0); tr.record("new", 0, 1) }, "new"},
		{"not one that comes back after a later one", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.RecordRemoved("old", at(1))
			tr.record("new", 0, 2)
			tr.record("old", 0, 3)
		}, "new"},
		{"one that comes back to an address without other claims", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.RecordRemoved("old", at(1))
			tr.record("old", 0, 2)
		}, "old"},
		{"not a superseded one, even after the record of its successor was removed", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.record("new", 0, 1)
			tr.RecordRemoved("new", at(2))
		}, ""},
		{"not a superseded one that is recorded again and again", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.record("new", 0, 1)
			for i := range 10 {
				tr.RecordRemoved("old", at(2+2*i))
				tr.record("old", 0, 3+2*i)
			}
		}, "new"},
		{"one that answers", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.record("new", 0, 1)
			tr.Answered("x", "old", 0, at(2))
		}, "old"},
		{"not one that answered before the next was first seen", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.Answered("x", "old", 0, at(1))
			tr.record("new", 0, 2)
		}, "new"},
		{"none, if an endpoint without a record answers", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.Answered("x", "new", 0, at(1))
		}, ""},
		{"one that answered before it was recorded", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.Answered("x", "new", 0, at(1))
			tr.record("new", 0, 2)
		}, "new"},
		{"the later incarnation, although it was seen first", func(tr *tracker) { tr.record("new", 20, 0); tr.record("old", 10, 1) }, "new"},
		{"a later incarnation of a superseded one", func(tr *tracker) {
			tr.record("old", 10, 0)
			tr.record("new", 20, 1)
			tr.record("old", 30, 2)
		}, "old"},
		{"one that answers, whatever the incarnations", func(tr *tracker) {
			tr.record("old", 10, 0)
			tr.record("new", 20, 1)
			tr.Answered("x", "old", 0, at(2))
		}, "old"},
		{"an answer of an earlier incarnation is ignored", func(tr *tracker) {
			tr.record("old", 10, 0)
			tr.record("new", 20, 1)
			tr.Answered("x", "old", 5, at(2))
		}, "new"},
		{"of one list the one without layers", func(tr *tracker) {
			tr.NextBatch()
			tr.Record(addrowner.Claim{Endpoint: "old", Address: "x", HoldsLayers: true}, at(0))
			tr.Record(addrowner.Claim{Endpoint: "new", Address: "x"}, at(0))
		}, "new"},
		{"one that has moved leaves its address to another", func(tr *tracker) {
			tr.record("old", 0, 0)
			tr.record("new", 0, 1)
			tr.NextBatch()
			tr.Record(addrowner.Claim{Endpoint: "new", Address: "y"}, at(2))
			tr.Answered("x", "old", 0, at(3))
		}, "oldnew"},
	} {
		var tr tracker
		c.do(&tr)
		require.Equal(t, c.want, tr.used(), c.name)
	}
}

func TestRecordsWithoutAddressDoNotCompete(t *testing.T) {
	var tr tracker
	tr.NextBatch()
	tr.Record(addrowner.Claim{Endpoint: "old"}, at(0))
	tr.NextBatch()
	tr.Record(addrowner.Claim{Endpoint: "new"}, at(1))
	require.Equal(t, "oldnew", tr.used())
}

func TestUnclearOwnerIsProbed(t *testing.T) {
	var tr tracker
	tr.record("old", 0, 0)
	require.False(t, tr.ProbeDue("old", 0, at(5000)), "one record, in use")
	tr.record("new", 0, 6000)
	require.False(t, tr.ProbeDue("new", 5*time.Second, at(6001)), "for now it is left to other entries")
	require.True(t, tr.ProbeDue("new", 0, at(6001)))
	require.False(t, tr.ProbeDue("new", 0, at(7000)), "only once")
	require.True(t, tr.ProbeDue("new", 0, at(7001)), "no answer came")
	require.False(t, tr.ProbeDue("new", 0, at(7002)))
	tr.RecordRemoved("new", at(9000))
	require.True(t, tr.ProbeDue("old", 0, at(9001)), "no record is in use")
	require.False(t, tr.ProbeDue("old", 0, at(9002)))
	require.True(t, tr.ProbeDue("old", 0, at(9001).Add(addrowner.ProbeInterval)))
	tr.Answered("x", "old", 0, at(11000))
	require.False(t, tr.ProbeDue("old", 0, at(20000)), "the endpoint itself has answered")
}

func TestSupersededClaimExpires(t *testing.T) {
	var tr tracker
	tr.record("old", 0, 0)
	tr.RecordRemoved("old", at(1))
	tr.record("new", 0, 2)
	tr.RecordRemoved("new", at(3))
	tr.Sweep(at(3).Add(addrowner.Retention))
	require.Empty(t, tr.Owner("old"))
	tr.record("old", 0, 100000)
	require.Equal(t, "old", tr.used())
}

// BenchmarkInUse calls InUse for each of 4,900 endpoints. These calls took 0.24 ms of the
// rebuild of a registry of that size.
func BenchmarkInUse(b *testing.B) {
	var tr addrowner.Tracker
	tr.NextBatch()
	var ids []string
	for i := range 4900 {
		ids = append(ids, fmt.Sprint("e-", i))
		tr.Record(addrowner.Claim{Endpoint: fmt.Sprint("e-", i), Address: fmt.Sprint("a-", i)}, at(0))
	}
	for b.Loop() {
		for _, id := range ids {
			tr.InUse(id)
		}
	}
}
