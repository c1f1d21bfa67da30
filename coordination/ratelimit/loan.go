// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pinerun.example/pinerun/protocol"
)

const (
	// wantInterval is how often an entry reports that it wants more, and wantTTL is how long that
	// report counts. One may be lost.
	wantInterval = 3 * time.Second
	wantTTL      = 7 * time.Second
	// idleAfter is how long an entry must have had no request for an endpoint to lend its share.
	idleAfter = time.Second
	// loanTTL is how long a borrower uses a share, and loanRenewal is the remaining time from which
	// the loan is extended.
	loanTTL     = 8 * time.Second
	loanRenewal = 4 * time.Second
	// loanMargin is how much longer than its borrower the holder of a share counts a loan: the
	// report of it may arrive late, and clocks differ in speed.
	loanMargin = 3 * time.Second
)

// loan is a share that another entry has lent.
type loan struct {
	borrower    string
	ours        bool    // this entry is the borrower
	share       float64 // fraction of the limit
	lenderRank  int
	from, until time.Time
}

// Want notes that this entry has a request for an endpoint. It returns the report that the entry
// wants more, if it does and its last one is old.
func (t *Tracker) Want(target protocol.EndpointProcess, now time.Time) (Report, bool) {
	s := t.limited(target)
	if s == nil {
		return Report{}, false
	}
	t.updateShare(s, now)
	s.wantedAt, s.usedAt = now, now
	if len(t.members.hashes) < 2 || now.Sub(s.announcedAt) < wantInterval || !s.nextAt(now).After(now) || s.wanters(now) >= maxShares(s.limit) {
		return Report{}, false
	}
	s.announcedAt = now
	return t.newReport(target, protocol.RateLimitWanted, s.limit, now), true
}

// wanters returns how many other entries want more.
func (s *endpointState) wanters(now time.Time) int {
	n := 0
	for _, p := range s.peers {
		if now.Before(p.wantsUntil) {
			n++
		}
	}
	return n
}

// ignoresWant reports whether a report that another entry wants more is of no use: as many others as
// could have a share want more already.
func (s *endpointState) ignoresWant(r *Report, now time.Time) bool {
	return r.Observation() == protocol.RateLimitWanted && s.limit > 0 && !s.wants(r.Observer(), now) && s.wanters(now) >= maxShares(s.limit)
}

// applyWant applies a report that another entry wants more, and reports whether to pass it on.
func (s *endpointState) applyWant(r *Report, now time.Time) bool {
	p := s.peers[r.Observer()]
	p.wantsUntil = r.at.Add(wantTTL)
	return now.Before(p.wantsUntil)
}

// applyLoan applies a report that another entry lends its share, and reports whether to pass it on.
func (t *Tracker) applyLoan(s *endpointState, r *Report, now time.Time) bool {
	until := r.at.Add(loanTTL)
	if !now.Before(until) {
		return false
	}
	t.updateShare(s, now)
	s.refill(now)
	p := s.peers[r.Observer()]
	from := now
	if p.loan.borrower == r.message.Borrower && now.Before(p.loan.until) {
		from = p.loan.from
	}
	p.loan = loan{
		borrower: r.message.Borrower, ours: r.message.Borrower == t.members.self, share: r.message.Share,
		lenderRank: t.members.rank(r.Observer(), s.endpoint), from: from, until: until,
	}
	return true
}

// Lend lends the shares for which this entry has no requests to entries that want more, and extends
// such loans. It returns the reports of that.
func (t *Tracker) Lend(now time.Time) []Report {
	var reports []Report
	for _, s := range t.endpoints {
		if r, ok := t.lendShare(s, now); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// lendShare lends or extends the loan of one share, if that is due.
func (t *Tracker) lendShare(s *endpointState, now time.Time) (Report, bool) {
	if s.limit == 0 || now.Sub(s.wantedAt) < idleAfter {
		return Report{}, false
	}
	t.updateShare(s, now)
	if !s.holdsShare() {
		return Report{}, false
	}
	borrower := t.nextBorrower(s, now)
	if borrower == "" {
		return Report{}, false
	}
	s.refill(now)
	s.share.lentTo, s.share.backAt = borrower, now.Add(loanTTL+loanMargin)
	s.refill(now) // drops what the bucket holds beyond the remaining shares
	r := t.newReport(protocol.EndpointProcess{ID: s.endpoint, Incarnation: s.incarnation}, protocol.RateLimitLent, s.limit, now)
	r.message.Borrower, r.message.Share = borrower, 1/float64(s.shares())
	return r, true
}

// nextBorrower returns the entry to which the share should be lent from now on, "" if that is not
// due. A loan can be extended before it ends, and go to another entry only once it has ended
// everywhere.
func (t *Tracker) nextBorrower(s *endpointState, now time.Time) string {
	loanEnd := s.share.backAt.Add(-loanMargin)
	switch {
	case !now.Before(s.share.backAt):
		return t.neediest(s, now)
	case now.Before(loanEnd) && loanEnd.Sub(now) <= loanRenewal && s.wants(s.share.lentTo, now):
		return s.share.lentTo
	default:
		return ""
	}
}

func (s *endpointState) wants(entry string, now time.Time) bool {
	p := s.peers[entry]
	return p != nil && now.Before(p.wantsUntil)
}

// neediest returns the entry that wants more and has borrowed the fewest shares, "" if none does.
// Of entries with equally many, lenders that know nothing of each other's choice take different ones.
func (t *Tracker) neediest(s *endpointState, now time.Time) string {
	borrowed := make(map[string]int)
	for _, p := range s.peers {
		if now.Before(p.loan.until) {
			borrowed[p.loan.borrower]++
		}
	}
	salt := xxhash.Sum64String(s.endpoint) ^ xxhash.Sum64String(t.members.self)
	best, bestScore := "", uint64(0)
	for name, p := range s.peers {
		if !now.Before(p.wantsUntil) {
			continue
		}
		nameScore := score(xxhash.Sum64String(name), salt)
		more := borrowed[name] - borrowed[best]
		if best == "" || more < 0 || more == 0 && nameScore > bestScore {
			best, bestScore = name, nameScore
		}
	}
	return best
}
