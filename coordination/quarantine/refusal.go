// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Refusal is work that is refused, and why.
type Refusal struct {
	work protocol.Fingerprint
	ends []protocol.WorkCrash
	till time.Time
}

// Work returns which work it is.
func (r *Refusal) Work() protocol.Fingerprint { return r.work }

// Until returns from when it is tried again.
func (r *Refusal) Until() time.Time { return r.till }

// Crashes returns the ends of endpoints under it, with times of day.
func (r *Refusal) Crashes() []protocol.WorkCrash { return r.ends }

// NewRefusals returns the work that is refused since the last call, by the reports of entries. Day is
// the time of day that belongs to now.
func (b *Tracker) NewRefusals(now, day time.Time) []Refusal {
	b.expire(now)
	var all []Refusal
	for f, w := range b.works {
		b.review(f, w, now)
		r, refused := b.refused(f, w, now)
		if refused && !w.told {
			all = append(all, Refusal{work: f, ends: w.evidence(now, day), till: r.till})
		}
		w.told = refused
	}
	return all
}

// review gives up a refusal that the platform keeps where it has turned out that other work
// ended the endpoint at which this one was tried.
func (b *Tracker) review(f protocol.Fingerprint, w *work, now time.Time) {
	if !w.keptTill.IsZero() && w.count(now).first < refusedAnyway && !b.stands(f, w) {
		w.keptTill, w.told = time.Time{}, false
	}
}

// evidence returns the proven ends of some work.
func (w *work) evidence(now, day time.Time) []protocol.WorkCrash {
	var all []protocol.WorkCrash
	for e, s := range w.ends {
		if s.proven {
			all = append(all, protocol.WorkCrash{Endpoint: e.endpoint, Incarnation: e.life, AtMS: day.Add(-now.Sub(s.at)).UnixMilli()})
		}
	}
	return all
}

// RestoreRefusal takes what the platform keeps of refused work, as long as it has the evidence for it:
// records of other writers, and old ones, count for nothing. It reports whether it does.
func (b *Tracker) RestoreRefusal(f protocol.Fingerprint, r *protocol.RefusedWork, now, day time.Time) bool {
	left := time.UnixMilli(r.UntilMS).Sub(day)
	if distinct(r.Crashes) < refusedFrom || !tried(r.Crashes) || left <= 0 || left > refuseFor<<refuseDoublings {
		return false
	}
	w := b.works[f]
	if w == nil {
		w = b.open(f, now)
	}
	for _, e := range r.Crashes[:min(endsMost, len(r.Crashes))] {
		b.hold(f, w, e, now.Add(min(0, time.UnixMilli(e.AtMS).Sub(day))))
	}
	w.keptTill = now.Add(left)
	w.told = true
	return true
}

// tried reports whether one of the ends came after two others, as that of a trial does.
func tried(all []protocol.WorkCrash) bool {
	for _, e := range all {
		before := 0
		for _, other := range all {
			if other.AtMS < e.AtMS-sameEnd.Milliseconds() {
				before++
			}
		}
		if before >= aloneFrom {
			return true
		}
	}
	return false
}

// distinct returns how many ends there are, each counted once.
func distinct(all []protocol.WorkCrash) int {
	seen := make(map[end]bool)
	for _, e := range all {
		seen[end{endpoint: e.Endpoint, life: e.Incarnation}] = true
	}
	return len(seen)
}

// hold notes an end that the platform keeps.
func (b *Tracker) hold(f protocol.Fingerprint, w *work, e protocol.WorkCrash, at time.Time) {
	r := Report{work: f, endpoint: e.Endpoint, life: e.Incarnation, at: at}
	if !at.After(w.clearedAt) {
		return
	}
	if _, known := w.ends[r.end()]; !known {
		b.broke(&r, at)
	}
	if s, there := w.ends[r.end()]; there {
		s.proven = true
		w.ends[r.end()] = s
	}
}

// Release forgets what is known against some work, as an operator asks, and what entries tell
// later of the time before. It reports whether it was refused.
func (b *Tracker) Release(f protocol.Fingerprint, now time.Time) bool {
	w := b.works[f]
	if w == nil || w.keptTill.IsZero() {
		return false
	}
	b.clear(f, w, now)
	return true
}

// StoredRefusals returns the work that is refused by what the platform keeps.
func (b *Tracker) StoredRefusals() []protocol.Fingerprint {
	var all []protocol.Fingerprint
	for f, w := range b.works {
		if !w.keptTill.IsZero() {
			all = append(all, f)
		}
	}
	return all
}
