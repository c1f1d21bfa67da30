// SPDX-License-Identifier: Apache-2.0

package pressure

import "time"

// Decision is what a stream does next: GoOn, Stop, Drop or End.
type Decision interface{ decision() }

// GoOn reads on from the engine.
type GoOn struct{}

// Stop leaves what the engine sends unread for the time being.
type Stop struct{ till time.Time }

// Drop ends the send. The stream goes on elsewhere after its last whole event, once its
// caller has read what is held.
type Drop struct{}

// End breaks the answer off: what it held is given to others.
type End struct{}

func (GoOn) decision() {}
func (Stop) decision() {}
func (Drop) decision() {}
func (End) decision()  {}

// Till returns when to look again if the caller has read nothing by then.
func (s Stop) Till() time.Time { return s.till }

// Look decides how a stream goes on with what its connection holds. One that has stopped goes
// on at half of its allowance, so not for each event. Once its engine may cut it off it goes
// on at the whole: a caller who reads steadily keeps its send.
func (b *Budget) Look(a *Account, now time.Time) Decision {
	most := b.allowance(a)
	till := a.stopped.Add(engineBears)
	if !a.stopped.IsZero() && now.Before(till) {
		most /= 2
	}
	switch {
	case a.ended:
		return End{}
	case a.held <= most:
		a.stopped = time.Time{}
		return GoOn{}
	case a.stopped.IsZero():
		a.stopped = now
	case a.resumable && !now.Before(till):
		return Drop{}
	}
	return Stop{till: a.stopped.Add(engineBears)}
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
