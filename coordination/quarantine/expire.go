// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// expire removes expired state.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < expireInterval {
		return
	}
	t.lastExpiry = now
	t.refuses = false
	for f, w := range t.suspects {
		if now.Sub(w.storedUntil) > Retention {
			w.storedUntil = time.Time{}
		}
		t.expireFailures(f, w, now)
		t.refuses = t.refuses || w.reported
		if len(w.failures) == 0 && w.storedUntil.IsZero() && now.Sub(w.clearedAt) > UnconfirmedRetention && now.Sub(w.provenAt) > UnconfirmedRetention {
			delete(t.suspects, f)
		}
	}
	for id, x := range t.exits {
		if now.Sub(x.at) > Retention {
			delete(t.exits, id)
		}
	}
	for id, at := range t.leaving {
		if now.Sub(at) > Retention {
			delete(t.leaving, id)
		}
	}
	t.expireIsolatedRuns(now)
}

// expireFailures removes the failures of a suspect that no longer count. Those of one that is refused
// count until the refusal has expired.
func (t *Tracker) expireFailures(f protocol.Fingerprint, w *suspect, now time.Time) {
	confirmed := w.countCrashes(now).confirmed()
	until := w.lastFailure().Add(Retention)
	if confirmed >= refusalThreshold {
		until = w.lastFailure().Add(refusalDuration<<min(maxRefusalDoublings, confirmed-refusalThreshold) + Retention)
	}
	for id, fail := range w.failures {
		if now.After(until) || !fail.confirmed && now.Sub(fail.at) > UnconfirmedRetention {
			delete(w.failures, id)
			t.unlink(f, id)
		}
	}
}

// dropFailure removes a failure of a suspect to make room: one that came at the same moment as an earlier one, or else
// the oldest.
func (t *Tracker) dropFailure(f protocol.Fingerprint, w *suspect) {
	ids := slices.SortedFunc(maps.Keys(w.failures), func(a, b crashID) int { return w.failures[a].at.Compare(w.failures[b].at) })
	drop := ids[0]
	for i, id := range ids[1:] {
		if w.failures[id].at.Sub(w.failures[ids[i]].at) < crashSpacing {
			drop = id
			break
		}
	}
	delete(w.failures, drop)
	t.unlink(f, drop)
}

// evict frees space for other suspects. It removes those with the fewest crashes, and among equals
// those with the oldest failure. It removes a fixed share at once, because an outage adds
// thousands of pieces of work.
func (t *Tracker) evict(now time.Time) {
	all := make([]evictionCandidate, 0, len(t.suspects))
	for f, w := range t.suspects {
		crashes := w.countCrashes(now).confirmed()
		if !w.storedUntil.IsZero() {
			crashes = max(crashes, refusalThreshold)
		}
		all = append(all, evictionCandidate{suspect: f, crashes: crashes, lastFailure: w.lastFailure()})
	}
	slices.SortFunc(all, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.lastFailure.Compare(b.lastFailure))
	})
	for _, c := range all[:len(all)/evictionDivisor] {
		for id := range t.suspects[c.suspect].failures {
			t.unlink(c.suspect, id)
		}
		delete(t.suspects, c.suspect)
	}
}

// evictionCandidate is what decides which suspect is evicted.
type evictionCandidate struct {
	suspect     protocol.Fingerprint
	crashes     int
	lastFailure time.Time
}
