// SPDX-License-Identifier: Apache-2.0

package protocol

// Outcome says what became of a request as far as its caller may rely on it.
// The zero value is MayHaveRun, the only one that is never untrue.
type Outcome uint8

const (
	// MayHaveRun means that an endpoint got at least a byte of the request.
	MayHaveRun Outcome = iota
	// NotRun means that no endpoint ran any part of the request.
	NotRun
	// Answered means that the caller got the whole answer.
	Answered
)

// String returns the outcome as callers read it in errors and stories.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Answered:
		return "answered"
	default:
		return "may have run"
	}
}
