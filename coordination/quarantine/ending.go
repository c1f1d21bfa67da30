// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// ProbeResult is what a question to an endpoint shows at which work broke.
type ProbeResult uint8

// The endpoint may have ended or not; it has; it answers, and may be in its next life; it is in
// the same one.
const (
	ProbeInconclusive ProbeResult = iota
	ProbeCrashed
	ProbeAnswered
	ProbeSameIncarnation
)

// String returns it as logs say it.
func (e ProbeResult) String() string {
	switch e {
	case ProbeCrashed:
		return "ended"
	case ProbeAnswered:
		return "answers, perhaps in its next life"
	case ProbeSameIncarnation:
		return "lives"
	default:
		return "not clear"
	}
}

// ClassifyAnswer returns what it shows that an endpoint tells of a life, where work broke that was sent to
// an earlier or the same one at a time of day. Either life may not be known.
func ClassifyAnswer(life, told protocol.Incarnation, sentAt time.Time) ProbeResult {
	switch {
	case !told.Known():
		return ProbeAnswered
	case life.Before(told), !life.Known() && told.Start().After(sentAt):
		return ProbeCrashed
	case life.Known():
		return ProbeSameIncarnation
	default:
		return ProbeAnswered
	}
}
