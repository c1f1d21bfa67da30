// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Status returns what some work may do now.
func (b *Tracker) Status(f protocol.Fingerprint, now time.Time) Status {
	w := b.works[f]
	if w == nil {
		return Unrestricted{}
	}
	if r, ok := b.refused(f, w, now); ok {
		return r
	}
	known := w.count(now)
	switch {
	case known.most() == 0:
		return Unrestricted{}
	case known.most() < aloneFrom:
		return PreferIsolation{}
	}
	if till := w.doubtTill(now); !till.IsZero() {
		return Waiting{till: till}
	}
	if known.proven() == 0 {
		return PreferIsolation{}
	}
	if known.proven() >= refusedFrom {
		if till := w.last().Add(settleFor); now.Before(till) {
			return Waiting{till: till}
		}
	}
	if till := b.underTrial(f, now); !till.IsZero() {
		return Waiting{till: till}
	}
	return RequireIsolation{}
}

// refused returns the refusal of work that is refused now.
func (b *Tracker) refused(f protocol.Fingerprint, w *work, now time.Time) (Refused, bool) {
	known := w.count(now)
	proven := known.proven()
	r := Refused{ends: proven, till: w.keptTill}
	if now.Before(r.till) {
		return r, true
	}
	if proven < refusedFrom || now.Before(w.last().Add(settleFor)) {
		return Refused{}, false
	}
	r.till = w.last().Add(refuseFor << min(refuseDoublings, proven-refusedFrom))
	if !now.Before(r.till) || known.first < refusedAnyway && !b.stands(f, w) {
		return Refused{}, false
	}
	return r, true
}

// stands reports whether work was at an end, after two others, where no other work had been at
// an earlier one: that was its trial. What else was there began to run there for the first time.
func (b *Tracker) stands(f protocol.Fingerprint, w *work) bool {
	for e, s := range w.ends {
		if s.proven && w.before(s.at) >= aloneFrom && b.aloneAt(f, e, s.at) && !b.explained(f, e) {
			return true
		}
	}
	return false
}

// aloneAt reports whether no other work at an end had been at an earlier one.
func (b *Tracker) aloneAt(f protocol.Fingerprint, e end, at time.Time) bool {
	for other := range b.ends[e] {
		if other != f && b.works[other].before(at) > 0 {
			return false
		}
	}
	return true
}

// explained reports whether other work at an end is refused, and so known to have ended it. It
// may have come for the first time, to where this one was tried.
func (b *Tracker) explained(f protocol.Fingerprint, e end) bool {
	for other := range b.ends[e] {
		if other != f && b.works[other].told && len(b.works[other].ends) >= len(b.works[f].ends) {
			return true
		}
	}
	return false
}

// before returns at how many ends that count the work was before a time, those of that moment
// left out.
func (w *work) before(at time.Time) int {
	var t tally
	for _, s := range w.ends {
		switch {
		case !s.proven || !s.at.Before(at.Add(-sameEnd)):
		case s.behind:
			t.behind++
		default:
			t.first++
		}
	}
	return t.proven()
}
