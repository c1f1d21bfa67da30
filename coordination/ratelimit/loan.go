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
	wantInterval = time.Second
	wantTTL      = 2500 * time.Millisecond
	// leastLent is the least part of a share that is worth lending, or adding to a loan.
	leastLent = 0.3
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
	returnedAt  time.Time // when this entry gave the last loan of that lender back
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
	if r.message.Borrower == t.members.self && s.share.lentTo == r.Observer() && now.Before(s.share.backAt) {
		s.share.lentTo, s.share.lent, s.share.backAt = "", 0, now // the borrower gave it back
		return true
	}
	p := s.peers[r.Observer()]
	if now.Sub(p.loan.returnedAt) < loanMargin {
		return true // sent before the lender knew that it has the share back
	}
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

// lendShare lends, extends or adds to the loan of one share, or gives a loan back, if that is due.
func (t *Tracker) lendShare(s *endpointState, now time.Time) (Report, bool) {
	if s.limit == 0 {
		return Report{}, false
	}
	t.updateShare(s, now)
	if lender := s.needlessLoan(now); lender != "" {
		return t.giveBack(s, lender, now), true
	}
	if !s.holdsShare() || now.Sub(s.announcedAt) < wantTTL {
		return Report{}, false
	}
	borrower, share := t.nextLoan(s, now)
	if borrower == "" {
		return Report{}, false
	}
	s.refill(now)
	s.share.lentTo, s.share.lent, s.share.backAt = borrower, share, now.Add(loanTTL+loanMargin)
	s.refill(now) // drops what the bucket holds beyond the remaining shares
	return t.newLoan(s, borrower, share, now), true
}

// newLoan returns the report of a loan.
func (t *Tracker) newLoan(s *endpointState, borrower string, share float64, now time.Time) Report {
	r := t.newReport(protocol.EndpointProcess{ID: s.endpoint, Incarnation: s.incarnation}, protocol.RateLimitLent, s.limit, now)
	r.message.Borrower, r.message.Share = borrower, share
	return r
}

// needlessLoan returns the lender of the largest loan without which this entry has more than it needs, "" if there is
// none.
func (s *endpointState) needlessLoan(now time.Time) string {
	spare := s.fraction(now) - s.used.needed(now)/s.limit
	lender, largest := "", 0.0
	for name, p := range s.peers {
		if !p.loan.ours || !now.Before(p.loan.until) || now.Sub(p.loan.from) < usageWindow {
			continue
		}
		if f := s.usable(&p.loan); f <= spare && (f > largest || f == largest && name < lender) {
			lender, largest = name, f
		}
	}
	return lender
}

// giveBack ends the use of a loan and returns the report to its lender.
func (t *Tracker) giveBack(s *endpointState, lender string, now time.Time) Report {
	s.refill(now)
	p := s.peers[lender]
	share := p.loan.share
	p.loan = loan{returnedAt: now}
	s.refill(now) // drops what the bucket holds beyond the remaining shares
	return t.newLoan(s, lender, share, now)
}

// spareShare returns the fraction of the limit that this entry does not need of its share.
func (s *endpointState) spareShare(now time.Time) float64 {
	share := 1 / float64(s.shares())
	spare := min(share, share-s.used.needed(now)/s.limit)
	if spare < leastLent*share {
		return 0
	}
	return spare
}

// nextLoan returns the entry to which a part of the share should be lent from now on, and which part, "" if that is not
// due. A loan can be extended or added to before it ends, and go to another entry only once it has ended everywhere.
func (t *Tracker) nextLoan(s *endpointState, now time.Time) (borrower string, share float64) {
	spare, loanEnd := s.spareShare(now), s.share.backAt.Add(-loanMargin)
	more := spare >= s.share.lent+leastLent/float64(s.shares())
	switch {
	case spare == 0:
		return "", 0
	case !now.Before(s.share.backAt):
		return t.neediest(s, now), spare
	case now.Before(loanEnd) && (loanEnd.Sub(now) <= loanRenewal || more) && s.wants(s.share.lentTo, now) && spare >= s.share.lent:
		return s.share.lentTo, spare
	default:
		return "", 0
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
