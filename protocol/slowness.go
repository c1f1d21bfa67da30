// SPDX-License-Identifier: Apache-2.0

package protocol

// SlownessObservation is how an entry learned about the slowdown of an endpoint.
type SlownessObservation uint8

// The observations of a slowdown.
const (
	// SlowReported means that the endpoint reported its slowdown when asked.
	SlowReported SlownessObservation = iota + 1
	// SlowMeasured means that an answer of the endpoint, or the wait for one, took that many
	// times as long as is typical.
	SlowMeasured
)

// MaxSlowdown is the maximum slowdown that may be reported for an endpoint.
const MaxSlowdown = 1000

// String returns the observation as it appears in logs.
func (s SlownessObservation) String() string {
	switch s {
	case SlowReported:
		return "told by the endpoint"
	case SlowMeasured:
		return "seen"
	default:
		return "unknown"
	}
}

// SlownessReport says that an entry, the observer, observed the slowdown of one incarnation of
// an endpoint, AgoMS milliseconds before the frame was written. Number increases with each
// report of the observer, so that a duplicate counts once. Slowdown is the factor by which the
// endpoint's work takes longer than typical.
type SlownessReport struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation Incarnation
	Observer    string
	Number      uint64
	Observation SlownessObservation
	Slowdown    float64
	AgoMS       float64
}

// valid reports whether all fields of the report are in range.
func (s *SlownessReport) valid() bool {
	return s.Endpoint != "" && s.Observer != "" && s.Incarnation >= 0 &&
		s.Observation >= SlowReported && s.Observation <= SlowMeasured && s.Slowdown > 0 && s.Slowdown <= MaxSlowdown && s.AgoMS >= 0
}

// validSlowness reports whether all reports are valid.
func validSlowness(reports []SlownessReport) bool {
	for i := range reports {
		if !reports[i].valid() {
			return false
		}
	}
	return true
}
