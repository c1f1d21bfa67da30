// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// SafeAfter is the time after its first event from which work no longer counts as the cause of
	// a crash. Requests that crashed an engine did so as they started to run, 0.01 to 0.11 s after
	// that and before any event. Streams that have run for longer are most of what fails in a
	// crash, but they do not cause it; other suspected work need not avoid them.
	SafeAfter = 200 * time.Millisecond
	// refusalThreshold is the number of crashes from which work is refused. One or two may be a
	// coincidence, because failed requests are sent again to the same few engines.
	refusalThreshold = 3
	// sharedRefusalThreshold is the number of crashes from which work is refused even if other work
	// was involved in all of them too. Work runs in isolation from its second crash on, so it gets
	// this far only if entries cannot reach each other.
	sharedRefusalThreshold = 6
	// partRefusalThreshold is the number of crashes from which a part is refused if nothing else was in more than half of
	// them, even if it never crashed an endpoint in isolation.
	partRefusalThreshold = 5
	// isolationThreshold is the number of crashes from which work runs in isolation.
	isolationThreshold = 2
	// provenIsolationThreshold is the number of crashes, one after the other, from which requests with a part run in
	// isolation although the part is known to have run well before. Such a part is in most requests, so it is near
	// most crashes.
	provenIsolationThreshold = 5
	// crashSpacing is the least time between two crashes that count one after the other. When a data center loses its
	// power, a part that many requests share is in dozens of crashes at one moment.
	crashSpacing = 250 * time.Millisecond
	// trialDelay is the time from the last crash of a refused part that ran well before until one request with it may run
	// again. By then a cut or a power loss that was taken for crashes of the part is often over.
	trialDelay = 2 * time.Second
	// provenInterval is by how much later a run must be to be worth a report, if nothing else is known against the part.
	provenInterval = 10 * time.Second
	// laterStageThreshold is the number of crashes of later stages from which they count at all.
	// Every request whose path contains a stage waits for it when it crashes, even if the request
	// had not reached it. With one or two, requests would wait for isolated runs whenever many
	// engines crash in a day.
	laterStageThreshold = 3
	// settleTime is how long after a crash the reports of all observers may take. A report takes
	// some milliseconds through the relay tree, and a busy entry takes some tens of milliseconds to
	// handle a failed attempt.
	settleTime = 150 * time.Millisecond
	// evidenceTime is how long after its first crash a part that is not known to have run well may be refused at the
	// earliest. Requests with it that were sent when that crash came have had their first event by then at sound
	// endpoints, and SafeAfter more, so that their runs are known. Until then none is begun anew.
	evidenceTime = 1500 * time.Millisecond
	// sameCrashWindow is the largest difference between the times at which observers notice the
	// same crash. An entry takes some tens of milliseconds to notice a broken connection.
	sameCrashWindow = 30 * time.Millisecond
	// unconfirmedTimeout is how long a failed response counts as a possible crash. A crash is
	// usually confirmed within milliseconds, by a refused connection.
	unconfirmedTimeout = 5 * time.Second
	// UnresolvedTimeout is how long work with two or more possible crashes waits while one of them
	// is unresolved. A port that accepts connections and resets them does not show whether its
	// engine crashed, and the engine is back after some seconds. Most probes are answered within 2
	// ms. Without the wait, one piece of work crashed 6 to 10 of ten engines behind such ports;
	// with it, 3 or 4 (three entries, 24 runs).
	UnresolvedTimeout = 2 * time.Second
	// UnconfirmedRetention is how long an unconfirmed crash is remembered. The record of the
	// endpoint's next incarnation may still confirm it, and engines restart within some seconds.
	UnconfirmedRetention = 30 * time.Second
	// refusalDuration is how long work is refused after its third crash. Each further crash doubles
	// it, up to maxRefusalDoublings times. A caller may repeat a request for hours, and each
	// isolated run may cost an endpoint. If the cause has been fixed, one isolated run clears the
	// work.
	refusalDuration     = 10 * time.Minute
	maxRefusalDoublings = 7
	// Retention is how long a crash counts if it has not led to a refusal, and how long a refusal
	// is remembered after it has expired.
	Retention = time.Hour
	// maxSuspects limits the works and parts that are remembered, at some 1,400 bytes each. An outage of
	// a data center crashes some hundred endpoints, each with a few new pieces of work.
	maxSuspects = 4096
	// evictionDivisor sets the share of work that is evicted at once when the limit is reached: one
	// in evictionDivisor.
	evictionDivisor = 8
	// maxCrashesPerSuspect limits the crashes that are remembered for each suspect.
	maxCrashesPerSuspect = 8
	// expireInterval is the interval between two searches for expired entries.
	expireInterval = time.Second
)

// Tracker tracks the reports of all entries. The zero value is empty.
type Tracker struct {
	suspects     map[protocol.Fingerprint]*suspect
	crashes      map[crashID]crash     // what failed in each confirmed or possible crash
	exits        map[string]exit       // the latest known exit of each endpoint
	leaving      map[crashID]time.Time // when incarnations of endpoints said that they leave
	isolatedRuns map[isolatedRunKey]isolatedRun
	lastExpiry   time.Time
	refuses      bool // whether anything may be refused
}

// exit is the end of an incarnation of an endpoint.
type exit struct {
	incarnation protocol.Incarnation
	at          time.Time
}

// Apply applies a report. It reports whether the report changes anything, so that it must be passed
// on.
func (t *Tracker) Apply(r Report, now time.Time) bool { //nolint:gocritic // the report is kept
	t.expire(now)
	if now.Sub(r.at) > Retention || r.at.After(now) {
		return false
	}
	switch r.observation {
	case protocol.WorkBroke, protocol.WorkBrokeAtLaterStage:
		return t.recordFailure(&r, now)
	case protocol.WorkRan:
		return t.recordSuccess(&r, now)
	case protocol.WorkIsolatedRun:
		return t.startIsolatedRun(&r, now)
	case protocol.WorkIsolatedRunOver:
		return t.endIsolatedRun(&r)
	default:
		return false
	}
}

// recordFailure records that a request failed at an endpoint, once for each incarnation and suspect.
func (t *Tracker) recordFailure(r *Report, now time.Time) bool {
	changed := false
	for _, f := range r.content.suspects() {
		if t.recordSuspect(f, r, now) {
			changed = true
		}
	}
	if changed && t.refuses {
		t.explainAt(r.crashID())
	}
	return changed
}

// recordSuspect records the failure of one suspect.
func (t *Tracker) recordSuspect(f protocol.Fingerprint, r *Report, now time.Time) bool {
	w, id := t.suspects[f], r.crashID()
	if w != nil && w.isClearedAt(r.at) {
		return false
	}
	if w != nil {
		if fail, known := w.failures[id]; known {
			fail.restored = false
			w.failures[id] = fail
			t.crashes[id].accuse(f, r.content.whole)
			return false
		}
	}
	if w == nil {
		w = t.addSuspect(f, now)
	}
	w.part = w.part || f != r.content.whole
	if len(w.failures) >= maxCrashesPerSuspect {
		t.dropFailure(f, w)
	}
	fail := failure{at: r.at, confirmed: t.crashed(r.crashID(), r.at), laterStage: r.observation == protocol.WorkBrokeAtLaterStage}
	if r.unresolved {
		fail.unresolvedUntil = r.at.Add(UnresolvedTimeout)
	}
	w.failures[id] = fail
	if t.crashes == nil {
		t.crashes = make(map[crashID]crash)
	}
	if t.crashes[id] == nil {
		t.crashes[id] = make(crash)
	}
	t.crashes[id].accuse(f, r.content.whole)
	return true
}

// addSuspect adds an empty state for a suspect. It evicts others if the limit is reached.
func (t *Tracker) addSuspect(f protocol.Fingerprint, now time.Time) *suspect {
	if t.suspects == nil {
		t.suspects = make(map[protocol.Fingerprint]*suspect)
	}
	if len(t.suspects) >= maxSuspects {
		t.evict(now)
	}
	w := &suspect{failures: make(map[crashID]failure)}
	t.suspects[f] = w
	return w
}

// recordSuccess clears the suspects of a request that ran without a crash after their failures.
func (t *Tracker) recordSuccess(r *Report, now time.Time) bool {
	changed := false
	if w := t.suspects[r.content.whole]; w != nil && !w.part && r.at.After(w.clearedAt) && r.at.After(w.lastFailure()) {
		t.clearSuspect(r.content.whole, w, r.at)
		changed = true
	}
	for _, f := range r.content.parts {
		if t.recordProven(f, r.at, now) {
			changed = true
		}
	}
	return changed
}

// recordProven records that a part ran well at a time, and clears its failures up to then. It reports whether that
// is worth a report to other entries.
func (t *Tracker) recordProven(f protocol.Fingerprint, at, now time.Time) bool {
	w := t.suspects[f]
	if w == nil {
		w = t.addSuspect(f, now)
	}
	w.part = true
	if !at.After(w.provenAt) || !at.After(w.clearedAt) {
		return false
	}
	worthReport := at.Sub(w.provenAt) >= provenInterval
	w.provenAt = at
	for id, fail := range w.failures {
		if !fail.at.After(at) {
			worthReport = true
			t.unlink(f, id)
			delete(w.failures, id)
		}
	}
	if len(w.failures) == 0 {
		worthReport = worthReport || !w.storedUntil.IsZero()
		t.clearSuspect(f, w, w.clearedAt)
	}
	return worthReport
}

// clearSuspect removes all failures of a suspect up to a time, and what they explained.
func (t *Tracker) clearSuspect(f protocol.Fingerprint, w *suspect, at time.Time) {
	t.unexplain(f, w)
	for id := range w.failures {
		t.unlink(f, id)
	}
	clear(w.failures)
	w.clearedAt = at
	w.storedUntil, w.reported, w.with = time.Time{}, false, nil
}

// unlink removes a suspect from a crash.
func (t *Tracker) unlink(f protocol.Fingerprint, id crashID) {
	delete(t.crashes[id], f)
	if len(t.crashes[id]) == 0 {
		delete(t.crashes, id)
	}
}

// RecordCrash records that an incarnation of an endpoint ended: its port refused a connection, or a
// later incarnation is known. An incarnation of 0 is unknown.
func (t *Tracker) RecordCrash(endpoint string, incarnation protocol.Incarnation, at time.Time) {
	if t.exits == nil {
		t.exits = make(map[string]exit)
	}
	x := exit{incarnation: incarnation, at: at}
	if previous := t.exits[endpoint]; incarnation.Before(previous.incarnation) || incarnation == previous.incarnation && at.Before(previous.at) {
		return
	}
	t.exits[endpoint] = x
	for id, accused := range t.crashes {
		if id.endpoint != endpoint {
			continue
		}
		for f := range accused {
			w := t.suspects[f]
			if fail := w.failures[id]; !fail.confirmed && t.crashed(id, fail.at) {
				fail.confirmed = true
				w.failures[id] = fail
			}
		}
	}
}

// RecordLeaving records that an incarnation of an endpoint said that it leaves. Its end is expected then, and says
// nothing about the work that failed there.
func (t *Tracker) RecordLeaving(endpoint string, incarnation protocol.Incarnation, at time.Time) {
	if t.leaving == nil {
		t.leaving = make(map[crashID]time.Time)
	}
	t.leaving[crashID{endpoint: endpoint, incarnation: incarnation}] = at
}

// crashed reports whether an incarnation of an endpoint ended without notice after something failed there at a time.
func (t *Tracker) crashed(id crashID, at time.Time) bool {
	if _, announced := t.leaving[id]; announced {
		return false
	}
	return t.exits[id.endpoint].covers(id.incarnation, at)
}

// covers reports whether the exit ended the incarnation at which something failed at a time.
func (x exit) covers(incarnation protocol.Incarnation, at time.Time) bool {
	if x.at.IsZero() || at.After(x.at.Add(settleTime)) {
		return false // what failed later was sent when the endpoint had ended already
	}
	if x.incarnation.Known() && incarnation.Known() {
		return !x.incarnation.Before(incarnation)
	}
	return x.at.Sub(at).Abs() <= unconfirmedTimeout
}

// Confirmed reports whether a suspect of a report was involved in a confirmed crash. For a failure
// it is the crash of the report's endpoint, for other observations any crash.
func (t *Tracker) Confirmed(r *Report) bool {
	for _, f := range r.content.suspects() {
		w := t.suspects[f]
		if w == nil {
			continue
		}
		if r.observation.Broke() {
			if w.failures[r.crashID()].confirmed {
				return true
			}
			continue
		}
		for _, fail := range w.failures {
			if fail.confirmed {
				return true
			}
		}
	}
	return false
}

// IsSuspected reports whether anything is known against a request that a successful run would clear.
func (t *Tracker) IsSuspected(c *Content) bool {
	for _, f := range c.suspects() {
		if w := t.suspects[f]; w != nil && (w.hasOpenFailure() || !w.storedUntil.IsZero()) {
			return true
		}
	}
	return false
}

// Empty reports whether nothing is known against anything.
func (t *Tracker) Empty() bool { return len(t.suspects) == 0 }
