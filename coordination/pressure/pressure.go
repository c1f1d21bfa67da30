// SPDX-License-Identifier: Apache-2.0

// Package pressure bounds the bytes that an entry holds for callers who read slowly, and
// for requests that come in. It is pure: an Account is what one caller's connection holds,
// a Budget the sum of all.
//
//	var b pressure.Budget
//	b.Limit(64 << 20)
//	ended, ok := b.Hold(a, n, now) // before n bytes more are held; the ended give theirs back
//	b.Release(a, n, now)           // once the caller has taken n
//	switch d := b.Look(a, now).(type) {
//	case pressure.GoOn: // read on from the engine
//	case pressure.Stop: // leave the engine's bytes unread, look again at d.Till()
//	case pressure.Drop: // end the send; go on elsewhere once the caller has read all
//	case pressure.End:  // break the answer off
//	}
//
// How much one may hold is a share of what is free, as switches share their buffers among
// ports: with n slow callers at their bound each has share*limit/(1+share*n), so the sum
// stays under the limit however many they are, and a further one still finds room. Teams
// are bounded in the same way, so that one team's callers leave the others theirs.
package pressure

import (
	"cmp"
	"time"
)

const (
	// DefaultLimit is the budget in bytes where the settings name no memory.
	DefaultLimit = 64 << 20
	// resumeShare and onceShare are the parts of what is free that one stream may hold. One
	// that can go on elsewhere loses time only when its engine is left; one that can't loses
	// its answer, so it may hold more.
	resumeShare, onceShare = 0.125, 0.5
	// resumeMost is the most that a stream which can go on elsewhere holds, in bytes, its
	// sockets included: beside those two answers of the usual size. What is held beyond is
	// work for the collector, and the caller may never read it.
	resumeMost = 80 << 10
	// teamShare is the part of what is free that the streams of one team may hold
	// together, so at most half of the budget.
	teamShare = 1.0
	// leastHeld is what a stream may hold however little is free, in bytes: a few events, so
	// that it moves on each time that its caller reads.
	leastHeld = 4 << 10
	// engineBears is how long an engine's answer is left unread. Engines cut off after some
	// seconds; a send that is ended before can still be told apart from a fault.
	engineBears = 1500 * time.Millisecond
	// quietLeast is how long a caller has read nothing before its answer may be ended for
	// the room that it holds. A lost packet is sent again in less.
	quietLeast = time.Second
	// bodyShare is the part of the budget up to which request bodies are taken in: what is
	// under way needs the rest.
	bodyShare = 0.5
	// searchEvery is how often the accounts are searched for one that gives way while none
	// does: a search of 2,000 takes 54 us (BenchmarkHold), and each write would ask for one.
	searchEvery = 50 * time.Millisecond
	// nearShare and clearShare are the parts of the budget from which an entry calls itself
	// near its end, and under which it no longer does.
	nearShare, clearShare = 0.85, 0.6
)

// Account is what one caller's connection holds. The zero value holds nothing and is
// reading well.
type Account struct {
	team      string
	rank      int // 0 is the most urgent
	resumable bool
	held      int64     // bytes
	quiet     time.Time // since when the caller has read nothing of what is held
	stopped   time.Time // since when its engine is left unread, zero if it is read
	ended     bool
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 { return a.held }

// Evicted reports whether the account was ended to make room.
func (a *Account) Evicted() bool { return a.ended }

// Budget is what all accounts may hold together. The zero value has DefaultLimit.
type Budget struct {
	limit  int64
	held   int64                 // bytes for callers
	bodies int64                 // bytes of requests
	teams  map[string]int64      // bytes held for each team's callers
	slow   map[*Account]struct{} // accounts that hold something
	near   bool
	search time.Time // from when to look again who gives way
}

// SetLimit sets the budget in bytes, DefaultLimit if it is not positive.
func (b *Budget) SetLimit(bytes int64) { b.limit = bytes }

// most returns the budget in bytes.
func (b *Budget) most() int64 {
	if b.limit <= 0 {
		return DefaultLimit
	}
	return b.limit
}

// Held returns the bytes held for callers.
func (b *Budget) Held() int64 { return b.held }

// BodyBytes returns the bytes of requests that are held.
func (b *Budget) BodyBytes() int64 { return b.bodies }

// Assign tells whose answer an account's connection carries from now on: the team, the rank
// (0 is the most urgent), and whether a broken stream may go on elsewhere.
func (b *Budget) Assign(a *Account, team string, rank int, resumable bool) {
	held := a.held
	b.add(a, -held)
	a.team, a.rank, a.resumable = team, rank, resumable
	b.add(a, held)
}

// free returns the bytes that nobody holds, negative once a lower limit is set.
func (b *Budget) free() int64 { return b.most() - b.held - b.bodies }

// Reserve takes room for n bytes more, where needed by ending accounts whose callers have read
// nothing for a while, none more urgent than a; the ended hold nothing from now on. Without
// room it changes nothing but those, and reports false.
func (b *Budget) Reserve(a *Account, n int64, now time.Time) (ended []*Account, ok bool) {
	for !a.ended && n <= b.most() && b.free() < n {
		v := b.slowest(a, now)
		if v == nil {
			return ended, false
		}
		b.end(v)
		ended = append(ended, v)
	}
	if a.ended || b.free() < n {
		return ended, false
	}
	if a.held == 0 {
		a.quiet = now
	}
	b.add(a, n)
	return ended, true
}

// Release gives back n bytes that the caller took.
func (b *Budget) Release(a *Account, n int64, now time.Time) {
	if a.ended {
		return
	}
	a.quiet = now
	b.add(a, -n)
}

// Close gives back all that the account holds.
func (b *Budget) Close(a *Account) { b.add(a, -a.held) }

// end takes from an account all that it holds, for good.
func (b *Budget) end(a *Account) {
	b.Close(a)
	a.ended = true
}

// add counts n bytes more, or fewer, at an account, its team and the whole.
func (b *Budget) add(a *Account, n int64) {
	if n == 0 {
		return
	}
	if b.slow == nil {
		b.slow, b.teams = make(map[*Account]struct{}), make(map[string]int64)
	}
	a.held += n
	b.held += n
	b.teams[a.team] += n
	if b.teams[a.team] == 0 {
		delete(b.teams, a.team)
	}
	if a.held == 0 {
		delete(b.slow, a)
		return
	}
	b.slow[a] = struct{}{}
}

// slowest returns who gives way first to an account, or nil if all have read lately: the
// least urgent, then who loses time only, then the team that holds most, and of it who holds
// most for as long as it has read nothing. Who is more urgent does not give way: a crowd of
// others that just came, of whom none has been quiet for long, would end it.
func (b *Budget) slowest(to *Account, now time.Time) *Account {
	if now.Before(b.search) {
		return nil
	}
	var worst *Account
	for a := range b.slow {
		if now.Sub(a.quiet) >= quietLeast && (worst == nil || b.givesWay(a, worst, now) < 0) {
			worst = a
		}
	}
	switch {
	case worst == nil:
		b.search = now.Add(searchEvery)
	case worst.rank < to.rank:
		return nil
	}
	return worst
}

// givesWay compares two accounts, the one that gives way first before the other.
func (b *Budget) givesWay(x, y *Account, now time.Time) int {
	weight := func(a *Account) float64 { return float64(a.held) * now.Sub(a.quiet).Seconds() }
	return cmp.Or(
		cmp.Compare(y.rank, x.rank),
		trueFirst(x.resumable, y.resumable),
		cmp.Compare(b.teams[y.team], b.teams[x.team]),
		cmp.Compare(weight(y), weight(x)),
	)
}

// trueFirst orders true before false.
func trueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// ReserveBody takes room for n bytes of a request, and reports whether there is any. A negative n
// gives room back, which always works.
func (b *Budget) ReserveBody(n int64) bool {
	if n > 0 && (b.free() < n || float64(b.bodies+n) > bodyShare*float64(b.most())) {
		return false
	}
	b.bodies += n
	return true
}

// NearLimit reports whether the entry is near the end of its budget, and stays so until clearly
// less is held.
func (b *Budget) NearLimit() bool {
	used := float64(b.held+b.bodies) / float64(b.most())
	b.near = used >= nearShare || b.near && used > clearShare
	return b.near
}
