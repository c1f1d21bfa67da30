// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// WorkObservation is what an entry observed when it sent some work to an endpoint.
type WorkObservation uint8

// The observations of work.
const (
	WorkBroke             WorkObservation = iota + 1 // its answer was aborted or went silent soon after it began to run there
	WorkRan                                          // it ran there and the endpoint survived
	WorkIsolatedRun                                  // the entry runs it there without other work, to find out whether it crashes the endpoint
	WorkIsolatedRunOver                              // the isolated run is over
	WorkBrokeAtLaterStage                            // it waited for that endpoint, a later stage of its path, when the endpoint was lost
)

// String returns the observation as it appears in logs.
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

// Known reports whether s is one of the defined observations.
func (s WorkObservation) Known() bool { return s >= WorkBroke && s <= WorkBrokeAtLaterStage }

// Broke reports whether the work was at an endpoint that may have crashed.
func (s WorkObservation) Broke() bool { return s == WorkBroke || s == WorkBrokeAtLaterStage }

// WorkReport says that an entry, the observer, made an observation of some work at one
// incarnation of an endpoint, AgoMS milliseconds before the frame was written.
type WorkReport struct {
	_           struct{} `cbor:",toarray"`
	Work        Fingerprint
	Endpoint    string
	Incarnation Incarnation
	Observer    string
	Observation WorkObservation
	AgoMS       float64
}

// At returns when the observation was made, by the clock of the receiver of the report.
func (w *WorkReport) At(received time.Time) time.Time {
	return received.Add(-time.Duration(w.AgoMS * float64(time.Millisecond)))
}

// valid reports whether all fields of the report are in range.
func (w *WorkReport) valid() bool {
	return !w.Work.IsZero() && w.Endpoint != "" && w.Observer != "" && w.Incarnation >= 0 &&
		w.Observation.Known() && w.AgoMS >= 0
}

// validWork reports whether all reports are valid.
func validWork(reports []WorkReport) bool {
	for i := range reports {
		if !reports[i].valid() {
			return false
		}
	}
	return true
}

// RefusedWork is what the platform stores about work that entries refuse, under its fingerprint,
// so that the refusal outlasts all entries.
type RefusedWork struct {
	Crashes []WorkCrash `json:"ends"`
	UntilMS int64       `json:"till_ms"` // Unix time in milliseconds until which the work is refused
}

// WorkCrash is a crash of an endpoint attributed to some work.
type WorkCrash struct {
	Endpoint    string      `json:"endpoint"`
	Incarnation Incarnation `json:"lifetime,omitempty"`
	AtMS        int64       `json:"at_ms"` // Unix time in milliseconds
}
