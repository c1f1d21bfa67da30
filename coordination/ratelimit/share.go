// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinerun.example/pinerun/protocol"
)

const (
	// takeMargin is how much less than one request may be in a bucket for one to be taken: sums of
	// small parts are not exact.
	takeMargin = 1e-6
	// noShareRetry is when an entry without a share may have one: a loan comes within some tens of
	// milliseconds, if an entry has no use for its share.
	noShareRetry = time.Second
)

// members are the entries that may hold shares.
type members struct {
	self    string
	hashes  []uint64 // of the names of all entries
	version uint64   // increases with each change
}

// set sets the entries. As long as this entry is not among them the others do not count it, so it
// knows none.
func (m *members) set(self string, names []string) {
	m.self, m.hashes = self, nil
	m.version++
	if !slices.Contains(names, self) {
		return
	}
	for _, name := range names {
		m.hashes = append(m.hashes, xxhash.Sum64String(name))
	}
}

// rank returns how many members come before an entry at an endpoint.
func (m *members) rank(entry, endpoint string) int {
	salt := xxhash.Sum64String(endpoint)
	own, before := score(xxhash.Sum64String(entry), salt), 0
	for _, hash := range m.hashes {
		if score(hash, salt) > own {
			before++
		}
	}
	return before
}

// score ranks an entry at an endpoint, given the hashes of both. It mixes them as splitmix64 does.
func score(entry, endpoint uint64) uint64 {
	x := entry ^ bits.RotateLeft64(endpoint, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ownShare is the share of a limit that this entry holds by its name.
type ownShare struct {
	version uint64 // of the members from which entries and rank follow
	entries int
	rank    int       // how many entries come before this one
	lentTo  string    // "" if the share was never lent
	lent    float64   // the fraction of the limit that is lent
	backAt  time.Time // when this entry may use all of the share again
}

// bucket holds the requests that this entry may send at once. The zero value is empty.
type bucket struct {
	requests float64
	filledAt time.Time
}

// shares returns into how many shares the limit is divided.
func (s *endpointState) shares() int { return min(s.share.entries, maxShares(s.limit)) }

// holdsShare reports whether this entry holds a share, lent or not.
func (s *endpointState) holdsShare() bool { return s.share.rank < s.shares() }

// usable returns the fraction of the limit that a loan is worth to its borrower. After a change of
// the limit there may be more shares, or the lender may hold none.
func (s *endpointState) usable(l *loan) float64 {
	shares := s.shares()
	if l.lenderRank >= shares {
		return 0
	}
	return min(l.share, 1/float64(shares))
}

// kept returns the fraction of the limit that this entry may use of its share while the rest is lent.
func (s *endpointState) kept() float64 { return max(0, 1/float64(s.shares())-s.share.lent) }

// fraction returns the fraction of the limit that this entry may use.
func (s *endpointState) fraction(now time.Time) float64 {
	f := 0.0
	if s.holdsShare() {
		f = s.kept()
		if !now.Before(s.share.backAt) {
			f = 1 / float64(s.shares())
		}
	}
	for _, p := range s.peers {
		if p.loan.ours && now.Before(p.loan.until) {
			f += s.usable(&p.loan)
		}
	}
	return f
}

// refill adds to the bucket what has come since it was last filled.
func (s *endpointState) refill(now time.Time) {
	b := &s.bucket
	if now.After(b.filledAt) && s.limit > 0 {
		b.requests += s.limit * s.earned(b.filledAt, now)
	}
	b.filledAt = later(b.filledAt, now)
	b.requests = min(b.requests, s.capacity(now))
}

// earned returns the seconds between two times, each multiplied by the fraction of the limit that
// this entry could use then.
func (s *endpointState) earned(from, to time.Time) float64 {
	seconds := 0.0
	if s.holdsShare() {
		back := earlier(later(from, s.share.backAt), to)
		seconds = back.Sub(from).Seconds()*s.kept() + to.Sub(back).Seconds()/float64(s.shares())
	}
	for _, p := range s.peers {
		begin, end := later(from, p.loan.from), earlier(to, p.loan.until)
		if p.loan.ours && begin.Before(end) {
			seconds += end.Sub(begin).Seconds() * s.usable(&p.loan)
		}
	}
	return seconds
}

// capacity returns how many requests the bucket holds: this entry's part of what all entries
// together may send at once, at least one with any share.
func (s *endpointState) capacity(now time.Time) float64 {
	f := s.fraction(now)
	if f == 0 {
		return 0
	}
	return max(1, float64(int(float64(maxShares(s.limit))*f+takeMargin)))
}

// nextAt returns when this entry may send a request, now or earlier if it may at once.
func (s *endpointState) nextAt(now time.Time) time.Time {
	s.refill(now)
	missing := 1 - takeMargin - s.bucket.requests
	if missing <= 0 {
		return now
	}
	f := s.fraction(now)
	if f == 0 {
		return now.Add(noShareRetry)
	}
	return now.Add(time.Duration(missing / (s.limit * f) * float64(time.Second)))
}

// NextAt returns when this entry may send the next request to an endpoint, now or earlier if it may
// at once.
func (t *Tracker) NextAt(target protocol.EndpointProcess, now time.Time) time.Time {
	s := t.limited(target)
	if s == nil {
		return now
	}
	t.updateShare(s, now)
	return s.nextAt(now)
}

// TakeAll takes one request from this entry's share of each of some endpoints, and reports whether
// all allow it. If one does not, it takes none.
func (t *Tracker) TakeAll(targets []protocol.EndpointProcess, now time.Time) bool {
	for i := range targets {
		if t.NextAt(targets[i], now).After(now) {
			return false
		}
	}
	for i := range targets {
		if s := t.limited(targets[i]); s != nil {
			s.bucket.requests--
			s.used.add(now)
		}
	}
	return true
}

// updateShare applies a change of the members to this entry's share.
func (t *Tracker) updateShare(s *endpointState, now time.Time) {
	if s.share.version == t.members.version {
		return
	}
	s.refill(now)
	s.share.version, s.share.entries = t.members.version, len(t.members.hashes)
	s.share.rank = t.members.rank(t.members.self, s.endpoint)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
