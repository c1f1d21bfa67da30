// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// decidePending gives results to the pending records that need no write. Of several claims
// of one key it leaves at most one pending.
func (l *Log) decidePending(now time.Time) {
	claimed := map[protocol.ClaimKey]protocol.ClaimRecord{}
	undecided := l.pending[:0]
	for _, r := range l.pending {
		verdict, existing := l.verdict(r, now)
		first, taken := claimed[r.Key]
		switch {
		case verdict != Kept && verdict != Granted:
			l.addResult(r, verdict, existing)
		case verdict == Granted && l.holdsClaim(r):
			l.addResult(r, Granted, existing)
		case r.Kind == protocol.ClaimTaken && taken && first.Claimant != r.Claimant:
			l.addResult(r, Held, first)
		default:
			if r.Kind == protocol.ClaimTaken {
				claimed[r.Key] = r
			}
			undecided = append(undecided, r)
		}
	}
	l.pending = undecided
}

// verdict returns the verdict that a record gets from the current content of the log, and
// the existing record of its key.
func (l *Log) verdict(r protocol.ClaimRecord, now time.Time) (Verdict, protocol.ClaimRecord) {
	if r.Kind != protocol.ClaimTaken {
		return Kept, r
	}
	if !l.RetainUntil(time.UnixMilli(r.IssuedMS)).After(now) {
		return Expired, r
	}
	existing, found := l.index[r.Key]
	switch {
	case !found:
		return Granted, r
	case existing.Kind == protocol.ClaimReleased && existing.Claimant == r.Claimant:
		return Held, existing // the claim was released; a delayed duplicate must not revive it
	case existing.Kind == protocol.ClaimReleased:
		return Granted, r
	case existing.Digest != r.Digest:
		return Reused, existing
	case existing.Kind == protocol.ClaimSettled:
		return Settled, existing
	case existing.Kind == protocol.ClaimUncertain:
		return Doubtful, existing
	case existing.Claimant == r.Claimant:
		return Granted, existing
	default:
		return Held, existing
	}
}

// holdsClaim reports whether r's own claim is already in the log.
func (l *Log) holdsClaim(r protocol.ClaimRecord) bool {
	existing, found := l.index[r.Key]
	return found && existing.Claimant == r.Claimant && existing.Kind == protocol.ClaimTaken
}

// addResult adds a result for the next call of Results.
func (l *Log) addResult(r protocol.ClaimRecord, v Verdict, existing protocol.ClaimRecord) {
	l.results = append(l.results, Result{record: r, verdict: v, existing: existing})
}

// refuseFull refuses all pending claims because the next slot can't be overwritten yet.
func (l *Log) refuseFull() {
	remaining := l.pending[:0]
	for _, r := range l.pending {
		if r.Kind != protocol.ClaimTaken {
			remaining = append(remaining, r)
			continue
		}
		l.addResult(r, Full, r)
	}
	l.pending = remaining
}
