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
	until    time.Time
}

func (r *Report) isolatedRunKey() isolatedRunKey {
	return isolatedRunKey{endpoint: r.endpoint, work: r.work}
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
	t.isolatedRuns[r.isolatedRunKey()] = isolatedRun{observer: r.observer, until: until}
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

// ReservedEndpoints returns the endpoints at which other work runs in isolation.
func (t *Tracker) ReservedEndpoints(f protocol.Fingerprint, now time.Time) []string {
	var all []string
	for k, run := range t.isolatedRuns {
		if k.work != f && now.Before(run.until) && !slices.Contains(all, k.endpoint) {
			all = append(all, k.endpoint)
		}
	}
	return all
}

// isolatedUntil returns until when an isolated run of the work counts, zero if there is none.
func (t *Tracker) isolatedUntil(f protocol.Fingerprint, now time.Time) time.Time {
	for k, run := range t.isolatedRuns {
		if k.work == f && now.Before(run.until) {
			return run.until
		}
	}
	return time.Time{}
}

// MayStartIsolatedRun reports whether an isolated run that is possible now may start. Sample is a
// random number between 0 and 1. All waiting requests see the same engine become free, and those
// that start before the reports of each other arrive would share it. So each starts with a
// probability of 1/n for n waiting pieces of work. With a single sample before the first check, work
// shared its engine at all five of its isolated runs under a simulated load.
func (t *Tracker) MayStartIsolatedRun(now time.Time, sample float64) bool {
	waiting := 0
	for f, w := range t.works {
		if w.countCrashes(now).possible() < isolationThreshold {
			continue
		}
		if _, refused := t.activeRefusal(f, w, now); !refused && t.isolatedUntil(f, now).IsZero() {
			waiting++
		}
	}
	return sample*float64(waiting) < 1
}

// expireIsolatedRuns removes isolated runs whose end was not reported.
func (t *Tracker) expireIsolatedRuns(now time.Time) {
	for k, run := range t.isolatedRuns {
		if !now.Before(run.until) {
			delete(t.isolatedRuns, k)
		}
	}
}
