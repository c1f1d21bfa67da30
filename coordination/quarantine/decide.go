// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Status returns what a request may do now: the strictest of what its whole work and each of its parts may do.
func (t *Tracker) Status(c *Content, now time.Time) Status {
	strictest := t.statusOf(c.whole, c, now)
	for _, f := range c.parts {
		if s := t.statusOf(f, c, now); stricter(s, strictest) {
			strictest = s
		}
	}
	return strictest
}

// stricter reports whether a status restricts a request more than another, or for longer.
func stricter(s, than Status) bool {
	if a, b := strictness(s), strictness(than); a != b {
		return a > b
	}
	switch s := s.(type) {
	case Waiting:
		return s.until.After(than.(Waiting).until)
	case Refused:
		return s.until.After(than.(Refused).until)
	case RequireIsolation:
		return s.shared && !than.(RequireIsolation).shared
	default:
		return false
	}
}

// strictness orders the kinds of status.
func strictness(s Status) int {
	switch s.(type) {
	case PreferIsolation:
		return 1
	case RequireIsolation:
		return 2
	case Waiting:
		return 3
	case Refused:
		return 4
	default:
		return 0
	}
}

// statusOf returns what a request may do because of one of its suspects.
func (t *Tracker) statusOf(f protocol.Fingerprint, c *Content, now time.Time) Status {
	w := t.suspects[f]
	if w == nil {
		return Unrestricted{}
	}
	if r, refused := t.activeRefusal(f, w, now); refused {
		trialAt := t.trialAt(f, w, now)
		switch {
		case !t.hasAllOf(w, c), !trialAt.IsZero() && !now.Before(trialAt):
			return t.isolation(f, w, now)
		case !trialAt.IsZero():
			r.until = trialAt
		}
		return r
	}
	if w.part && w.isProven(now) {
		if !w.needsIsolation(now) {
			return Unrestricted{}
		}
		return t.isolation(f, w, now)
	}
	count := w.countCrashes(now)
	switch {
	case count.possible() == 0:
		return Unrestricted{}
	case count.possible() < isolationThreshold:
		return w.afterOneCrash()
	}
	if until := w.unresolvedUntil(now); !until.IsZero() {
		return Waiting{until: until}
	}
	if count.confirmed() == 0 {
		return w.afterOneCrash()
	}
	if count.confirmed() >= refusalThreshold {
		until := w.lastFailure().Add(settleTime)
		if t.isCause(f, w, now) {
			until = w.mayBeRefusedAt(now)
		}
		if now.Before(until) {
			return Waiting{until: until}
		}
	}
	return t.isolation(f, w, now)
}

// trialAt returns when one request may find out whether a refused part is the cause, zero for never. Parts that ran well
// before get one such run: what all requests share may be near the crashes of any cause, and while it is refused
// nothing else can clear it.
func (t *Tracker) trialAt(f protocol.Fingerprint, w *suspect, now time.Time) time.Time {
	if !w.part || !w.isProven(now) || t.crashesAgainst(f, w, now) > w.refusalThreshold(now) {
		return time.Time{}
	}
	return w.lastFailure().Add(trialDelay)
}

// mayRun reports whether a suspect may run now, be it in isolation.
func (t *Tracker) mayRun(f protocol.Fingerprint, w *suspect, now time.Time) bool {
	if _, refused := t.activeRefusal(f, w, now); !refused {
		return true
	}
	trialAt := t.trialAt(f, w, now)
	return !trialAt.IsZero() && !now.Before(trialAt)
}

// afterOneCrash returns what may be done after a single crash. A part that many requests share restricts none of
// them yet.
func (w *suspect) afterOneCrash() Status {
	if w.part {
		return Unrestricted{}
	}
	return PreferIsolation{}
}

// isolation returns the status of a suspect that runs at one endpoint at a time, where no other does.
func (t *Tracker) isolation(f protocol.Fingerprint, w *suspect, now time.Time) Status {
	if until := t.isolatedUntil(f, now); !until.IsZero() {
		return Waiting{until: until}
	}
	return RequireIsolation{shared: w.part}
}

// hasAllOf reports whether a request has all that was in the requests that crashed endpoints with a refused part.
// What has run well since does not count.
func (t *Tracker) hasAllOf(w *suspect, c *Content) bool {
	for _, f := range w.with {
		if other := t.suspects[f]; other != nil && other.hasOpenFailure() && !c.Has(f) {
			return false
		}
	}
	return true
}

// activeRefusal returns the refusal of a suspect that is refused now. A part is refused from the time at which
// NewRefusals has compared it with all other suspects.
func (t *Tracker) activeRefusal(f protocol.Fingerprint, w *suspect, now time.Time) (Refused, bool) {
	if w.part && !w.reported {
		return Refused{}, false
	}
	return t.evidentRefusal(f, w, now)
}

// evidentRefusal returns the refusal for which there is evidence, or that the platform stores.
func (t *Tracker) evidentRefusal(f protocol.Fingerprint, w *suspect, now time.Time) (Refused, bool) {
	r := Refused{suspect: f, part: w.part, crashes: w.countCrashes(now).confirmed(), until: w.storedUntil, lastCrash: w.lastFailure()}
	if now.Before(r.until) {
		return r, true
	}
	crashes, threshold := t.crashesAgainst(f, w, now), w.refusalThreshold(now)
	if crashes < threshold || now.Before(w.mayBeRefusedAt(now)) {
		return Refused{}, false
	}
	r.until = w.lastFailure().Add(refusalDuration << min(maxRefusalDoublings, crashes-threshold))
	if !now.Before(r.until) || !t.isCause(f, w, now) {
		return Refused{}, false
	}
	return r, true
}

// mayBeRefusedAt returns the earliest time of a verdict: when all observers of the last crash have reported it, and,
// for a part that nobody remembers to have run well, when the runs that were at work at the first one have shown
// what they do.
func (w *suspect) mayBeRefusedAt(now time.Time) time.Time {
	settled := w.lastFailure().Add(settleTime)
	if !w.part || w.isProven(now) {
		return settled
	}
	if shown := w.firstFailure().Add(evidenceTime); shown.After(settled) {
		return shown
	}
	return settled
}

// crashesAgainst returns the number of crashes that count towards a refusal. Of a part that has run well before those
// count that came one after the other, because it was in most requests that a power loss or a cut broke off.
func (t *Tracker) crashesAgainst(f protocol.Fingerprint, w *suspect, now time.Time) int {
	if !w.part || !w.isProven(now) {
		return w.countCrashes(now).confirmed()
	}
	var times []time.Time
	for id, fail := range w.failures {
		if fail.counts() && !t.hasUnprovenCause(f, id, now) {
			times = append(times, fail.at)
		}
	}
	return countSpaced(times)
}

// refusalThreshold returns the number of crashes from which the suspect may be refused.
func (w *suspect) refusalThreshold(now time.Time) int {
	if w.part && w.isProven(now) {
		return provenIsolationThreshold + 1
	}
	return refusalThreshold
}

// isCause reports whether a suspect with enough crashes is taken for their cause: it crashed an endpoint in
// isolation, or in so many crashes that isolation must have failed. A part must have been in more than one work,
// since otherwise the work itself may be the cause.
func (t *Tracker) isCause(f protocol.Fingerprint, w *suspect, now time.Time) bool {
	if w.part {
		return len(t.worksOf(f, w)) >= 2 && (t.crashedInIsolation(f, w, now) || t.standsOut(f, w, now))
	}
	return w.countCrashes(now).firstStage >= sharedRefusalThreshold || t.crashedInIsolation(f, w, now)
}

// standsOut reports whether a part was in so many crashes, beside requests without it, that it explains them best:
// nothing else that is not known to have run well was in more than half of them. A part that all requests share is
// near every crash of any cause.
func (t *Tracker) standsOut(f protocol.Fingerprint, w *suspect, now time.Time) bool {
	crashes, beside := 0, 0
	others := make(map[protocol.Fingerprint]int)
	for id, fail := range w.failures {
		if !fail.counts() || t.hasUnprovenCause(f, id, now) {
			continue
		}
		crashes++
		hasBeside := false
		for other := range t.crashes[id] {
			if other == f || t.suspects[other].isProven(now) || t.crashes[id].inseparable(f, other) {
				continue
			}
			others[other]++
			hasBeside = hasBeside || t.crashes[id].explains(f, other, true)
		}
		if hasBeside {
			beside++
		}
	}
	if crashes < partRefusalThreshold || beside < refusalThreshold {
		return false
	}
	for _, n := range others {
		if 2*n > crashes {
			return false
		}
	}
	return true
}

// worksOf returns the works in which a part was in the crashes that count.
func (t *Tracker) worksOf(f protocol.Fingerprint, w *suspect) map[protocol.Fingerprint]bool {
	works := make(map[protocol.Fingerprint]bool)
	for id, fail := range w.failures {
		if !fail.counts() {
			continue
		}
		for _, work := range t.crashes[id][f] {
			works[work] = true
		}
	}
	return works
}

// crashedInIsolation reports whether the suspect was involved in a crash, after two earlier ones,
// without other suspects that had been involved in an earlier crash. That crash was its isolated run;
// other work there ran for the first time.
func (t *Tracker) crashedInIsolation(f protocol.Fingerprint, w *suspect, now time.Time) bool {
	for id, fail := range w.failures {
		if fail.counts() && w.crashesBefore(fail.at, w.isolationWindow()) >= isolationThreshold && t.isolatedAt(f, id, fail.at, now) && !t.explainedByOther(f, id) && !t.isAmbiguous(f, id, now) {
			return true
		}
	}
	return false
}

// isolatedAt reports whether only one request at a crash had a suspect that had been involved in an earlier crash, the
// one with the given suspect. Parts that are known to have run well do not count. Several requests with the same part
// may have started before the reports of each other arrived. They count as one, if nothing else at the crash was in
// as many crashes, and if there were requests without the part, so that it is not just in all of them.
func (t *Tracker) isolatedAt(f protocol.Fingerprint, id crashID, at, now time.Time) bool {
	accused := t.crashes[id]
	var suspected []protocol.Fingerprint
	for other, works := range accused {
		if w := t.suspects[other]; other != f && (w.isProven(now) || w.crashesBefore(at, sameCrashWindow) == 0) {
			continue
		}
		for _, work := range works {
			if !slices.Contains(accused[f], work) {
				return false
			}
			if !slices.Contains(suspected, work) {
				suspected = append(suspected, work)
			}
		}
	}
	return len(suspected) <= 1 || t.isForemost(f, id, now) && (len(suspected) <= maxConcurrentRuns || accused.hasOthers(f))
}

// isAmbiguous reports whether another part of the same request at a crash explains it as well as the given part or
// better: it is not known to have run well either, was near fewer requests, or near as many and in as many crashes.
func (t *Tracker) isAmbiguous(f protocol.Fingerprint, id crashID, now time.Time) bool {
	accused, w := t.crashes[id], t.suspects[f]
	if !w.part {
		return false
	}
	if t.hasUnprovenCause(f, id, now) {
		return true
	}
	works, crashes := t.mostWorks(f, w), w.countCrashes(now).confirmed()
	for other := range accused {
		beside := t.suspects[other]
		if other == f || !beside.part || beside.isProven(now) || beside.reported || !accused.inseparable(f, other) || t.alwaysTogether(f, other) {
			continue
		}
		if n := t.mostWorks(other, beside); n < works || n == works && beside.countCrashes(now).confirmed() >= crashes {
			return true
		}
	}
	return false
}

// hasUnprovenCause reports whether a part that has run well before was at a crash only in requests with a part that never
// did, and that was in more crashes than this one. Whatever the first was near before, the second explains the crash.
func (t *Tracker) hasUnprovenCause(f protocol.Fingerprint, id crashID, now time.Time) bool {
	if w := t.suspects[f]; !w.part || !w.isProven(now) {
		return false
	}
	for other := range t.crashes[id] {
		beside := t.suspects[other]
		if beside.part && !beside.isProven(now) && t.crashes[id].inseparable(f, other) && beside.countCrashes(now).confirmed() >= isolationThreshold {
			return true
		}
	}
	return false
}

// alwaysTogether reports whether two parts were in the same requests at all crashes of the first.
func (t *Tracker) alwaysTogether(f, other protocol.Fingerprint) bool {
	for id := range t.suspects[f].failures {
		if !t.crashes[id].inseparable(f, other) || !t.crashes[id].inseparable(other, f) {
			return false
		}
	}
	return true
}

// isForemost reports whether a suspect was in more crashes than any other at a crash that is not known to have run well.
// What was in the same requests there does not count.
func (t *Tracker) isForemost(f protocol.Fingerprint, id crashID, now time.Time) bool {
	accused := t.crashes[id]
	crashes := t.suspects[f].countCrashes(now).confirmed()
	for other := range accused {
		if other == f || accused.inseparable(f, other) && accused.inseparable(other, f) {
			continue
		}
		if w := t.suspects[other]; !w.isProven(now) && w.countCrashes(now).confirmed() >= crashes {
			return false
		}
	}
	return true
}

// explainedByOther reports whether another suspect that was involved in a crash is refused and so
// explains it. Such work may have run for the first time at the endpoint of the isolated run.
func (t *Tracker) explainedByOther(f protocol.Fingerprint, id crashID) bool {
	accused := t.crashes[id]
	for other := range accused {
		w := t.suspects[other]
		if other != f && w.reported && len(w.failures) >= len(t.suspects[f].failures) && accused.explains(other, f, w.part) {
			return true
		}
	}
	return false
}

// crashesBefore returns the number of crashes that count and that came longer than a window before a time.
func (w *suspect) crashesBefore(at time.Time, window time.Duration) int {
	var c crashCount
	for _, fail := range w.failures {
		switch {
		case !fail.counts() || !fail.at.Before(at.Add(-window)):
		case fail.laterStage:
			c.laterStage++
		default:
			c.firstStage++
		}
	}
	return c.confirmed()
}

// isolationWindow returns how long before an isolated run an earlier crash of the suspect must be. For a part that is
// so long that its requests at the later crash were not all sent before the earlier one.
func (w *suspect) isolationWindow() time.Duration {
	if w.part {
		return crashSpacing
	}
	return sameCrashWindow
}
