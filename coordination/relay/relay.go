// SPDX-License-Identifier: Apache-2.0

// Package relay decides from whom an entry learns what the platform's objects are,
// so that calls to the platform grow with data centers and not with entries.
//
// The entries of a data center rank themselves alike. Each follows the first of
// those ranked before it that it can reach; one that finds none asks the platform
// itself. Agreement does not rest on it: entries that differ about the ranking cost
// calls, never a promise, and nobody follows in a circle, since an entry follows
// only those ranked before it.
//
//	for _, r := range relay.Before(self, records) { ... } // whom to try, in order
//	switch relay.Judge(q).(type) {
//	case relay.Trust: // the peer knows as much as the platform told a moment ago
//	case relay.Ask:   // ask the platform
//	case relay.Wait:  // it was asked a moment ago; ask the peer again soon
//	}
package relay

import (
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/member"
	"pinerun.example/pinerun/protocol"
)

const (
	// FreshFor is how old a peer's confirmation may be. A new table must be in force
	// two seconds after it was accepted, where every entry reaches the platform: what
	// a peer that is cut off from it misses has to be found out within half of that.
	FreshFor = time.Second
	// QuickFor is how long a call to a platform that is well takes at most, many times
	// the 4 ms of the users' deployments. A slower one says nothing about the peer.
	QuickFor = 250 * time.Millisecond
	// AskedFirst is the least time between two calls to the platform by an entry whose
	// peer can't confirm: both may find the platform down, and each call has a price. An
	// entry that reaches it again counts as such after three seconds.
	AskedFirst = 1400 * time.Millisecond
	// AskedMost is that after more than one call without an answer.
	AskedMost = 2800 * time.Millisecond
)

// work names what entries are ranked for.
const work = "relay"

// Before returns the entries of an entry's data center that rank before it and serve
// peers, the first to be followed first.
func Before(self protocol.EntryRecord, records []protocol.EntryRecord) []protocol.EntryRecord {
	own := member.Score(work, self.Name)
	var before []protocol.EntryRecord
	for _, r := range records {
		if r.DataCenter != self.DataCenter || r.Name == self.Name || r.Peers == "" {
			continue
		}
		if precedes(member.Score(work, r.Name), r.Name, own, self.Name) {
			before = append(before, r)
		}
	}
	slices.SortFunc(before, func(a, b protocol.EntryRecord) int {
		if precedes(member.Score(work, a.Name), a.Name, member.Score(work, b.Name), b.Name) {
			return -1
		}
		return 1
	})
	return before
}

func precedes(score uint64, name string, other uint64, otherName string) bool {
	return score > other || score == other && name < otherName
}

// Query is what the judgement on a peer's answer depends on. Confirmed is a time at
// which the peer had all that the platform held, zero when it could not say; Held is
// the version that this entry has of the object that both confirm, Told the peer's.
// AskedAt is when this entry last called the platform because its peer could not
// confirm, Unanswered how many reads of the platform in a row had no answer, and
// FollowedAt when it began to follow the peer.
type Query struct {
	Now        time.Time
	Confirmed  time.Time
	Held       uint64
	Told       uint64
	AskedAt    time.Time
	Unanswered int
	FollowedAt time.Time
}

// Action is what to do: Trust, Ask or Wait.
type Action interface{ action() }

// Trust says that what is held was all there was at the peer's confirmation.
type Trust struct{}

// Ask says to ask the platform.
type Ask struct{}

// Wait says to ask the peer again soon: the platform was asked a moment ago.
type Wait struct{}

func (Trust) action() {}
func (Ask) action()   {}
func (Wait) action()  {}

// Judge decides what a peer's answer is worth.
func Judge(q Query) Action {
	fresh := !q.Confirmed.IsZero() && q.Now.Sub(q.Confirmed) <= FreshFor
	switch {
	case fresh && q.Held >= q.Told:
		return Trust{}
	case q.Now.Before(q.askFrom()):
		return Wait{}
	default:
		return Ask{}
	}
}

// askFrom returns from when the platform may be asked again.
func (q *Query) askFrom() time.Time {
	if q.Unanswered > 1 {
		return q.AskedAt.Add(AskedMost)
	}
	return q.AskedAt.Add(AskedFirst)
}

// Leave reports whether a peer that could not confirm is to be left, now that the
// platform has answered this entry: only if it answered as fast as one that is well
// does, because then it is the peer that is in trouble; and not in the first moment,
// in which the peer may still be asking.
func Leave(q Query, answered time.Time) bool {
	return answered.Sub(q.Now) <= QuickFor && q.Now.Sub(q.FollowedAt) > FreshFor
}
