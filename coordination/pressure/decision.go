// SPDX-License-Identifier: Apache-2.0

package pressure

import "time"

// Decision is what a stream does next: GoOn, Stop, Drop or End.
type Decision interface{ decision() }

// Continue reads on from the engine.
type Continue struct{}

// Pause leaves what the engine sends unread for the time being.
type Pause struct{ till time.Time }

// DropAttempt ends the send. The stream goes on elsewhere after its last whole event, once its
// caller has read what is held.
type DropAttempt struct{}

// Abort breaks the answer off: what it held is given to others.
type Abort struct{}

func (Continue) decision()    {}
func (Pause) decision()       {}
func (DropAttempt) decision() {}
func (Abort) decision()       {}

// Until returns when to look again if the caller has read nothing by then.
func (s Pause) Until() time.Time { return s.till }

// Decide decides how a stream goes on with what its connection holds. One that has stopped goes
// on at half of its allowance, so not for each event. Once its engine may cut it off it goes
// on at the whole: a caller who reads steadily keeps its send.
func (b *Budget) Decide(a *Account, now time.Time) Decision {
	most := b.allowance(a)
	till := a.stopped.Add(engineBears)
	if !a.stopped.IsZero() && now.Before(till) {
		most /= 2
	}
	switch {
	case a.ended:
		return Abort{}
	case a.held <= most:
		a.stopped = time.Time{}
		return Continue{}
	case a.stopped.IsZero():
		a.stopped = now
	case a.resumable && !now.Before(till):
		return DropAttempt{}
	}
	return Pause{till: a.stopped.Add(engineBears)}
}

// allowance returns how much an account may hold before its engine is left unread.
func (b *Budget) allowance(a *Account) int64 {
	free := float64(max(0, b.free()))
	switch {
	case float64(b.teams[a.team]) > teamShare*free:
		return leastHeld
	case a.resumable:
		return max(leastHeld, min(resumeMost, int64(resumeShare*free)))
	default:
		return max(leastHeld, int64(onceShare*free))
	}
}
