// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

var limitedEngine = protocol.EndpointProcess{ID: "engine", Incarnation: 7}

// introduce tells each entry the names of all.
func introduce(all []*entry) {
	var names []string
	for _, e := range all {
		names = append(names, e.client.name)
	}
	for _, e := range all {
		e.source.RateLimits().SetMembers(e.client.name, names)
	}
}

// limitsKnown returns at how many entries the engine has a limit.
func limitsKnown(all []*entry, limit float64) int {
	n := 0
	for _, e := range all {
		if e.source.RateLimits().Limit(limitedEngine) == limit {
			n++
		}
	}
	return n
}

// TestRateLimitReachesAllEntries has one of thirty entries hear of a limit, of another and of its end.
// All entries know of each within 50 ms of virtual time.
func TestRateLimitReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		introduce(all)
		for i, limit := range []float64{5, 2, 0} {
			time.Sleep(time.Second)
			at := time.Now()
			all[17+i].source.RateLimits().RecordAnswer(limitedEngine, limit, at)
			eventually(t, "all entries know of the limit", func() bool { return limitsKnown(all, limit) == len(all) })
			require.Less(t, time.Since(at), 50*time.Millisecond)
		}
	})
}

// TestRequestsAcrossEntriesKeepWithinTheLimit has two of seven entries want all that an engine takes, as
// one data center's entries do. Shares are lent to them over the relay tree, and the sum stays within
// the limit.
func TestRequestsAcrossEntriesKeepWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, seconds = 5.0, 30
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 7)
		introduce(all)
		all[3].source.RateLimits().RecordAnswer(limitedEngine, limit, time.Now())
		var sent []time.Time
		for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			now := time.Now()
			for _, e := range all[4:6] {
				l := e.source.RateLimits()
				l.Want(limitedEngine, now)
				if l.TakeAll([]protocol.EndpointProcess{limitedEngine}, now) {
					sent = append(sent, now)
				}
			}
		}
		begin := 0
		for i, at := range sent {
			for at.Sub(sent[begin]) >= 4*time.Second {
				begin++
			}
			require.LessOrEqual(t, i-begin+1, 35, "one and a half times the limit of 4 s, and five more")
		}
		require.Greater(t, len(sent), seconds*int(limit)*3/4, "most of the limit is used")
	})
}

// TestLaterFollowerKnowsTheRateLimit has an entry join after a limit was named.
func TestLaterFollowerKnowsTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 2)
		introduce(all)
		all[0].source.RateLimits().RecordAnswer(limitedEngine, 5, time.Now())
		time.Sleep(20 * time.Second)
		late := newEntry(t, s, rankedAfter(all[0].source.Self), "third")
		late.start(t, []protocol.EntryRecord{all[0].source.Self})
		eventually(t, "the new entry knows the limit", func() bool { return limitsKnown([]*entry{late}, 5) == 1 })
	})
}

// TestReportsBeforeMembersAreKnownNameTheirEntry guards against reports without a name, which peers
// reject together with the connection, from an entry that has not counted the entries yet.
func TestReportsBeforeMembersAreKnownNameTheirEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 3)
		for i, e := range all {
			limit := float64(i + 1)
			e.source.RateLimits().RecordAnswer(limitedEngine, limit, time.Now())
			eventually(t, "all entries know of the limit", func() bool { return limitsKnown(all, limit) == len(all) })
			time.Sleep(time.Second)
		}
	})
}
