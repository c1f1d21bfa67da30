// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// WorkSign is what an entry met when it sent some work to an endpoint.
type WorkSign uint8

// The signs: its answer broke off, or fell silent, soon after it began to run there; it ran
// there, and the endpoint lived on; the entry sends it there alone, to find out; that is over; it
// waited for that endpoint, a later stage of its path, when that was lost.
const (
	WorkBroke WorkSign = iota + 1
	WorkRan
	WorkTried
	WorkTrialOver
	WorkBrokeBehind
)

// String returns the sign as logs say it.
func (s WorkSign) String() string {
	switch s {
	case WorkBroke:
		return "broke"
	case WorkRan:
		return "ran"
	case WorkTried:
		return "tried alone"
	case WorkTrialOver:
		return "trial over"
	case WorkBrokeBehind:
		return "broke at a later stage"
	default:
		return "unknown"
	}
}

// Known reports whether it is one of the signs.
func (s WorkSign) Known() bool { return s >= WorkBroke && s <= WorkBrokeBehind }

// Broke reports whether it says that the work was where an endpoint may have ended.
func (s WorkSign) Broke() bool { return s == WorkBroke || s == WorkBrokeBehind }

// RelayWork tells that an entry, the witness, met a sign of some work at one life of an
// endpoint, AgoMS milliseconds before the frame was written.
type RelayWork struct {
	_        struct{} `cbor:",toarray"`
	Work     Fingerprint
	Endpoint string
	Lifetime Lifetime
	Witness  string
	Sign     WorkSign
	AgoMS    float64
}

// At returns when the witness met it, by the clock of who was told at a time.
func (w *RelayWork) At(told time.Time) time.Time {
	return told.Add(-time.Duration(w.AgoMS * float64(time.Millisecond)))
}

// sound reports whether the news has the shape that it may have.
func (w *RelayWork) sound() bool {
	return !w.Work.IsZero() && w.Endpoint != "" && w.Witness != "" && w.Lifetime >= 0 &&
		w.Sign.Known() && w.AgoMS >= 0
}

// soundWork reports whether all news of a frame do.
func soundWork(all []RelayWork) bool {
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
	Ends   []WorkEnd `json:"ends"`
	TillMS int64     `json:"till_ms"` // Unix time until which it is refused, in milliseconds
}

// WorkEnd is one end of an endpoint under some work.
type WorkEnd struct {
	Endpoint string   `json:"endpoint"`
	Lifetime Lifetime `json:"lifetime,omitempty"`
	AtMS     int64    `json:"at_ms"` // Unix time in milliseconds
}
