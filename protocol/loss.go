// SPDX-License-Identifier: Apache-2.0

package protocol

// LossSign is what an entry met at an endpoint that may be lost.
type LossSign uint8

// The signs: its port refused a connection, so that the process is gone; it did not answer
// a question that takes some ms; it answered after all; what answers at its address is
// another process, or holds other layers than its record says.
const (
	LossRefused LossSign = iota + 1
	LossSilent
	LossAnswered
	LossMisplaced
)

// String returns the sign as logs say it.
func (s LossSign) String() string {
	switch s {
	case LossRefused:
		return "connection refused"
	case LossSilent:
		return "silent"
	case LossAnswered:
		return "answered"
	case LossMisplaced:
		return "not as recorded"
	default:
		return "unknown"
	}
}

// RelayLoss tells that an entry, the witness, met a sign of one life of an endpoint, AgoMS
// milliseconds before the frame was written.
type RelayLoss struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Lifetime Lifetime
	Witness  string
	Sign     LossSign
	AgoMS    float64
	// Occupant is the ID of what answers at the endpoint's address, "" if that is not known.
	Occupant string
}

// sound reports whether the news has the shape that it may have.
func (l *RelayLoss) sound() bool {
	return l.Endpoint != "" && l.Witness != "" && l.Lifetime >= 0 &&
		l.Sign >= LossRefused && l.Sign <= LossMisplaced && l.AgoMS >= 0
}

// soundLosses reports whether all news of a frame do.
func soundLosses(all []RelayLoss) bool {
	for i := range all {
		if !all[i].sound() {
			return false
		}
	}
	return true
}
