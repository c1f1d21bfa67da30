// SPDX-License-Identifier: Apache-2.0

// Package relay decides from whom an entry learns what the platform's objects are,
// so that calls to the platform do not grow with entries.
//
// All entries rank themselves alike. Each follows the first of those ranked before it
// that it can reach, its own data center's before others'; one that finds none asks the
// platform itself. Agreement does not rest on it: entries that differ about the ranking
// cost calls, never a promise, and nobody follows in a circle, since an entry follows
// only those ranked before it.
//
//	for _, r := range relay.Before(self, records) { ... } // whom to try, in order
//	switch relay.Judge(q).(type) {
//	case relay.Trust: // the peer knows as much as the platform told a moment ago
//	case relay.Ask:   // ask the platform
//	case relay.Wait:  // it was asked a moment ago; ask the peer again soon
//	case relay.Seek:  // others ask the platform; look for a peer that knows more
//	}
package relay

import (
	"cmp"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/member"
	"pinerun.example/pinerun/protocol"
)

const (
	// MaxConfirmationAge is how old a peer's confirmation may be. A new table must be in force
	// two seconds after it was accepted, where every entry reaches the platform: what
	// a peer that is cut off from it misses has to be found out within half of that.
	MaxConfirmationAge = time.Second
	// MinTrustExtension is how much longer at least an entry that nobody follows trusts its
	// peer, drawn for each: the peer itself asks at FreshFor and passes on what it learned,
	// so that one call serves all who follow it.
	MinTrustExtension = 200 * time.Millisecond
	// MaxTrustExtension is the most of that.
	MaxTrustExtension = 500 * time.Millisecond
	// MaxHealthyCall is how long a call to a platform that is well takes at most, many times
	// the 4 ms of the users' deployments. A slower one says nothing about the peer.
	MaxHealthyCall = 250 * time.Millisecond
	// AskInterval is the least time between two calls to the platform by an entry whose
	// peer can't confirm: both may find the platform down, and each call has a price. An
	// entry that reaches it again counts as such after three seconds.
	AskInterval = 1400 * time.Millisecond
	// AskBackoffInterval is that after more than one call without an answer.
	AskBackoffInterval = 2800 * time.Millisecond
	// askersMost is how many entries may call the platform each AskedMost where nobody can
	// confirm, beside those that others turn to first. More share that: what the platform serves a
	// second does not grow with entries.
	askersMost = 50
	// firstAskMost bounds how late an entry asks for the first time: the platform may serve it
	// alone, and a new table must be in force there in time.
	firstAskMost = 8 * time.Second
)

const (
	// work names what entries are ranked for.
	work = "relay"
	// ownMost is how many entries of its own data center an entry tries, and headsOfEach
	// how many of each other one: who is not reached by so many is cut off from most.
	ownMost     = 4
	headsOfEach = 2
)

// Candidates returns the entries to follow, the first to be tried first: those of the own
// data center that rank before this one, and then the first ones of the other data
// centers that do. So the first entry of all asks the platform, the first of each other
// data center follows it, and the rest follow the first of theirs.
func Candidates(self protocol.EntryRecord, records []protocol.EntryRecord) []protocol.EntryRecord {
	var before []protocol.EntryRecord
	for _, r := range records {
		if precedes(r, self) {
			before = append(before, r)
		}
	}
	slices.SortFunc(before, compare)
	own := slices.DeleteFunc(leading(before, ownMost), func(r protocol.EntryRecord) bool { return r.DataCenter != self.DataCenter })
	others := slices.DeleteFunc(leading(before, headsOfEach), func(r protocol.EntryRecord) bool { return r.DataCenter == self.DataCenter })
	return append(own, others...)
}

// precedes reports whether an entry may be followed by another one.
func precedes(r, self protocol.EntryRecord) bool {
	return r.Name != self.Name && r.Peers != "" && compare(r, self) < 0
}

// leading returns the first ones of each data center among ranked entries, in order of rank.
func leading(ranked []protocol.EntryRecord, most int) []protocol.EntryRecord {
	var first []protocol.EntryRecord
	taken := make(map[string]int)
	for _, r := range ranked {
		if taken[r.DataCenter] < most {
			taken[r.DataCenter]++
			first = append(first, r)
		}
	}
	return first
}

// FallbackCallers returns how many entries there are that stand as this one does where nobody can confirm what
// the platform holds: 1 for the first ones of a data center, which the others try to follow and which
// have to find out by themselves, and all that are known for the others.
func FallbackCallers(self protocol.EntryRecord, records []protocol.EntryRecord) int {
	own := 0
	for _, r := range records {
		if r.DataCenter == self.DataCenter && precedes(r, self) {
			own++
		}
	}
	if own < ownMost {
		return 1
	}
	return len(records)
}

// compare orders entries by rank. Larger VMs come first: who is followed sends all that
// is known to as many as there are, over its own link.
func compare(a, b protocol.EntryRecord) int {
	return cmp.Or(
		cmp.Compare(b.MemoryMB, a.MemoryMB),
		cmp.Compare(member.Score(work, b.Name), member.Score(work, a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// Query is what the judgement on a peer's answer depends on. Confirmed is a time at
// which the peer had all that the platform held, zero when it could not say; Held is
// the version that this entry has of the object that both confirm, Told the peer's.
// Followed says that others follow this entry, and Patience, from 0 to 1, where its own
// lies between the bounds. AskedAt is when this entry last called the platform because its
// peer could not confirm, Unanswered how many reads of the platform in a row had no answer,
// and FollowedAt when it began to follow the peer. Last is the last confirmation that this entry had
// from anybody, and Alike how many entries stand as it does.
type Query struct {
	Now             time.Time
	ConfirmedAt     time.Time
	LastConfirmedAt time.Time
	FallbackCallers int
	OwnVersion      uint64
	PeerVersion     uint64
	HasFollowers    bool
	Jitter          float64
	AskedAt         time.Time
	Unanswered      int
	FollowedAt      time.Time
}

// TrustedUntil returns until when what the peer confirmed is trusted.
func (q *Query) TrustedUntil() time.Time {
	till := q.ConfirmedAt.Add(MaxConfirmationAge)
	if !q.HasFollowers {
		till = till.Add(MinTrustExtension + time.Duration(q.Jitter*float64(MaxTrustExtension-MinTrustExtension)))
	}
	return till
}

// Action is what to do: Trust, Ask, Wait or Seek.
type Action interface{ action() }

// TrustPeer says that what is held was all there was at the peer's confirmation.
type TrustPeer struct{}

// AskPlatform says to ask the platform.
type AskPlatform struct{}

// Wait says to ask the peer again soon: the platform was asked a moment ago.
type Wait struct{}

// FindPeer says to look for a peer that knows more: other entries ask the platform.
type FindPeer struct{}

func (TrustPeer) action()   {}
func (AskPlatform) action() {}
func (Wait) action()        {}
func (FindPeer) action()    {}

// Decide decides what a peer's answer is worth.
func Decide(q Query) Action {
	fresh := !q.ConfirmedAt.IsZero() && !q.Now.After(q.TrustedUntil())
	switch {
	case fresh && q.OwnVersion >= q.PeerVersion:
		return TrustPeer{}
	case !q.Now.Before(q.askFrom()):
		return AskPlatform{}
	case q.shares() && !fresh:
		return FindPeer{}
	default:
		return Wait{}
	}
}

// shares reports whether so many entries stand alike that they share the calls.
func (q *Query) shares() bool { return q.FallbackCallers > askersMost }

// askFrom returns from when the platform may be asked again.
func (q *Query) askFrom() time.Time {
	switch {
	case q.shares():
		return q.askSharedFrom()
	case q.Unanswered > 1:
		return q.AskedAt.Add(AskBackoffInterval)
	default:
		return q.AskedAt.Add(AskInterval)
	}
}

// askSharedFrom is askFrom where entries share the calls. The first one of each is spread over a
// turn from the moment in which it was out of touch.
func (q *Query) askSharedFrom() time.Time {
	turn := AskBackoffInterval * time.Duration(q.FallbackCallers) / askersMost
	lost := q.FollowedAt
	for _, at := range []time.Time{q.ConfirmedAt, q.LastConfirmedAt} {
		if at.After(lost) {
			lost = at
		}
	}
	if q.AskedAt.After(lost) {
		return q.AskedAt.Add(turn)
	}
	first := min(turn, firstAskMost)
	return lost.Add(MaxConfirmationAge + time.Duration(q.Jitter*float64(first)))
}

// ShouldLeave reports whether a peer that could not confirm is to be left, now that the
// platform has answered this entry: only if it answered as fast as one that is well
// does, because then it is the peer that is in trouble; and not in the first moment,
// in which the peer may still be asking.
func ShouldLeave(q Query, answered time.Time) bool {
	return answered.Sub(q.Now) <= MaxHealthyCall && q.Now.Sub(q.FollowedAt) > MaxConfirmationAge
}
