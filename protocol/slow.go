// SPDX-License-Identifier: Apache-2.0

package protocol

// SlownessObservation is how an entry knows at what pace an endpoint works.
type SlownessObservation uint8

// The signs of an endpoint's pace.
const (
	// SlowReported says that the endpoint told its pace when it was asked.
	SlowReported SlownessObservation = iota + 1
	// SlowMeasured says that an answer of the endpoint, or the wait for one, took that many times
	// as long as usual.
	SlowMeasured
)

// MaxSlowdown bounds how many times longer than usual an endpoint may be told to take.
const MaxSlowdown = 1000

// String returns the sign as logs say it.
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

// SlownessReport tells that an entry, the witness, met a sign of the pace of one life of an
// endpoint, AgoMS milliseconds before the frame was written. Number rises with each that
// the witness tells, so that one which comes twice counts once. Pace is how many times
// longer than usual the endpoint's work takes.
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

// sound reports whether the news has the shape that it may have.
func (s *SlownessReport) sound() bool {
	return s.Endpoint != "" && s.Observer != "" && s.Incarnation >= 0 &&
		s.Observation >= SlowReported && s.Observation <= SlowMeasured && s.Slowdown > 0 && s.Slowdown <= MaxSlowdown && s.AgoMS >= 0
}

// soundSlow reports whether all news of slowness in a frame has that shape.
func soundSlow(all []SlownessReport) bool {
	for i := range all {
		if !all[i].sound() {
			return false
		}
	}
	return true
}
