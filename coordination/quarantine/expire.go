// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// expire forgets what has lapsed.
func (b *Tracker) expire(now time.Time) {
	if now.Sub(b.expired) < expireEvery {
		return
	}
	b.expired = now
	for f, w := range b.works {
		if now.Sub(w.keptTill) > Retention {
			w.keptTill = time.Time{}
		}
		b.expireEnds(f, w, now)
		if len(w.ends) == 0 && w.keptTill.IsZero() && now.Sub(w.clearedAt) > UnconfirmedRetention {
			delete(b.works, f)
		}
	}
	for id, d := range b.gone {
		if now.Sub(d.at) > Retention {
			delete(b.gone, id)
		}
	}
	b.expireTrials(now)
}

// expireEnds forgets the ends of some work that count no longer. Those of refused work count
// until it may come no more.
func (b *Tracker) expireEnds(f protocol.Fingerprint, w *work, now time.Time) {
	proven := w.count(now).proven()
	till := w.last().Add(Retention)
	if proven >= refusedFrom {
		till = w.last().Add(refuseFor<<min(refuseDoublings, proven-refusedFrom) + Retention)
	}
	for e, s := range w.ends {
		if now.After(till) || !s.proven && now.Sub(s.at) > UnconfirmedRetention {
			delete(w.ends, e)
			b.leave(f, e)
		}
	}
}

// forgetOldest forgets the oldest end of some work.
func (b *Tracker) forgetOldest(f protocol.Fingerprint, w *work) {
	var oldest end
	first := true
	for e, s := range w.ends {
		if first || s.at.Before(w.ends[oldest].at) {
			oldest, first = e, false
		}
	}
	delete(w.ends, oldest)
	b.leave(f, oldest)
}

// forgetLeast makes room for other work: it forgets the work that was at the fewest ends, the
// oldest of it first. It takes a part at once, since an outage brings thousands of pieces.
func (b *Tracker) forgetLeast(now time.Time) {
	all := make([]page, 0, len(b.works))
	for f, w := range b.works {
		n := w.count(now).proven()
		if !w.keptTill.IsZero() {
			n = max(n, refusedFrom)
		}
		all = append(all, page{work: f, ends: n, last: w.last()})
	}
	slices.SortFunc(all, func(a, b page) int { return cmp.Or(cmp.Compare(a.ends, b.ends), a.last.Compare(b.last)) })
	for _, p := range all[:len(all)/forgetPart] {
		for e := range b.works[p.work].ends {
			b.leave(p.work, e)
		}
		delete(b.works, p.work)
	}
}

// page is what decides which work is forgotten.
type page struct {
	work protocol.Fingerprint
	ends int
	last time.Time
}
