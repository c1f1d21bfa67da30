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
	// isolationThreshold is the number of crashes from which work runs in isolation.
	isolationThreshold = 2
	// laterStageThreshold is the number of crashes of later stages from which they count at all.
	// Every request whose path contains a stage waits for it when it crashes, even if the request
	// had not reached it. With one or two, requests would wait for isolated runs whenever many
	// engines crash in a day.
	laterStageThreshold = 3
	// settleTime is how long after a crash the reports of all observers may take. A report takes
	// some milliseconds through the relay tree, and a busy entry takes some tens of milliseconds to
	// handle a failed attempt.
	settleTime = 150 * time.Millisecond
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
	// maxWorks limits the work that is remembered, at some 1,000 bytes each. An outage of a data
	// center crashes some hundred endpoints, each with a few new pieces of work.
	maxWorks = 4096
	// evictionDivisor sets the share of work that is evicted at once when the limit is reached: one
	// in evictionDivisor.
	evictionDivisor = 8
	// maxCrashesPerWork limits the crashes that are remembered for each piece of work.
	maxCrashesPerWork = 8
	// expireInterval is the interval between two searches for expired entries.
	expireInterval = time.Second
)

// Tracker tracks the reports of all entries. The zero value is empty.
type Tracker struct {
	works        map[protocol.Fingerprint]*workState
	crashes      map[crashID]map[protocol.Fingerprint]bool // the work that failed in each confirmed or possible crash
	exits        map[string]exit                           // the latest known exit of each endpoint
	isolatedRuns map[isolatedRunKey]isolatedRun
	lastExpiry   time.Time
}

// workState is what is known about one piece of work.
type workState struct {
	failures    map[crashID]failure
	clearedAt   time.Time // failures up to then no longer count
	storedUntil time.Time // end of the refusal in the platform's store, zero for none
	reported    bool      // the refusal has been returned by NewRefusals
}

// failure is a failure of work at an endpoint.
type failure struct {
	at              time.Time
	confirmed       bool      // the endpoint is known to have crashed
	laterStage      bool      // the endpoint was a later stage of the work's path
	unresolvedUntil time.Time // end of the wait for the result of probes, zero for none
}

// exit is the end of an incarnation of an endpoint.
type exit struct {
	incarnation protocol.Incarnation
	at          time.Time
}

// Apply applies a report. It reports whether the report changes anything, so that it must be passed
// on.
func (t *Tracker) Apply(r Report, now time.Time) bool {
	t.expire(now)
	if now.Sub(r.at) > Retention || r.at.After(now) {
		return false
	}
	switch r.observation {
	case protocol.WorkBroke, protocol.WorkBrokeAtLaterStage:
		return t.recordFailure(&r, now)
	case protocol.WorkRan:
		return t.recordSuccess(&r)
	case protocol.WorkIsolatedRun:
		return t.startIsolatedRun(&r, now)
	case protocol.WorkIsolatedRunOver:
		return t.endIsolatedRun(&r)
	default:
		return false
	}
}

// recordFailure records that work failed at an endpoint, once for each incarnation.
func (t *Tracker) recordFailure(r *Report, now time.Time) bool {
	w := t.works[r.work]
	if w != nil {
		if _, known := w.failures[r.crashID()]; known || !r.at.After(w.clearedAt) {
			return false
		}
	}
	if w == nil {
		w = t.addWork(r.work, now)
	}
	if len(w.failures) >= maxCrashesPerWork {
		t.dropOldestFailure(r.work, w)
	}
	fail := failure{at: r.at, confirmed: t.exits[r.endpoint].covers(r.incarnation, r.at), laterStage: r.observation == protocol.WorkBrokeAtLaterStage}
	if r.unresolved {
		fail.unresolvedUntil = r.at.Add(UnresolvedTimeout)
	}
	w.failures[r.crashID()] = fail
	if t.crashes == nil {
		t.crashes = make(map[crashID]map[protocol.Fingerprint]bool)
	}
	if t.crashes[r.crashID()] == nil {
		t.crashes[r.crashID()] = make(map[protocol.Fingerprint]bool)
	}
	t.crashes[r.crashID()][r.work] = true
	return true
}

// addWork adds an empty state for some work. It evicts other work if the limit is reached.
func (t *Tracker) addWork(f protocol.Fingerprint, now time.Time) *workState {
	if t.works == nil {
		t.works = make(map[protocol.Fingerprint]*workState)
	}
	if len(t.works) >= maxWorks {
		t.evict(now)
	}
	w := &workState{failures: make(map[crashID]failure)}
	t.works[f] = w
	return w
}

// recordSuccess clears work that ran without a crash after its failures.
func (t *Tracker) recordSuccess(r *Report) bool {
	w := t.works[r.work]
	if w == nil || !r.at.After(w.clearedAt) || !r.at.After(w.lastFailure()) {
		return false
	}
	t.clearWork(r.work, w, r.at)
	return true
}

// clearWork removes all failures of some work up to a time.
func (t *Tracker) clearWork(f protocol.Fingerprint, w *workState, at time.Time) {
	for id := range w.failures {
		t.unlink(f, id)
	}
	clear(w.failures)
	w.clearedAt = at
	w.storedUntil, w.reported = time.Time{}, false
}

// unlink removes work from the set of work that failed in a crash.
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
	if previous := t.exits[endpoint]; incarnation.Before(previous.incarnation) || incarnation.Known() && incarnation == previous.incarnation {
		return
	}
	t.exits[endpoint] = x
	for id, works := range t.crashes {
		if id.endpoint != endpoint {
			continue
		}
		for f := range works {
			w := t.works[f]
			if fail := w.failures[id]; !fail.confirmed && x.covers(id.incarnation, fail.at) {
				fail.confirmed = true
				w.failures[id] = fail
			}
		}
	}
}

// covers reports whether the exit ended the incarnation at which something failed at a time.
func (x exit) covers(incarnation protocol.Incarnation, at time.Time) bool {
	if x.at.IsZero() {
		return false
	}
	if x.incarnation.Known() && incarnation.Known() {
		return !x.incarnation.Before(incarnation)
	}
	return x.at.Sub(at).Abs() <= unconfirmedTimeout
}

// lastFailure returns the time of the last failure.
func (w *workState) lastFailure() time.Time {
	var last time.Time
	for _, fail := range w.failures {
		if fail.at.After(last) {
			last = fail.at
		}
	}
	return last
}

// crashCount is the number of crashes in which some work was involved.
type crashCount struct {
	firstStage  int // confirmed, at the first engine of its path
	laterStage  int // confirmed, at later engines
	unconfirmed int // possible crashes
}

// confirmed returns the number of confirmed crashes that count.
func (c crashCount) confirmed() int {
	if c.laterStage < laterStageThreshold {
		return c.firstStage
	}
	return c.firstStage + c.laterStage
}

// possible returns the largest number of crashes in which the work may have been involved.
func (c crashCount) possible() int { return c.confirmed() + c.unconfirmed }

// countCrashes returns the number of crashes in which the work was involved.
func (w *workState) countCrashes(now time.Time) crashCount {
	var c crashCount
	for _, fail := range w.failures {
		switch {
		case fail.confirmed && fail.laterStage:
			c.laterStage++
		case fail.confirmed:
			c.firstStage++
		case !fail.laterStage && now.Sub(fail.at) <= unconfirmedTimeout:
			c.unconfirmed++
		}
	}
	return c
}

// Confirmed reports whether the work of a report was involved in a confirmed crash. For a failure
// it is the crash of the report's endpoint, for other observations any crash.
func (t *Tracker) Confirmed(r *Report) bool {
	w := t.works[r.work]
	if w == nil {
		return false
	}
	if r.observation.Broke() {
		return w.failures[r.crashID()].confirmed
	}
	for _, fail := range w.failures {
		if fail.confirmed {
			return true
		}
	}
	return false
}

// IsSuspected reports whether anything is known against some work that a successful run would
// clear.
func (t *Tracker) IsSuspected(f protocol.Fingerprint) bool {
	w := t.works[f]
	return w != nil && (len(w.failures) > 0 || !w.storedUntil.IsZero())
}

// Empty reports whether nothing is known against any work.
func (t *Tracker) Empty() bool { return len(t.works) == 0 }
