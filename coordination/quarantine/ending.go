// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Ending is what a question to an endpoint shows at which work broke.
type Ending uint8

// The endpoint may have ended or not; it has; it answers, and may be in its next life; it is in
// the same one.
const (
	EndUnclear Ending = iota
	EndOver
	EndAnswers
	EndLives
)

// String returns it as logs say it.
func (e Ending) String() string {
	switch e {
	case EndOver:
		return "ended"
	case EndAnswers:
		return "answers, perhaps in its next life"
	case EndLives:
		return "lives"
	default:
		return "not clear"
	}
}

// EndingOf returns what it shows that an endpoint tells of a life, where work broke that was sent to
// an earlier or the same one at a time of day. Either life may not be known.
func EndingOf(life, told protocol.Incarnation, sentAt time.Time) Ending {
	switch {
	case !told.Known():
		return EndAnswers
	case life.Before(told), !life.Known() && told.Start().After(sentAt):
		return EndOver
	case life.Known():
		return EndLives
	default:
		return EndAnswers
	}
}
