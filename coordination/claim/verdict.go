// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// judge gives results to the pending records that need no write, and leaves at
// most one claim of a key.
func (l *Log) judge(now time.Time) {
	claimed := map[protocol.ClaimKey]protocol.ClaimRecord{}
	kept := l.pending[:0]
	for _, r := range l.pending {
		verdict, held := l.verdict(r, now)
		first, taken := claimed[r.Key]
		switch {
		case verdict != Kept && verdict != Granted:
			l.result(r, verdict, held)
		case verdict == Granted && l.owns(r):
			l.result(r, Granted, held)
		case r.Kind == protocol.ClaimTaken && taken && first.Claimant != r.Claimant:
			l.result(r, Held, first)
		default:
			if r.Kind == protocol.ClaimTaken {
				claimed[r.Key] = r
			}
			kept = append(kept, r)
		}
	}
	l.pending = kept
}

// verdict says what a record may become by what the log holds now.
func (l *Log) verdict(r protocol.ClaimRecord, now time.Time) (Verdict, protocol.ClaimRecord) {
	if r.Kind != protocol.ClaimTaken {
		return Kept, r
	}
	if !l.RetainUntil(time.UnixMilli(r.IssuedMS)).After(now) {
		return Expired, r
	}
	held, found := l.index[r.Key]
	switch {
	case !found:
		return Granted, r
	case held.Kind == protocol.ClaimReleased && held.Claimant == r.Claimant:
		return Held, held // it was given up, and a late copy must not revive it
	case held.Kind == protocol.ClaimReleased:
		return Granted, r
	case held.Digest != r.Digest:
		return Reused, held
	case held.Kind == protocol.ClaimSettled:
		return Settled, held
	case held.Kind == protocol.ClaimDoubtful:
		return Doubtful, held
	case held.Claimant == r.Claimant:
		return Granted, held
	default:
		return Held, held
	}
}

// owns reports whether r's own claim is in the log already.
func (l *Log) owns(r protocol.ClaimRecord) bool {
	held, found := l.index[r.Key]
	return found && held.Claimant == r.Claimant && held.Kind == protocol.ClaimTaken
}

func (l *Log) result(r protocol.ClaimRecord, v Verdict, held protocol.ClaimRecord) {
	l.results = append(l.results, Result{record: r, verdict: v, held: held})
}

func (l *Log) refuseFull() {
	kept := l.pending[:0]
	for _, r := range l.pending {
		if r.Kind != protocol.ClaimTaken {
			kept = append(kept, r)
			continue
		}
		l.result(r, Full, r)
	}
	l.pending = kept
}
