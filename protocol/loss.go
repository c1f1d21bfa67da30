// SPDX-License-Identifier: Apache-2.0

package protocol

// LossObservation is what an entry met at an endpoint that may be lost.
type LossObservation uint8

// The signs: its port refused a connection, so that the process is gone; it did not answer
// a question that takes some ms; it answered after all; what answers at its address is
// another process, or holds other layers than its record says.
const (
	LossRefused LossObservation = iota + 1
	LossSilent
	LossAnswered
	LossMismatch
)

// String returns the sign as logs say it.
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

// LossReport tells that an entry, the witness, met a sign of one life of an endpoint, AgoMS
// milliseconds before the frame was written.
type LossReport struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation Incarnation
	Observer    string
	Observation LossObservation
	AgoMS       float64
	// AddressOwner is the ID of what answers at the endpoint's address, "" if that is not known.
	AddressOwner string
}

// sound reports whether the news has the shape that it may have.
func (l *LossReport) sound() bool {
	return l.Endpoint != "" && l.Observer != "" && l.Incarnation >= 0 &&
		l.Observation >= LossRefused && l.Observation <= LossMismatch && l.AgoMS >= 0
}

// soundLosses reports whether all news of a frame do.
func soundLosses(all []LossReport) bool {
	for i := range all {
		if !all[i].sound() {
			return false
		}
	}
	return true
}
