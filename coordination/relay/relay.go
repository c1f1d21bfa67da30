// SPDX-License-Identifier: Apache-2.0

// Package relay decides from which peer an entry learns the state of the platform's objects, so
// that the number of calls to the platform does not grow with the number of entries.
//
// All entries rank each other in the same way. Each entry follows the first entry ranked before it
// that it can reach, and prefers those of its own data center. An entry that reaches none asks the
// platform itself. Correctness does not depend on a common ranking: entries that differ about it
// cause more calls but break no guarantee. Entries never follow each other in a cycle, since each
// follows only entries ranked before it.
//
//	for _, r := range relay.Candidates(self, records) { ... } // entries to follow, in order
//	switch relay.Decide(q).(type) {
//	case relay.TrustPeer:   // the peer knew what the platform held a moment ago
//	case relay.AskPlatform: // ask the platform
//	case relay.Wait:        // the platform was asked a moment ago; ask the peer again soon
//	case relay.FindPeer:    // other entries ask the platform; find a peer that knows more
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
	// MaxConfirmationAge is the largest age of a peer's confirmation that is trusted. Where every
	// entry reaches the platform, a new routing table must be in force two seconds after it was
	// accepted. Within half of that time, an entry must learn of changes that its peer has missed
	// because the peer is cut off from the platform.
	MaxConfirmationAge = time.Second
	// MaxStateAge is the largest age of any kind of objects at which an entry vouches for its state to its
	// followers. Two watches in a row that a platform at its slowest answers, and the pause between them,
	// take less.
	MaxStateAge = 3500 * time.Millisecond
	// MinTrustExtension is how much longer an entry without followers trusts its peer at least. The
	// extension is random for each entry. The peer itself asks after MaxConfirmationAge and passes
	// on what it learns, so that one call serves all its followers.
	MinTrustExtension = 200 * time.Millisecond
	// MaxTrustExtension is the largest such extension.
	MaxTrustExtension = 500 * time.Millisecond
	// MaxHealthyCall is the longest duration of a call to a healthy platform. It is many times the
	// 4 ms of the users' deployments. A slower call says nothing about the peer.
	MaxHealthyCall = 250 * time.Millisecond
	// AskInterval is the least time between two calls to the platform by an entry whose peer can't
	// confirm. The platform may be down for both of them, and each call has a cost. An entry that
	// reaches the platform again counts as connected after three seconds.
	AskInterval = 1400 * time.Millisecond
	// AskBackoffInterval is the same interval after more than one unanswered call.
	AskBackoffInterval = 2800 * time.Millisecond
	// maxCallers is how many entries may call the platform in each AskBackoffInterval while no peer
	// can confirm, in addition to the seed entries. If there are more entries, they share these
	// calls, so that the platform's load does not grow with the number of entries.
	maxCallers = 50
	// maxFirstAskDelay bounds the delay of an entry's first call. The entry may be the only one
	// that the platform serves, and a new routing table must be in force there in time.
	maxFirstAskDelay = 8 * time.Second
)

const (
	// rankKey is the key of the rendezvous hash that ranks entries.
	rankKey = "relay"
	// maxOwnCandidates is how many entries of its own data center an entry tries to follow, and
	// maxRemoteCandidates how many of each other data center. An entry that reaches none of so many
	// is cut off from most entries.
	maxOwnCandidates    = 4
	maxRemoteCandidates = 2
)

// Candidates returns the entries to follow, in the order in which to try them: first those of the
// own data center that rank before this entry, then the highest-ranked ones of the other data
// centers that do. The first entry of all asks the platform, the first of each other data center
// follows it, and the rest follow the first of their own data center.
func Candidates(self protocol.EntryRecord, records []protocol.EntryRecord) []protocol.EntryRecord {
	var preceding []protocol.EntryRecord
	for _, r := range records {
		if precedes(r, self) {
			preceding = append(preceding, r)
		}
	}
	slices.SortFunc(preceding, compareRank)
	own := slices.DeleteFunc(leadingOfEach(preceding, maxOwnCandidates), func(r protocol.EntryRecord) bool { return r.DataCenter != self.DataCenter })
	others := slices.DeleteFunc(leadingOfEach(preceding, maxRemoteCandidates), func(r protocol.EntryRecord) bool { return r.DataCenter == self.DataCenter })
	return append(own, others...)
}

// precedes reports whether the entry self may follow the entry r, because r ranks before it and
// accepts peers.
func precedes(r, self protocol.EntryRecord) bool {
	return r.Name != self.Name && r.PeerAddress != "" && compareRank(r, self) < 0
}

// leadingOfEach returns the first entries of each data center among ranked entries, in order of
// rank.
func leadingOfEach(ranked []protocol.EntryRecord, limit int) []protocol.EntryRecord {
	var leading []protocol.EntryRecord
	count := make(map[string]int)
	for _, r := range ranked {
		if count[r.DataCenter] < limit {
			count[r.DataCenter]++
			leading = append(leading, r)
		}
	}
	return leading
}

// FallbackCallers returns how many entries share the calls to the platform while no peer can
// confirm its state. It is 1 for the seed entries of a data center, which the others try to follow
// and which have to find out by themselves. It is the number of all known entries for the others.
func FallbackCallers(self protocol.EntryRecord, records []protocol.EntryRecord) int {
	preceding := 0
	for _, r := range records {
		if r.DataCenter == self.DataCenter && precedes(r, self) {
			preceding++
		}
	}
	if preceding < maxOwnCandidates {
		return 1
	}
	return len(records)
}

// compareRank orders entries by rank. Entries on larger VMs come first, because an entry that is
// followed sends everything that it knows to all its followers over its own link.
func compareRank(a, b protocol.EntryRecord) int {
	return cmp.Or(
		cmp.Compare(b.MemoryMB, a.MemoryMB),
		cmp.Compare(member.Score(rankKey, b.Name), member.Score(rankKey, a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// Query holds everything that the decision about a peer's answer depends on.
type Query struct {
	Now time.Time
	// ConfirmedAt is a time at which the peer had every change that the platform held. It is zero
	// if the peer could not confirm.
	ConfirmedAt time.Time
	// LastConfirmedAt is the last confirmation that this entry had from any source.
	LastConfirmedAt time.Time
	// FallbackCallers is the result of the function FallbackCallers.
	FallbackCallers int
	// OwnVersion is the version that this entry has of the confirmed object, and PeerVersion that
	// of the peer.
	OwnVersion  protocol.Revision
	PeerVersion protocol.Revision
	// HasFollowers says that other entries follow this one.
	HasFollowers bool
	// Jitter is a random number from 0 to 1 that is drawn for each followed peer. It spreads the
	// times at which entries ask.
	Jitter float64
	// AskedAt is when this entry last called the platform because its peer could not confirm.
	AskedAt time.Time
	// Unanswered is how many reads of the platform in a row had no answer.
	Unanswered int
	// FollowedAt is when this entry began to follow the peer.
	FollowedAt time.Time
}

// TrustedUntil returns until when the peer's confirmation is trusted.
func (q *Query) TrustedUntil() time.Time {
	until := q.ConfirmedAt.Add(MaxConfirmationAge)
	if !q.HasFollowers {
		until = until.Add(MinTrustExtension + time.Duration(q.Jitter*float64(MaxTrustExtension-MinTrustExtension)))
	}
	return until
}

// Action is TrustPeer, AskPlatform, Wait or FindPeer.
type Action interface{ action() }

// TrustPeer says that this entry held everything that the platform held at the time of the peer's
// confirmation.
type TrustPeer struct{}

// AskPlatform says to ask the platform.
type AskPlatform struct{}

// Wait says to ask the peer again soon, because the platform was asked a moment ago.
type Wait struct{}

// FindPeer says to find a peer that knows more, because other entries ask the platform.
type FindPeer struct{}

func (TrustPeer) action()   {}
func (AskPlatform) action() {}
func (Wait) action()        {}
func (FindPeer) action()    {}

// Decide returns what to do after a peer's answer.
func Decide(q Query) Action {
	fresh := !q.ConfirmedAt.IsZero() && !q.Now.After(q.TrustedUntil())
	switch {
	case fresh && (q.PeerVersion.IsZero() || !q.OwnVersion.Before(q.PeerVersion)):
		return TrustPeer{}
	case !q.Now.Before(q.nextAskAt()):
		return AskPlatform{}
	case q.sharesCalls() && !fresh:
		return FindPeer{}
	default:
		return Wait{}
	}
}

// sharesCalls reports whether so many entries are in the same situation that they share the calls.
func (q *Query) sharesCalls() bool { return q.FallbackCallers > maxCallers }

// nextAskAt returns the time from which the platform may be asked again.
func (q *Query) nextAskAt() time.Time {
	switch {
	case q.sharesCalls():
		return q.nextSharedAskAt()
	case q.Unanswered == 0 && q.AskedAt.Before(q.FollowedAt):
		return q.FollowedAt // that call was about another peer, and the platform answered
	case q.Unanswered > 1:
		return q.AskedAt.Add(AskBackoffInterval)
	default:
		return q.AskedAt.Add(AskInterval)
	}
}

// nextSharedAskAt is nextAskAt for entries that share the calls. It spreads the first call of each
// entry over one interval, beginning at the time when the entry lost contact with the platform.
func (q *Query) nextSharedAskAt() time.Time {
	interval := AskBackoffInterval * time.Duration(q.FallbackCallers) / maxCallers
	lostContactAt := q.FollowedAt
	for _, at := range []time.Time{q.ConfirmedAt, q.LastConfirmedAt} {
		if at.After(lostContactAt) {
			lostContactAt = at
		}
	}
	if q.AskedAt.After(lostContactAt) {
		return q.AskedAt.Add(interval)
	}
	maxDelay := min(interval, maxFirstAskDelay)
	return lostContactAt.Add(MaxConfirmationAge + time.Duration(q.Jitter*float64(maxDelay)))
}

// ShouldStopFollowing reports whether this entry should stop following a peer that could not
// confirm, now that the platform has answered this entry. It does so only if the platform answered
// as fast as a healthy one does, because only then the fault is with the peer. It does not do so while
// the peer may still be asking: its last confirmation, or the moment at which it was followed if it
// had none, is recent.
func ShouldStopFollowing(q Query, answered time.Time) bool {
	since := q.ConfirmedAt
	if since.IsZero() {
		since = q.FollowedAt
	}
	return answered.Sub(q.Now) <= MaxHealthyCall && q.Now.Sub(since) > MaxConfirmationAge
}
