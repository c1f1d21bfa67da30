// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Refusal is work, or a part of prompts, that is refused, with the evidence for it.
type Refusal struct {
	suspect protocol.Fingerprint
	part    bool
	with    []protocol.Fingerprint
	crashes []protocol.WorkCrash
	until   time.Time
}

// Suspect returns the fingerprint of what is refused.
func (r *Refusal) Suspect() protocol.Fingerprint { return r.suspect }

// Part reports whether it is a part of prompts.
func (r *Refusal) Part() bool { return r.part }

// With returns the other suspects that were in all requests that crashed endpoints. Only requests with all of
// them are refused.
func (r *Refusal) With() []protocol.Fingerprint { return r.with }

// Until returns the time from which the work may run in isolation again.
func (r *Refusal) Until() time.Time { return r.until }

// Crashes returns the crashes of endpoints that ran the work, with times of day.
func (r *Refusal) Crashes() []protocol.WorkCrash { return r.crashes }

// CrashesText returns the crashes for a log, the first one first: each with its endpoint and how long before the time
// of day wall a request failed there.
func (r *Refusal) CrashesText(wall time.Time) string {
	crashes := slices.SortedFunc(slices.Values(r.crashes), func(a, b protocol.WorkCrash) int { return cmp.Compare(a.AtMS, b.AtMS) })
	var b strings.Builder
	for _, c := range crashes {
		fmt.Fprintf(&b, "%s %d ms ago; ", c.Endpoint, wall.UnixMilli()-c.AtMS)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// NewRefusals returns what is refused since the last call, based on the reports of
// entries. Wall is the time of day that corresponds to now.
func (t *Tracker) NewRefusals(now, wall time.Time) []Refusal {
	t.expire(now)
	var candidates []candidate
	for f, w := range t.suspects {
		if !w.reported && w.storedUntil.IsZero() && len(w.failures) < refusalThreshold {
			continue
		}
		t.revalidate(f, w, now)
		if _, refused := t.evidentRefusal(f, w, now); !refused {
			t.withdraw(f, w, now)
		} else if !w.reported {
			candidates = append(candidates, candidate{suspect: f, works: t.mostWorks(f, w), crashes: w.countCrashes(now).confirmed()})
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	var all []Refusal
	for _, c := range candidates {
		w := t.suspects[c.suspect]
		r, refused := t.evidentRefusal(c.suspect, w, now) // a refusal before may explain its crashes
		if !refused {
			continue
		}
		t.refuses = true
		w.reported, w.with = true, t.inseparableFrom(c.suspect, w, now)
		t.explain(w)
		all = append(all, Refusal{
			suspect: c.suspect, part: w.part, with: w.with, crashes: w.evidence(now, wall), until: r.until,
		})
	}
	return all
}

// candidate is a suspect with evidence for a refusal.
type candidate struct {
	suspect protocol.Fingerprint
	works   int // the largest number of works with the suspect at one crash
	crashes int
}

// compareCandidates puts first what was in the fewest requests at a crash, because what many of them share is
// near each crash, and then what was in most crashes.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.works, b.works), cmp.Compare(b.crashes, a.crashes), slices.Compare(a.suspect[:], b.suspect[:]))
}

// mostWorks returns the largest number of works with a suspect at one of its crashes.
func (t *Tracker) mostWorks(f protocol.Fingerprint, w *suspect) int {
	most := 0
	for id := range w.failures {
		most = max(most, len(t.crashes[id][f]))
	}
	return most
}

// inseparableFrom returns the other parts that were in all requests in which a part crashed endpoints, and that are
// not known to have run well.
func (t *Tracker) inseparableFrom(f protocol.Fingerprint, w *suspect, now time.Time) []protocol.Fingerprint {
	if !w.part {
		return nil
	}
	var all []protocol.Fingerprint
	first := true
	for id, fail := range w.failures {
		if !fail.counts() {
			continue
		}
		if first {
			first = false
			all = t.partsBeside(f, id, now)
			continue
		}
		all = slices.DeleteFunc(all, func(other protocol.Fingerprint) bool { return !t.crashes[id].inseparable(f, other) })
	}
	return all
}

// partsBeside returns the other parts that were in all requests with a part at a crash, and that are not known to
// have run well.
func (t *Tracker) partsBeside(f protocol.Fingerprint, id crashID, now time.Time) []protocol.Fingerprint {
	var all []protocol.Fingerprint
	for other := range t.crashes[id] {
		if w := t.suspects[other]; other != f && w.part && !w.isProven(now) && t.crashes[id].inseparable(f, other) {
			all = append(all, other)
		}
	}
	return all
}

// withdraw ends a refusal. Unless it has only lapsed, what it explained counts again.
func (t *Tracker) withdraw(f protocol.Fingerprint, w *suspect, now time.Time) {
	lapsed := t.crashesAgainst(f, w, now) >= w.refusalThreshold(now) && t.isCause(f, w, now)
	if w.reported && !lapsed {
		t.unexplain(f, w)
	}
	w.reported = false
}

// revalidate drops a stored refusal if something else has been found to have crashed the endpoint of
// the isolated run, or if a part is found to have run well before.
func (t *Tracker) revalidate(f protocol.Fingerprint, w *suspect, now time.Time) {
	if w.storedUntil.IsZero() {
		return
	}
	restored := w.isRestored() || w.part && len(t.worksOf(f, w)) < 2 // the record does not name the works
	if !restored && !t.isCause(f, w, now) || t.crashesAgainst(f, w, now) < w.refusalThreshold(now) {
		w.storedUntil = time.Time{}
		t.withdraw(f, w, now)
	}
}

// evidence returns the crashes of a suspect that count.
func (w *suspect) evidence(now, wall time.Time) []protocol.WorkCrash {
	var all []protocol.WorkCrash
	for id, fail := range w.failures {
		if fail.counts() {
			all = append(all, protocol.WorkCrash{Endpoint: id.endpoint, Incarnation: id.incarnation, AtMS: wall.Add(-now.Sub(fail.at)).UnixMilli()})
		}
	}
	return all
}

// RestoreRefusal restores a refusal from the platform's store and reports whether it did. It
// ignores a record that lacks the evidence for the refusal, such as one of another writer, that has
// expired, or that lasts longer than any refusal does.
func (t *Tracker) RestoreRefusal(f protocol.Fingerprint, r *protocol.RefusedWork, now, wall time.Time) bool {
	remaining := time.UnixMilli(r.UntilMS).Sub(wall)
	if countDistinct(r.Crashes) < refusalThreshold || !showsIsolatedRun(r.Crashes) || remaining <= 0 || remaining > refusalDuration<<maxRefusalDoublings {
		return false
	}
	w := t.suspects[f]
	if w == nil {
		w = t.addSuspect(f, now)
	}
	t.refuses = true
	w.part, w.reported = r.Part, true // before its crashes, which nothing else explains
	w.with = nil                      // a Refusal may still hold the former
	for _, name := range r.With[:min(protocol.MaxReportParts, len(r.With))] {
		if other, ok := protocol.ParseFingerprint(name); ok {
			w.with = append(w.with, other)
		}
	}
	for _, c := range r.Crashes[:min(maxCrashesPerSuspect, len(r.Crashes))] {
		t.restoreCrash(f, w, c, now.Add(min(0, time.UnixMilli(c.AtMS).Sub(wall))))
	}
	w.storedUntil = now.Add(remaining)
	return true
}

// showsIsolatedRun reports whether one of the crashes came after two others, as the crash of an
// isolated run does.
func showsIsolatedRun(crashes []protocol.WorkCrash) bool {
	for _, c := range crashes {
		earlier := 0
		for _, other := range crashes {
			if other.AtMS < c.AtMS-sameCrashWindow.Milliseconds() {
				earlier++
			}
		}
		if earlier >= isolationThreshold {
			return true
		}
	}
	return false
}

// countDistinct returns the number of different crashes.
func countDistinct(crashes []protocol.WorkCrash) int {
	seen := make(map[crashID]bool)
	for _, c := range crashes {
		seen[crashID{endpoint: c.Endpoint, incarnation: c.Incarnation}] = true
	}
	return len(seen)
}

// restoreCrash records a crash from the platform's store.
func (t *Tracker) restoreCrash(f protocol.Fingerprint, w *suspect, c protocol.WorkCrash, at time.Time) {
	r := Report{content: NewContent(f, nil), endpoint: c.Endpoint, incarnation: c.Incarnation, at: at}
	if !at.After(w.clearedAt) {
		return
	}
	_, known := w.failures[r.crashID()]
	if !known {
		t.recordFailure(&r, at)
	}
	if fail, ok := w.failures[r.crashID()]; ok {
		fail.confirmed, fail.restored = true, fail.restored || !known
		w.failures[r.crashID()] = fail
	}
}

// Release clears a suspect at the request of an operator, and makes the tracker ignore later
// reports about earlier failures. It reports whether the suspect was refused.
func (t *Tracker) Release(f protocol.Fingerprint, now time.Time) bool {
	w := t.suspects[f]
	if w == nil || w.storedUntil.IsZero() {
		return false
	}
	t.clearSuspect(f, w, now)
	return true
}

// StoredRefusals returns what is refused by the platform's store.
func (t *Tracker) StoredRefusals() []protocol.Fingerprint {
	var all []protocol.Fingerprint
	for f, w := range t.suspects {
		if !w.storedUntil.IsZero() {
			all = append(all, f)
		}
	}
	return all
}
