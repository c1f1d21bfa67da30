// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Refusal is work that is refused, with the evidence for it.
type Refusal struct {
	work    protocol.Fingerprint
	crashes []protocol.WorkCrash
	until   time.Time
}

// Work returns the fingerprint of the work.
func (r *Refusal) Work() protocol.Fingerprint { return r.work }

// Until returns the time from which the work may run in isolation again.
func (r *Refusal) Until() time.Time { return r.until }

// Crashes returns the crashes of endpoints that ran the work, with times of day.
func (r *Refusal) Crashes() []protocol.WorkCrash { return r.crashes }

// NewRefusals returns the work that is refused since the last call, based on the reports of
// entries. Wall is the time of day that corresponds to now.
func (t *Tracker) NewRefusals(now, wall time.Time) []Refusal {
	t.expire(now)
	var all []Refusal
	for f, w := range t.works {
		t.revalidate(f, w, now)
		r, refused := t.activeRefusal(f, w, now)
		if refused && !w.reported {
			all = append(all, Refusal{work: f, crashes: w.evidence(now, wall), until: r.until})
		}
		w.reported = refused
	}
	return all
}

// revalidate drops a stored refusal if other work has been found to have crashed the endpoint of
// the isolated run.
func (t *Tracker) revalidate(f protocol.Fingerprint, w *workState, now time.Time) {
	if !w.storedUntil.IsZero() && w.countCrashes(now).firstStage < sharedRefusalThreshold && !t.crashedInIsolation(f, w) {
		w.storedUntil, w.reported = time.Time{}, false
	}
}

// evidence returns the confirmed crashes of some work.
func (w *workState) evidence(now, wall time.Time) []protocol.WorkCrash {
	var all []protocol.WorkCrash
	for id, fail := range w.failures {
		if fail.confirmed {
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
	w := t.works[f]
	if w == nil {
		w = t.addWork(f, now)
	}
	for _, c := range r.Crashes[:min(maxCrashesPerWork, len(r.Crashes))] {
		t.restoreCrash(f, w, c, now.Add(min(0, time.UnixMilli(c.AtMS).Sub(wall))))
	}
	w.storedUntil = now.Add(remaining)
	w.reported = true
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
func (t *Tracker) restoreCrash(f protocol.Fingerprint, w *workState, c protocol.WorkCrash, at time.Time) {
	r := Report{work: f, endpoint: c.Endpoint, incarnation: c.Incarnation, at: at}
	if !at.After(w.clearedAt) {
		return
	}
	if _, known := w.failures[r.crashID()]; !known {
		t.recordFailure(&r, at)
	}
	if fail, ok := w.failures[r.crashID()]; ok {
		fail.confirmed = true
		w.failures[r.crashID()] = fail
	}
}

// Release clears some work at the request of an operator, and makes the tracker ignore later
// reports about earlier failures. It reports whether the work was refused.
func (t *Tracker) Release(f protocol.Fingerprint, now time.Time) bool {
	w := t.works[f]
	if w == nil || w.storedUntil.IsZero() {
		return false
	}
	t.clearWork(f, w, now)
	return true
}

// StoredRefusals returns the work that is refused by the platform's store.
func (t *Tracker) StoredRefusals() []protocol.Fingerprint {
	var all []protocol.Fingerprint
	for f, w := range t.works {
		if !w.storedUntil.IsZero() {
			all = append(all, f)
		}
	}
	return all
}
