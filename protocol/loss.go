// SPDX-License-Identifier: Apache-2.0

package protocol

// LossSign is what an entry met at an endpoint that may be lost.
type LossSign uint8

// The signs: its port refused a connection, so that the process is gone, and its ID with
// it; it did not answer a question that takes some ms; it answered after all.
const (
	LossRefused LossSign = iota + 1
	LossSilent
	LossAnswered
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
	default:
		return "unknown"
	}
}

// RelayLoss tells that an entry, the witness, met a sign of an endpoint, AgoMS
// milliseconds before the frame was written.
type RelayLoss struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Witness  string
	Sign     LossSign
	AgoMS    float64
}

// sound reports whether the news has the shape that it may have.
func (l *RelayLoss) sound() bool {
	return l.Endpoint != "" && l.Witness != "" && l.Sign >= LossRefused && l.Sign <= LossAnswered && l.AgoMS >= 0
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
