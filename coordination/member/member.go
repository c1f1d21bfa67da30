// SPDX-License-Identifier: Apache-2.0

// Package member ranks entries for shared work and decides whom an entry talks
// to. Nothing that must be agreed rests on it: entries that differ about the
// ranking cost calls, never a promise.
//
//	var t member.Table
//	t.Learn(listed, now)
//	t.Heard("entry-4", now)
//	t.First("claim-2", now)        // who writes claim shard 2
//	t.Peers(self, now)             // whom to connect to
//	t.Relays("jhb-a", now)         // who watches the platform for a data center
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
	// RelaysPerDataCenter is how many entries of a data center watch the
	// platform for the others.
	RelaysPerDataCenter = 2
	// meshUpTo is the number of entries up to which each talks to all others.
	meshUpTo = 12
	// suspectFor is how long an entry that could not be reached is left out; it
	// doubles with each failure in a row, up to suspectMost.
	suspectFor  = 5 * time.Second
	suspectMost = time.Minute
	// forgetAfter is how long an entry that is listed no longer is remembered.
	forgetAfter = 30 * time.Second
)

// Table is the entries that one entry knows. The zero value knows none. It is
// not safe for use by several goroutines at once.
type Table struct{ members map[string]*known }

type known struct {
	member      protocol.Member
	learnedAt   time.Time
	heardAt     time.Time
	suspectTill time.Time
	failures    int // in a row
}

// Learn takes a list of members, as the platform or a peer gives it. Entries
// that neither a list nor their own heartbeats have named for a while are
// forgotten.
func (t *Table) Learn(listed []protocol.Member, now time.Time) {
	if t.members == nil {
		t.members = map[string]*known{}
	}
	for _, m := range listed {
		k := t.members[m.Name]
		if k == nil || k.member != m {
			k = &known{member: m}
			t.members[m.Name] = k
		}
		k.learnedAt = now
	}
	maps.DeleteFunc(t.members, func(_ string, k *known) bool {
		return !isSeed(k.member) && now.Sub(k.learnedAt) > forgetAfter && now.Sub(k.heardAt) > forgetAfter
	})
}

// MarkAlive notes a sign of life.
func (t *Table) MarkAlive(name string, now time.Time) {
	if k := t.members[name]; k != nil {
		k.heardAt = now
		k.suspectTill = time.Time{}
		k.failures = 0
	}
}

// Suspect leaves an entry out for a while because it could not be reached.
func (t *Table) Suspect(name string, now time.Time) {
	if k := t.members[name]; k != nil {
		k.suspectTill = now.Add(min(suspectFor<<min(k.failures, 10), suspectMost))
		k.failures++
	}
}

// Alive returns the entries that are not suspected, ordered by name.
func (t *Table) Alive(now time.Time) []protocol.Member {
	var alive []protocol.Member
	for _, k := range t.members {
		if k.alive(now) {
			alive = append(alive, k.member)
		}
	}
	slices.SortFunc(alive, func(a, b protocol.Member) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// IsGone reports whether a life of an entry is over, can't be reached, or is not
// known. A table that has just begun knows too little to ask.
func (t *Table) IsGone(name string, incarnation uint64, now time.Time) bool {
	k := t.members[name]
	return k == nil || k.member.Incarnation != incarnation || !k.alive(now)
}

// CountAlive returns how many entries Alive would, without ordering them.
func (t *Table) CountAlive(now time.Time) int {
	count := 0
	for _, k := range t.members {
		if k.alive(now) {
			count++
		}
	}
	return count
}

func (k *known) alive(now time.Time) bool { return !now.Before(k.suspectTill) && !isSeed(k.member) }

// Known returns every entry, suspected or not.
func (t *Table) Known() []protocol.Member {
	var all []protocol.Member
	for _, k := range t.members {
		if !isSeed(k.member) {
			all = append(all, k.member)
		}
	}
	return all
}

// Seed returns a member of which only the address is known. It is connected to
// when nobody else is known, and takes no part in any ranking.
func Seed(address string) protocol.Member {
	return protocol.Member{Name: "seed " + address, Address: address}
}

func isSeed(m protocol.Member) bool { return m.Incarnation == 0 }

// Forget drops an entry that has said that it stops.
func (t *Table) Forget(name string) { delete(t.members, name) }

// Owner returns the entry that ranks first for a piece of work, by rendezvous
// hashing, so that a change of one entry moves only the work of that entry.
func (t *Table) Owner(work string, now time.Time) (protocol.Member, bool) {
	ranked := Rank(work, t.Alive(now))
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

// IsRelay reports whether self is among the relays of its data center. An entry
// that knows nobody is its own relay.
func (t *Table) IsRelay(self protocol.Member, now time.Time) bool {
	local := t.Relays(self.DataCenter, now)
	return len(local) == 0 || contains(local, self.Name)
}

func contains(members []protocol.Member, name string) bool {
	return slices.ContainsFunc(members, func(m protocol.Member) bool { return m.Name == name })
}

// Peers returns whom self connects to: everybody while entries are few; else
// the relays of its data center and, if it is one, those of all others.
func (t *Table) Peers(self protocol.Member, now time.Time) []protocol.Member {
	alive := t.Alive(now)
	others := slices.DeleteFunc(slices.Clone(alive), func(m protocol.Member) bool { return m.Name == self.Name })
	if len(others) == 0 {
		return t.seeds(self, now)
	}
	if len(others) < meshUpTo {
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

func (t *Table) seeds(self protocol.Member, now time.Time) []protocol.Member {
	var seeds []protocol.Member
	for _, k := range t.members {
		if isSeed(k.member) && k.member.Address != self.Address && !now.Before(k.suspectTill) {
			seeds = append(seeds, k.member)
		}
	}
	return seeds
}

// Rank orders members for a piece of work, the first to do it first.
func Rank(work string, members []protocol.Member) []protocol.Member {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Name] = Score(work, m.Name)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b protocol.Member) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// Score is the weight of an entry for a piece of work; the heaviest does it.
func Score(work, name string) uint64 { return xxhash.Sum64String(work + "\x00" + name) }
