// SPDX-License-Identifier: Apache-2.0

package pressure

import "time"

// Decision is what a stream does next: Continue, Pause, DropAttempt or Abort.
type Decision interface{ decision() }

// Continue means that the stream continues to read from its engine.
type Continue struct{}

// Pause means that the stream stops reading from its engine for now.
type Pause struct{ until time.Time }

// DropAttempt means that the attempt ends. The stream resumes at another engine after its last
// complete event, once its caller has read what is held.
type DropAttempt struct{}

// Abort means that the response is aborted. Its bytes have been released to other accounts.
type Abort struct{}

func (Continue) decision()    {}
func (Pause) decision()       {}
func (DropAttempt) decision() {}
func (Abort) decision()       {}

// Until returns when to decide again if the caller has read nothing by then.
func (p Pause) Until() time.Time { return p.until }

// Decide decides how a stream continues, by what its connection holds. A paused stream continues at
// half of its allowance, so that it does not switch at each event. Once its engine may cut it off,
// it continues at the full allowance, so that a caller that reads steadily keeps its attempt.
func (b *Budget) Decide(a *Account, now time.Time) Decision {
	allowance := b.allowance(a)
	resumeBy := a.pausedSince.Add(pauseTimeout)
	if !a.pausedSince.IsZero() && now.Before(resumeBy) {
		allowance /= 2
	}
	switch {
	case a.evicted:
		return Abort{}
	case a.held <= allowance:
		a.pausedSince = time.Time{}
		return Continue{}
	case a.pausedSince.IsZero():
		a.pausedSince = now
	case a.resumable && !now.Before(resumeBy):
		return DropAttempt{}
	}
	return Pause{until: a.pausedSince.Add(pauseTimeout)}
}

// allowance returns how many bytes an account may hold before its stream is paused.
func (b *Budget) allowance(a *Account) int64 {
	free := float64(max(0, b.free()))
	switch {
	case float64(b.teamBytes[a.team]) > teamShare*free:
		return minAllowance
	case a.resumable:
		return max(minAllowance, min(maxResumableHeld, int64(resumableShare*free)))
	default:
		return max(minAllowance, int64(nonResumableShare*free))
	}
}
