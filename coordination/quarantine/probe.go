// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// ProbeResult is what a probe of an endpoint shows after work failed there.
type ProbeResult uint8

// ProbeInconclusive leaves open whether the endpoint crashed. ProbeCrashed shows that it did.
// ProbeAnswered shows that it answers, maybe in its next incarnation, and ProbeSameIncarnation that
// it is still in the same one.
const (
	ProbeInconclusive ProbeResult = iota
	ProbeCrashed
	ProbeAnswered
	ProbeSameIncarnation
)

// String returns the result as it appears in logs.
func (r ProbeResult) String() string {
	switch r {
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

// ClassifyAnswer classifies an endpoint's answer to a probe by the incarnation that it reports.
// Incarnation is the one to which the work was sent, and sentAt is the time of day at which it was
// sent. Either incarnation may be unknown.
func ClassifyAnswer(incarnation, reported protocol.Incarnation, sentAt time.Time) ProbeResult {
	switch {
	case !reported.Known():
		return ProbeAnswered
	case incarnation.Before(reported), !incarnation.Known() && reported.Start().After(sentAt):
		return ProbeCrashed
	case incarnation.Known():
		return ProbeSameIncarnation
	default:
		return ProbeAnswered
	}
}
