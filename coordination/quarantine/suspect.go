// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// suspect is what is known about a whole work, or about a part of prompts.
type suspect struct {
	part        bool // it is a part of prompts, which requests with different work may share
	failures    map[crashID]failure
	clearedAt   time.Time // failures up to then no longer count
	provenAt    time.Time // when the part last ran well, zero if it is not known to have
	storedUntil time.Time // end of the refusal in the platform's store, zero for none
	reported    bool      // the refusal has been returned by NewRefusals
	// with is what else was in all requests that crashed endpoints with a part that is refused. One of them is the
	// cause, so only requests with all of them are refused.
	with []protocol.Fingerprint
}

// failure is a failure of a suspect at an endpoint.
type failure struct {
	at              time.Time
	confirmed       bool                 // the endpoint is known to have crashed
	laterStage      bool                 // the endpoint was a later stage of the work's path
	restored        bool                 // known from the platform's store alone
	unresolvedUntil time.Time            // end of the wait for the result of probes, zero for none
	explainedBy     protocol.Fingerprint // the refused suspect that explains the crash, zero for none
}

// counts reports whether the failure is a confirmed crash that nothing else explains.
func (f *failure) counts() bool { return f.confirmed && f.explainedBy.IsZero() }

// lastFailure returns the time of the last failure.
func (w *suspect) lastFailure() time.Time {
	var last time.Time
	for _, fail := range w.failures {
		if fail.at.After(last) {
			last = fail.at
		}
	}
	return last
}

// firstFailure returns the time of the first failure that counts, zero for none.
func (w *suspect) firstFailure() time.Time {
	var first time.Time
	for _, fail := range w.failures {
		if fail.counts() && (first.IsZero() || fail.at.Before(first)) {
			first = fail.at
		}
	}
	return first
}

// isRestored reports whether all that is known against the suspect comes from the platform's store, which does not say
// what else was at its crashes.
func (w *suspect) isRestored() bool {
	for _, fail := range w.failures {
		if !fail.restored {
			return false
		}
	}
	return true
}

// isProven reports whether the suspect is a part that is known to have run well.
func (w *suspect) isProven(now time.Time) bool {
	return !w.provenAt.IsZero() && now.Sub(w.provenAt) <= Retention
}

// isClearedAt reports whether a failure at a time no longer counts, because the suspect was cleared or ran well since.
func (w *suspect) isClearedAt(at time.Time) bool {
	return !at.After(w.clearedAt) || w.part && !at.After(w.provenAt)
}

// crashCount is the number of crashes in which a suspect was involved.
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

// possible returns the largest number of crashes in which the suspect may have been involved.
func (c crashCount) possible() int { return c.confirmed() + c.unconfirmed }

// countCrashes returns the number of crashes in which the suspect was involved, and that nothing else explains.
func (w *suspect) countCrashes(now time.Time) crashCount {
	var c crashCount
	for _, fail := range w.failures {
		switch {
		case !fail.explainedBy.IsZero():
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

// countSpaced returns the number of crashes that count and that came one after the other.
func (w *suspect) countSpaced() int {
	var times []time.Time
	for _, fail := range w.failures {
		if fail.counts() {
			times = append(times, fail.at)
		}
	}
	return countSpaced(times)
}

// countSpaced returns how many of the times are crashSpacing apart.
func countSpaced(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n, last := 0, time.Time{}
	for _, at := range times {
		if at.Sub(last) >= crashSpacing {
			n, last = n+1, at
		}
	}
	return n
}

// hasOpenFailure reports whether the suspect failed in a crash that nothing else explains.
func (w *suspect) hasOpenFailure() bool {
	for _, fail := range w.failures {
		if fail.explainedBy.IsZero() {
			return true
		}
	}
	return false
}
