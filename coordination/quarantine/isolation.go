// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// maxIsolatedRun is how long an isolated run counts if its end is not reported. It covers the
	// wait at an engine, the prefill of the prompt and SafeAfter.
	maxIsolatedRun = 3 * time.Second
	// IsolationPollInterval is how often an entry checks whether waiting work may start its
	// isolated run. Reports of an isolated run reach the other entries within this time.
	IsolationPollInterval = 20 * time.Millisecond
	// IsolationTimeout is how long a request waits for its isolated run where nothing else limits
	// the wait. A run takes less than half a second.
	IsolationTimeout = 2 * time.Second
	// IsolationRetryAfter is when the caller should retry after an isolated run did not start in
	// time.
	IsolationRetryAfter = 500 * time.Millisecond
	// pollsUntilReported is how often the other entries check until the report of a run has reached them all.
	pollsUntilReported = settleTime / IsolationPollInterval
	// doublingInterval is in which time the probability doubles with which one of many entries starts a run. At a
	// thousand entries, one that waits alone starts within a second.
	doublingInterval = settleTime / 2
	// maxConcurrentRuns is how many requests with the same part may run in isolation at one endpoint.
	maxConcurrentRuns = 2
	// maxDoublings is enough for a million entries.
	maxDoublings = 24
)

// isolatedRunKey identifies an isolated run by its endpoint and its work.
type isolatedRunKey struct {
	endpoint string
	work     protocol.Fingerprint
}

// isolatedRun is a run of suspected work by an entry, to find out whether the work crashes the
// endpoint.
type isolatedRun struct {
	observer string
	parts    []protocol.Fingerprint
	until    time.Time
}

func (r *Report) isolatedRunKey() isolatedRunKey {
	return isolatedRunKey{endpoint: r.endpoint, work: r.content.whole}
}

// startIsolatedRun records that work runs in isolation at an endpoint.
func (t *Tracker) startIsolatedRun(r *Report, now time.Time) bool {
	until := r.at.Add(maxIsolatedRun)
	if run := t.isolatedRuns[r.isolatedRunKey()]; !now.Before(until) || now.Before(run.until) && run.observer == r.observer {
		return false
	}
	if t.isolatedRuns == nil {
		t.isolatedRuns = make(map[isolatedRunKey]isolatedRun)
	}
	t.isolatedRuns[r.isolatedRunKey()] = isolatedRun{observer: r.observer, parts: r.content.parts, until: until}
	return true
}

// endIsolatedRun records that an isolated run is over.
func (t *Tracker) endIsolatedRun(r *Report) bool {
	if run, ok := t.isolatedRuns[r.isolatedRunKey()]; !ok || run.observer != r.observer {
		return false
	}
	delete(t.isolatedRuns, r.isolatedRunKey())
	return true
}

// ReservedEndpoints returns the endpoints that a request avoids. Suspected requests avoid each other. All requests avoid
// endpoints where a run has to be isolated: they would be lost with the endpoint.
func (t *Tracker) ReservedEndpoints(c *Content, now time.Time) []string {
	if len(t.isolatedRuns) == 0 {
		return nil
	}
	_, unrestricted := t.Status(c, now).(Unrestricted)
	var all []string
	for k, run := range t.isolatedRuns {
		if k.work != c.whole && now.Before(run.until) && !slices.Contains(all, k.endpoint) && (!unrestricted || t.mustBeIsolated(k.work, run.parts, now)) {
			all = append(all, k.endpoint)
		}
	}
	return all
}

// mustBeIsolated reports whether a request has a suspect that runs only in isolation.
func (t *Tracker) mustBeIsolated(work protocol.Fingerprint, parts []protocol.Fingerprint, now time.Time) bool {
	needs := func(f protocol.Fingerprint) bool {
		w := t.suspects[f]
		return w != nil && w.needsIsolation(now)
	}
	return needs(work) || slices.ContainsFunc(parts, needs)
}

// isolatedUntil returns until when an isolated run of a suspect counts, zero if there is none.
func (t *Tracker) isolatedUntil(f protocol.Fingerprint, now time.Time) time.Time {
	for k, run := range t.isolatedRuns {
		if (k.work == f || slices.Contains(run.parts, f)) && now.Before(run.until) {
			return run.until
		}
	}
	return time.Time{}
}

// Contention describes the other requests that may start an isolated run at the same time.
type Contention struct {
	// Entries is the number of entries with requests that wait for the same run, 1 if no other can have any. Each
	// entry knows only its own.
	Entries int
	// Since is when the wait for the start began.
	Since time.Time
	// Sample is a random number between 0 and 1.
	Sample float64
}

// MayStartIsolatedRun reports whether an isolated run that is possible now may start. All waiting requests see the
// same engine become free, and those that start before the reports of each other arrive would share it. So each
// starts with a probability of 1/n for n waiting suspects. With a single sample before the first check, work
// shared its engine at all five of its isolated runs under a simulated load. Requests with the same part
// may wait at any number of entries: the probability begins so low that one of all of them starts until its report has
// reached the others, and doubles until one starts.
func (t *Tracker) MayStartIsolatedRun(now time.Time, c Contention) bool {
	waiting := 0
	for f, w := range t.suspects {
		if !w.needsIsolation(now) {
			continue
		}
		if t.mayRun(f, w, now) && t.isolatedUntil(f, now).IsZero() {
			waiting++
		}
	}
	contenders := 1.0
	if c.Entries > 1 {
		doublings := min(maxDoublings, now.Sub(c.Since)/doublingInterval)
		contenders = max(1, float64(c.Entries)*float64(pollsUntilReported)/float64(uint64(1)<<doublings))
	}
	return c.Sample*float64(waiting)*contenders < 1
}

// needsIsolation reports whether the suspect was in so many possible crashes that it runs in isolation.
func (w *suspect) needsIsolation(now time.Time) bool {
	if len(w.failures) < isolationThreshold {
		return false
	}
	if w.part && w.isProven(now) {
		return w.countSpaced() >= provenIsolationThreshold
	}
	return w.countCrashes(now).possible() >= isolationThreshold
}

// expireIsolatedRuns removes isolated runs whose end was not reported.
func (t *Tracker) expireIsolatedRuns(now time.Time) {
	for k, run := range t.isolatedRuns {
		if !now.Before(run.until) {
			delete(t.isolatedRuns, k)
		}
	}
}
