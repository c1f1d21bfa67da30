// SPDX-License-Identifier: Apache-2.0

// Package pressure limits the bytes that an entry holds for callers that read slowly and for
// incoming requests. It does no I/O: an Account is what one caller's connection holds, a Budget
// limits the sum of all accounts.
//
//	var b pressure.Budget
//	b.SetLimit(64 << 20)
//	evicted, ok := b.Reserve(a, n, now) // before n more bytes are held; the evicted release theirs
//	b.Release(a, n, now)                // once the caller has read n bytes
//	switch d := b.Decide(a, now).(type) {
//	case pressure.Continue:    // continue to read from the engine
//	case pressure.Pause:       // stop reading from the engine, decide again at d.Until()
//	case pressure.DropAttempt: // end the attempt; resume elsewhere once the caller has read all
//	case pressure.Abort:       // abort the response
//	}
//
// An account may hold a share of the free bytes, as switches share their buffers among ports. With
// n slow callers at their allowance each holds share*limit/(1+share*n). The sum stays under the
// limit for any n, and there are always free bytes for one more. Teams are limited in the same way,
// so that the callers of one team leave part of the budget to the others.
package pressure

import (
	"cmp"
	"time"
)

const (
	// DefaultLimit is the budget in bytes if the settings do not set one.
	DefaultLimit = 64 << 20
	// resumableShare and nonResumableShare are the shares of the free bytes that one stream may
	// hold. A resumable stream only loses time when its attempt is dropped. Any other stream loses
	// its response, so it may hold more.
	resumableShare, nonResumableShare = 0.125, 0.5
	// maxResumableHeld is the most that a resumable stream holds, in bytes. This includes its
	// socket buffers, and leaves enough for two responses of typical size. Anything beyond is work
	// for the garbage collector, and the caller may never read it.
	maxResumableHeld = 80 << 10
	// teamShare is the share of the free bytes that the streams of one team may hold together. It
	// limits a team to half of the budget.
	teamShare = 1.0
	// minAllowance is what a stream may hold in bytes however little is free. It is a few events,
	// so that the stream makes progress whenever its caller reads.
	minAllowance = 4 << 10
	// pauseTimeout is the longest time for which a resumable stream leaves its engine unread.
	// Engines cut off a stream that is not read after some seconds. An attempt that this entry ends
	// before that can still be distinguished from a fault.
	pauseTimeout = 1500 * time.Millisecond
	// minStall is how long a caller must have read nothing before its response may be evicted. A
	// lost packet is retransmitted in less.
	minStall = time.Second
	// bodyShare is the share of the budget for request bodies. Responses in progress need the rest.
	bodyShare = 0.5
	// searchInterval is the pause after a search that found no account to evict. A search of 2,000
	// accounts takes 54 us (BenchmarkReserve), and each write would start one.
	searchInterval = 50 * time.Millisecond
	// nearLimitShare and belowLimitShare are the shares of the budget at which an entry starts and
	// stops to report that it is near its limit.
	nearLimitShare, belowLimitShare = 0.85, 0.6
)

// Account is what one caller's connection holds. The zero value holds nothing and its caller reads.
type Account struct {
	team         string
	priority     int // 0 is the most urgent
	resumable    bool
	held         int64     // bytes
	stalledSince time.Time // time since which the caller has read nothing of what is held
	pausedSince  time.Time // time since which the stream has been paused, zero if it is not
	evicted      bool
}

// Held returns the number of bytes that the account holds.
func (a *Account) Held() int64 { return a.held }

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool { return a.evicted }

// Budget limits what all accounts hold together. The zero value has DefaultLimit.
type Budget struct {
	limit      int64
	held       int64                 // bytes for callers
	bodyBytes  int64                 // bytes of requests
	teamBytes  map[string]int64      // bytes held for each team's callers
	holding    map[*Account]struct{} // accounts that hold bytes
	nearLimit  bool
	nextSearch time.Time // time from which to search for an account to evict again
}

// SetLimit sets the budget in bytes, DefaultLimit if it is not positive.
func (b *Budget) SetLimit(bytes int64) { b.limit = bytes }

// effectiveLimit returns the budget in bytes.
func (b *Budget) effectiveLimit() int64 {
	if b.limit <= 0 {
		return DefaultLimit
	}
	return b.limit
}

// Held returns the number of bytes held for callers.
func (b *Budget) Held() int64 { return b.held }

// BodyBytes returns the number of bytes of request bodies that are held.
func (b *Budget) BodyBytes() int64 { return b.bodyBytes }

// Assign sets the properties of the response that the connection of an account carries from now on:
// the team, the priority (0 is the most urgent), and whether a broken stream may resume elsewhere.
func (b *Budget) Assign(a *Account, team string, priority int, resumable bool) {
	held := a.held
	b.add(a, -held)
	a.team, a.priority, a.resumable = team, priority, resumable
	b.add(a, held)
}

// free returns the number of free bytes. It is negative after a lower limit is set.
func (b *Budget) free() int64 { return b.effectiveLimit() - b.held - b.bodyBytes }

// Reserve reserves n more bytes for an account. If necessary, it evicts accounts whose callers have
// read nothing for a while, none of them more urgent than a. Evicted accounts hold nothing from
// then on. If there are not enough free bytes it reports false and changes nothing else.
func (b *Budget) Reserve(a *Account, n int64, now time.Time) (evicted []*Account, ok bool) {
	for !a.evicted && n <= b.effectiveLimit() && b.free() < n {
		v := b.victim(a, now)
		if v == nil {
			return evicted, false
		}
		b.evict(v)
		evicted = append(evicted, v)
	}
	if a.evicted || b.free() < n {
		return evicted, false
	}
	if a.held == 0 {
		a.stalledSince = now
	}
	b.add(a, n)
	return evicted, true
}

// Release releases n bytes that the caller has read.
func (b *Budget) Release(a *Account, n int64, now time.Time) {
	if a.evicted {
		return
	}
	a.stalledSince = now
	b.add(a, -n)
}

// Close releases all bytes of an account.
func (b *Budget) Close(a *Account) { b.add(a, -a.held) }

// End releases all bytes of an account whose caller has taken everything. An account that was evicted meanwhile may hold
// bytes again: there is nothing left to abort.
func (b *Budget) End(a *Account) {
	b.Close(a)
	a.evicted = false
}

// evict releases all bytes of an account until it ends.
func (b *Budget) evict(a *Account) {
	b.Close(a)
	a.evicted = true
}

// add adds n bytes, which may be negative, to an account, its team and the total.
func (b *Budget) add(a *Account, n int64) {
	if n == 0 {
		return
	}
	if b.holding == nil {
		b.holding, b.teamBytes = make(map[*Account]struct{}), make(map[string]int64)
	}
	a.held += n
	b.held += n
	b.teamBytes[a.team] += n
	if b.teamBytes[a.team] == 0 {
		delete(b.teamBytes, a.team)
	}
	if a.held == 0 {
		delete(b.holding, a)
		return
	}
	b.holding[a] = struct{}{}
}

// victim returns the account to evict first for another one, or nil if all callers have read
// recently. The order is: the least urgent, then resumable streams, then the team that holds most,
// and within it the account with the largest product of bytes and time without a read. A more
// urgent account is never evicted: otherwise a burst of new callers, none of which has stalled for
// long, would evict it.
func (b *Budget) victim(requester *Account, now time.Time) *Account {
	if now.Before(b.nextSearch) {
		return nil
	}
	var first *Account
	for a := range b.holding {
		if now.Sub(a.stalledSince) >= minStall && (first == nil || b.compareVictims(a, first, now) < 0) {
			first = a
		}
	}
	switch {
	case first == nil:
		b.nextSearch = now.Add(searchInterval)
	case first.priority < requester.priority:
		return nil
	}
	return first
}

// compareVictims compares two accounts. The one to evict first sorts first.
func (b *Budget) compareVictims(x, y *Account, now time.Time) int {
	weight := func(a *Account) float64 { return float64(a.held) * now.Sub(a.stalledSince).Seconds() }
	return cmp.Or(
		cmp.Compare(y.priority, x.priority),
		trueFirst(x.resumable, y.resumable),
		cmp.Compare(b.teamBytes[y.team], b.teamBytes[x.team]),
		cmp.Compare(weight(y), weight(x)),
	)
}

// trueFirst sorts true before false.
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

// ReserveBody reserves n bytes for a request body, and reports whether it could. A negative n
// releases bytes, which always succeeds.
func (b *Budget) ReserveBody(n int64) bool {
	if n > 0 && (b.free() < n || float64(b.bodyBytes+n) > bodyShare*float64(b.effectiveLimit())) {
		return false
	}
	b.bodyBytes += n
	return true
}

// NearLimit reports whether the entry is near the limit of its budget. It remains so until clearly
// less is held.
func (b *Budget) NearLimit() bool {
	used := float64(b.held+b.bodyBytes) / float64(b.effectiveLimit())
	b.nearLimit = used >= nearLimitShare || b.nearLimit && used > belowLimitShare
	return b.nearLimit
}
