// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// WorkObservation is what an entry met when it sent some work to an endpoint.
type WorkObservation uint8

// The signs: its answer broke off, or fell silent, soon after it began to run there; it ran
// there, and the endpoint lived on; the entry sends it there alone, to find out; that is over; it
// waited for that endpoint, a later stage of its path, when that was lost.
const (
	WorkBroke WorkObservation = iota + 1
	WorkRan
	WorkIsolatedRun
	WorkIsolatedRunOver
	WorkBrokeAtLaterStage
)

// String returns the sign as logs say it.
func (s WorkObservation) String() string {
	switch s {
	case WorkBroke:
		return "broke"
	case WorkRan:
		return "ran"
	case WorkIsolatedRun:
		return "tried alone"
	case WorkIsolatedRunOver:
		return "trial over"
	case WorkBrokeAtLaterStage:
		return "broke at a later stage"
	default:
		return "unknown"
	}
}

// Known reports whether it is one of the signs.
func (s WorkObservation) Known() bool { return s >= WorkBroke && s <= WorkBrokeAtLaterStage }

// Broke reports whether it says that the work was where an endpoint may have ended.
func (s WorkObservation) Broke() bool { return s == WorkBroke || s == WorkBrokeAtLaterStage }

// WorkReport tells that an entry, the witness, met a sign of some work at one life of an
// endpoint, AgoMS milliseconds before the frame was written.
type WorkReport struct {
	_           struct{} `cbor:",toarray"`
	Work        Fingerprint
	Endpoint    string
	Incarnation Incarnation
	Observer    string
	Observation WorkObservation
	AgoMS       float64
}

// At returns when the witness met it, by the clock of who was told at a time.
func (w *WorkReport) At(told time.Time) time.Time {
	return told.Add(-time.Duration(w.AgoMS * float64(time.Millisecond)))
}

// sound reports whether the news has the shape that it may have.
func (w *WorkReport) sound() bool {
	return !w.Work.IsZero() && w.Endpoint != "" && w.Observer != "" && w.Incarnation >= 0 &&
		w.Observation.Known() && w.AgoMS >= 0
}

// soundWork reports whether all news of a frame do.
func soundWork(all []WorkReport) bool {
	for i := range all {
		if !all[i].sound() {
			return false
		}
	}
	return true
}

// RefusedWork is what the platform keeps of work that entries refuse, under its fingerprint, so
// that it outlasts all entries.
type RefusedWork struct {
	Crashes []WorkCrash `json:"ends"`
	UntilMS int64       `json:"till_ms"` // Unix time until which it is refused, in milliseconds
}

// WorkCrash is one end of an endpoint under some work.
type WorkCrash struct {
	Endpoint    string      `json:"endpoint"`
	Incarnation Incarnation `json:"lifetime,omitempty"`
	AtMS        int64       `json:"at_ms"` // Unix time in milliseconds
}
