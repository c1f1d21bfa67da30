// SPDX-License-Identifier: Apache-2.0

package protocol

// LossObservation is what an entry observed at an endpoint that may be lost.
type LossObservation uint8

// The observations of a loss.
const (
	LossRefused  LossObservation = iota + 1 // its port refused a connection, so the process is gone
	LossSilent                              // it did not answer a probe, which normally takes a few milliseconds
	LossAnswered                            // it answered after all
	LossMismatch                            // another process answers at its address, or it holds other layers than its record says
)

// String returns the observation as it appears in logs.
func (s LossObservation) String() string {
	switch s {
	case LossRefused:
		return "connection refused"
	case LossSilent:
		return "silent"
	case LossAnswered:
		return "answered"
	case LossMismatch:
		return "not as recorded"
	default:
		return "unknown"
	}
}

// LossReport says that an entry, the observer, made an observation of one incarnation of an
// endpoint, AgoMS milliseconds before the frame was written.
type LossReport struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation Incarnation
	Observer    string
	Observation LossObservation
	AgoMS       float64
	// AddressOwner is the ID of the endpoint that answers at the address, "" if unknown.
	AddressOwner string
}

// valid reports whether all fields of the report are in range.
func (l *LossReport) valid() bool {
	return l.Endpoint != "" && l.Observer != "" && l.Incarnation >= 0 &&
		l.Observation >= LossRefused && l.Observation <= LossMismatch && l.AgoMS >= 0
}

// validLosses reports whether all reports are valid.
func validLosses(reports []LossReport) bool {
	for i := range reports {
		if !reports[i].valid() {
			return false
		}
	}
	return true
}
