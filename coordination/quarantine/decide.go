// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Status returns what some work may do now.
func (t *Tracker) Status(f protocol.Fingerprint, now time.Time) Status {
	w := t.works[f]
	if w == nil {
		return Unrestricted{}
	}
	if r, ok := t.activeRefusal(f, w, now); ok {
		return r
	}
	count := w.countCrashes(now)
	switch {
	case count.possible() == 0:
		return Unrestricted{}
	case count.possible() < isolationThreshold:
		return PreferIsolation{}
	}
	if until := w.unresolvedUntil(now); !until.IsZero() {
		return Waiting{until: until}
	}
	if count.confirmed() == 0 {
		return PreferIsolation{}
	}
	if count.confirmed() >= refusalThreshold {
		if until := w.lastFailure().Add(settleTime); now.Before(until) {
			return Waiting{until: until}
		}
	}
	if until := t.isolatedUntil(f, now); !until.IsZero() {
		return Waiting{until: until}
	}
	return RequireIsolation{}
}

// activeRefusal returns the refusal of work that is refused now.
func (t *Tracker) activeRefusal(f protocol.Fingerprint, w *workState, now time.Time) (Refused, bool) {
	count := w.countCrashes(now)
	confirmed := count.confirmed()
	r := Refused{crashes: confirmed, until: w.storedUntil}
	if now.Before(r.until) {
		return r, true
	}
	if confirmed < refusalThreshold || now.Before(w.lastFailure().Add(settleTime)) {
		return Refused{}, false
	}
	r.until = w.lastFailure().Add(refusalDuration << min(maxRefusalDoublings, confirmed-refusalThreshold))
	if !now.Before(r.until) || count.firstStage < sharedRefusalThreshold && !t.crashedInIsolation(f, w) {
		return Refused{}, false
	}
	return r, true
}

// crashedInIsolation reports whether the work was involved in a crash, after two earlier ones,
// without other work that had been involved in an earlier crash. That crash was its isolated run;
// other work there ran for the first time.
func (t *Tracker) crashedInIsolation(f protocol.Fingerprint, w *workState) bool {
	for id, fail := range w.failures {
		if fail.confirmed && w.crashesBefore(fail.at) >= isolationThreshold && t.isolatedAt(f, id, fail.at) && !t.explainedByOther(f, id) {
			return true
		}
	}
	return false
}

// isolatedAt reports whether no other work at a crash had been involved in an earlier one.
func (t *Tracker) isolatedAt(f protocol.Fingerprint, id crashID, at time.Time) bool {
	for other := range t.crashes[id] {
		if other != f && t.works[other].crashesBefore(at) > 0 {
			return false
		}
	}
	return true
}

// explainedByOther reports whether other work that was involved in a crash is refused and so
// explains it. Such work may have run for the first time at the endpoint of the isolated run.
func (t *Tracker) explainedByOther(f protocol.Fingerprint, id crashID) bool {
	for other := range t.crashes[id] {
		if other != f && t.works[other].reported && len(t.works[other].failures) >= len(t.works[f].failures) {
			return true
		}
	}
	return false
}

// crashesBefore returns the number of crashes that count before a time. It does not include the
// crash at that time.
func (w *workState) crashesBefore(at time.Time) int {
	var c crashCount
	for _, fail := range w.failures {
		switch {
		case !fail.confirmed || !fail.at.Before(at.Add(-sameCrashWindow)):
		case fail.laterStage:
			c.laterStage++
		default:
			c.firstStage++
		}
	}
	return c.confirmed()
}
