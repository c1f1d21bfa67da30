// SPDX-License-Identifier: Apache-2.0

package protocol

// Outcome is what a caller may assume about the execution of its request. The zero
// value is MayHaveRun, the only one that is always true.
type Outcome uint8

const (
	// MayHaveRun means that an endpoint received at least one byte of the request.
	MayHaveRun Outcome = iota
	// NotRun means that no endpoint ran any part of the request.
	NotRun
	// Answered means that the caller received the complete answer.
	Answered
)

// String returns the outcome as it appears in errors and request traces.
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
