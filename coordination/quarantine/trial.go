// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// trialMost is how long a trial counts whose end is not told: waiting at an engine, reading
	// its prompt and ProvenAfter.
	trialMost = 3 * time.Second
	// IsolationPollInterval is how often an entry looks whether work that waits for its trial may begin it:
	// news of a trial has reached the others by then.
	IsolationPollInterval = 20 * time.Millisecond
	// IsolationTimeout is how long a request waits for its trial where nothing else bounds the wait:
	// one takes less than half a second.
	IsolationTimeout = 2 * time.Second
	// IsolationRetryAfter is when to come back after a trial did not begin in time.
	IsolationRetryAfter = 500 * time.Millisecond
)

// trialKey names a trial: an endpoint, and the work that was sent there.
type trialKey struct {
	endpoint string
	work     protocol.Fingerprint
}

// trial is work that an entry has sent to an endpoint to find out about it.
type trial struct {
	witness string
	till    time.Time
}

func (r *Report) trial() trialKey { return trialKey{endpoint: r.endpoint, work: r.work} }

// begin notes that work is on trial at an endpoint.
func (b *Tracker) begin(r *Report, now time.Time) bool {
	till := r.at.Add(trialMost)
	if t := b.trials[r.trial()]; !now.Before(till) || now.Before(t.till) && t.witness == r.witness {
		return false
	}
	if b.trials == nil {
		b.trials = make(map[trialKey]trial)
	}
	b.trials[r.trial()] = trial{witness: r.witness, till: till}
	return true
}

// over notes that a trial is over.
func (b *Tracker) over(r *Report) bool {
	if t, there := b.trials[r.trial()]; !there || t.witness != r.witness {
		return false
	}
	delete(b.trials, r.trial())
	return true
}

// ReservedEndpoints returns the endpoints at which other work is on trial.
func (b *Tracker) ReservedEndpoints(f protocol.Fingerprint, now time.Time) []string {
	var all []string
	for k, t := range b.trials {
		if k.work != f && now.Before(t.till) && !slices.Contains(all, k.endpoint) {
			all = append(all, k.endpoint)
		}
	}
	return all
}

// underTrial returns until when work is on trial somewhere, zero if it is not.
func (b *Tracker) underTrial(f protocol.Fingerprint, now time.Time) time.Time {
	for k, t := range b.trials {
		if k.work == f && now.Before(t.till) {
			return t.till
		}
	}
	return time.Time{}
}

// MayStartIsolatedRun reports, for a draw between 0 and 1, whether a trial begins that may begin at this look.
// All that wait see the same engine come free, and those that begin within the time that news takes
// would meet there; so each begins with the chance of one in as many as wait. With a single draw
// before the first look, work was with another piece at all five of its trials (played load).
func (b *Tracker) MayStartIsolatedRun(now time.Time, draw float64) bool {
	waiting := 0
	for f, w := range b.works {
		if w.count(now).most() < aloneFrom {
			continue
		}
		if _, refused := b.refused(f, w, now); !refused && b.underTrial(f, now).IsZero() {
			waiting++
		}
	}
	return draw*float64(waiting) < 1
}

// expireTrials forgets trials whose end was not told.
func (b *Tracker) expireTrials(now time.Time) {
	for k, t := range b.trials {
		if !now.Before(t.till) {
			delete(b.trials, k)
		}
	}
}
