// SPDX-License-Identifier: Apache-2.0

// Package member tracks the entries that one entry knows. It ranks them for shared tasks
// and selects the peers that an entry connects to. No agreement depends on it: entries
// whose tables differ make superfluous calls but break no guarantee.
//
//	var t member.Table
//	t.Learn(listed, now)
//	t.MarkAlive("entry-4", now)
//	t.Owner("claim-2", now)        // the entry that writes claim shard 2
//	t.Peers(self, now)             // the entries to connect to
//	t.Relays("jhb-a", now)         // the entries that watch the platform for a data center
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinerun.example/pinerun/protocol"
)

const (
	// RelaysPerDataCenter is how many entries of a data center watch the platform for the
	// others.
	RelaysPerDataCenter = 2
	// maxFullMesh is the largest number of entries that all connect to each other.
	maxFullMesh = 12
	// minSuspicion is how long an unreachable entry is excluded. The time doubles with each
	// failure in a row, up to maxSuspicion.
	minSuspicion = 5 * time.Second
	maxSuspicion = time.Minute
	// forgetAfter is how long an entry stays in the table without being listed or sending a
	// heartbeat.
	forgetAfter = 30 * time.Second
)

// Table holds the entries that one entry knows. The zero value knows none. It is not
// safe for concurrent use.
type Table struct{ members map[string]*entry }

// entry is what a table knows of one entry.
type entry struct {
	member       protocol.Member
	learnedAt    time.Time
	aliveAt      time.Time
	suspectUntil time.Time
	failures     int // in a row
}

// Learn applies a list of members from the platform or from a peer. Entries that have
// neither been listed nor sent a heartbeat for forgetAfter are dropped.
func (t *Table) Learn(listed []protocol.Member, now time.Time) {
	if t.members == nil {
		t.members = map[string]*entry{}
	}
	for _, m := range listed {
		e := t.members[m.Name]
		if e == nil || e.member != m {
			e = &entry{member: m}
			t.members[m.Name] = e
		}
		e.learnedAt = now
	}
	maps.DeleteFunc(t.members, func(_ string, e *entry) bool {
		return !isSeed(e.member) && now.Sub(e.learnedAt) > forgetAfter && now.Sub(e.aliveAt) > forgetAfter
	})
}

// MarkAlive records that an entry was heard from and clears any suspicion.
func (t *Table) MarkAlive(name string, now time.Time) {
	if e := t.members[name]; e != nil {
		e.aliveAt = now
		e.suspectUntil = time.Time{}
		e.failures = 0
	}
}

// Suspect excludes an entry for a while because it could not be reached.
func (t *Table) Suspect(name string, now time.Time) {
	if e := t.members[name]; e != nil {
		e.suspectUntil = now.Add(min(minSuspicion<<min(e.failures, 10), maxSuspicion))
		e.failures++
	}
}

// Alive returns the entries that are not suspected, ordered by name.
func (t *Table) Alive(now time.Time) []protocol.Member {
	var alive []protocol.Member
	for _, e := range t.members {
		if e.alive(now) {
			alive = append(alive, e.member)
		}
	}
	slices.SortFunc(alive, func(a, b protocol.Member) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// IsGone reports whether an incarnation of an entry has been replaced, is suspected or is
// unknown. A table that was filled only recently knows too little to answer this.
func (t *Table) IsGone(name string, incarnation uint64, now time.Time) bool {
	e := t.members[name]
	return e == nil || e.member.Incarnation != incarnation || !e.alive(now)
}

// CountAlive returns the number of entries that Alive returns, without sorting them.
func (t *Table) CountAlive(now time.Time) int {
	count := 0
	for _, e := range t.members {
		if e.alive(now) {
			count++
		}
	}
	return count
}

func (e *entry) alive(now time.Time) bool { return !now.Before(e.suspectUntil) && !isSeed(e.member) }

// Known returns all entries, suspected or not.
func (t *Table) Known() []protocol.Member {
	var all []protocol.Member
	for _, e := range t.members {
		if !isSeed(e.member) {
			all = append(all, e.member)
		}
	}
	return all
}

// Seed returns a member of which only the address is known. An entry connects to it when
// it knows no other entry. Seeds take no part in any ranking.
func Seed(address string) protocol.Member {
	return protocol.Member{Name: "seed " + address, Address: address}
}

func isSeed(m protocol.Member) bool { return m.Incarnation == 0 }

// Forget drops an entry that has announced that it stops.
func (t *Table) Forget(name string) { delete(t.members, name) }

// Owner returns the entry that ranks first for a task. The ranking uses rendezvous
// hashing, so the loss of an entry moves only the tasks of that entry.
func (t *Table) Owner(task string, now time.Time) (protocol.Member, bool) {
	ranked := Rank(task, t.Alive(now))
	if len(ranked) == 0 {
		return protocol.Member{}, false
	}
	return ranked[0], true
}

// Relays returns the entries that watch the platform for a data center.
func (t *Table) Relays(dataCenter string, now time.Time) []protocol.Member {
	return relays(t.Alive(now))[dataCenter]
}

// RelayCount returns the number of relays of all data centers, at least 1.
func (t *Table) RelayCount(now time.Time) int {
	count := 0
	for _, local := range relays(t.Alive(now)) {
		count += len(local)
	}
	return max(1, count)
}

// relays returns the relays of every data center.
func relays(alive []protocol.Member) map[string][]protocol.Member {
	local := map[string][]protocol.Member{}
	for _, m := range alive {
		local[m.DataCenter] = append(local[m.DataCenter], m)
	}
	for center, members := range local {
		ranked := Rank("relay", members)
		local[center] = ranked[:min(RelaysPerDataCenter, len(ranked))]
	}
	return local
}

// IsRelay reports whether self is one of the relays of its data center. An entry that
// knows no other entry is its own relay.
func (t *Table) IsRelay(self protocol.Member, now time.Time) bool {
	local := t.Relays(self.DataCenter, now)
	return len(local) == 0 || contains(local, self.Name)
}

func contains(members []protocol.Member, name string) bool {
	return slices.ContainsFunc(members, func(m protocol.Member) bool { return m.Name == name })
}

// Peers returns the entries that self connects to: all of them while there are few;
// otherwise the relays of its data center and, if self is a relay, those of all other
// data centers.
func (t *Table) Peers(self protocol.Member, now time.Time) []protocol.Member {
	alive := t.Alive(now)
	others := slices.DeleteFunc(slices.Clone(alive), func(m protocol.Member) bool { return m.Name == self.Name })
	if len(others) == 0 {
		return t.seeds(self, now)
	}
	if len(others) < maxFullMesh {
		return others
	}
	all := relays(alive)
	var peers []protocol.Member
	for center, local := range all {
		if center != self.DataCenter && !contains(all[self.DataCenter], self.Name) {
			continue
		}
		for _, m := range local {
			if m.Name != self.Name {
				peers = append(peers, m)
			}
		}
	}
	slices.SortFunc(peers, func(a, b protocol.Member) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// seeds returns the seeds that are not suspected, without self.
func (t *Table) seeds(self protocol.Member, now time.Time) []protocol.Member {
	var seeds []protocol.Member
	for _, e := range t.members {
		if isSeed(e.member) && e.member.Address != self.Address && !now.Before(e.suspectUntil) {
			seeds = append(seeds, e.member)
		}
	}
	return seeds
}

// Rank orders members for a task; the first one performs it.
func Rank(task string, members []protocol.Member) []protocol.Member {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Name] = Score(task, m.Name)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b protocol.Member) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// Score is the rendezvous weight of an entry for a task. The entry with the highest score
// performs the task.
func Score(task, name string) uint64 { return xxhash.Sum64String(task + "\x00" + name) }
