// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// RecordUnresolved records that it may become known soon whether an incarnation of an endpoint
// crashed. Work that failed there waits for the result.
func (t *Tracker) RecordUnresolved(endpoint string, incarnation protocol.Incarnation, now time.Time) {
	id := crashID{endpoint: endpoint, incarnation: incarnation}
	for f := range t.crashes[id] {
		fail := t.suspects[f].failures[id]
		fail.unresolvedUntil = now.Add(UnresolvedTimeout)
		t.suspects[f].failures[id] = fail
	}
}

// RecordAnswer records that an endpoint answered a probe that was sent at a time. If it is in the
// same incarnation, earlier failures there had another cause. Otherwise it may be in the next
// incarnation, whose record will show the crash, and the work need not wait for that.
func (t *Tracker) RecordAnswer(endpoint string, incarnation protocol.Incarnation, same bool, probedAt time.Time) {
	id := crashID{endpoint: endpoint, incarnation: incarnation}
	for f := range t.crashes[id] {
		w := t.suspects[f]
		fail := w.failures[id]
		switch {
		case fail.confirmed || fail.at.After(probedAt):
		case same:
			delete(w.failures, id)
			t.unlink(f, id)
		default:
			fail.unresolvedUntil = time.Time{}
			w.failures[id] = fail
		}
	}
}

// unresolvedUntil returns until when the suspect may turn out to have been involved in a further
// crash, zero if no crash is unresolved.
func (w *suspect) unresolvedUntil(now time.Time) time.Time {
	var until time.Time
	for _, fail := range w.failures {
		if !fail.confirmed && now.Before(fail.unresolvedUntil) && fail.unresolvedUntil.After(until) {
			until = fail.unresolvedUntil
		}
	}
	return until
}
