// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a frame between an entry and an engine. A larger frame is rejected
// before its content is decoded.
const (
	MaxFrameBytes = 4 << 20
	maxFrameItems = 16384
	// HiddenStateBytes is the encoded size of the hidden state of one position.
	HiddenStateBytes = 8
)

// Span is a half-open range [From, To) of a model's layers.
type Span struct {
	_    struct{} `cbor:",toarray"`
	From int
	To   int
}

// Layers returns the number of layers in the range.
func (s Span) Layers() int { return s.To - s.From }

// Valid reports whether the range lies within a model of that many layers.
func (s Span) Valid(layers int) bool { return s.From >= 0 && s.From < s.To && s.To <= layers }

// String returns the range as "[From,To)".
func (s Span) String() string { return fmt.Sprintf("[%d,%d)", s.From, s.To) }

// Step asks an engine to run its layers over Count positions of one sequence,
// starting at Position. The first stage receives Tokens; later stages receive Hidden,
// with HiddenStateBytes per position.
//
// Attempt is a fencing token: an engine that has seen a higher attempt of the request
// ignores the step. Number identifies the step within its attempt and is repeated in
// the reply, so that a reply with a wrong position is not taken for the reply to a
// later step.
type Step struct {
	_        struct{} `cbor:",toarray"`
	Request  RequestID
	Attempt  uint32
	Number   uint32
	Position int
	Count    int
	Span     Span
	Epoch    uint64
	Priority uint8
	Tokens   []int32
	Hidden   []byte
}

// Fault is the reason an engine gives for not running a step.
type Fault uint8

// The faults of a step.
const (
	FaultNone         Fault = iota // the step ran
	FaultWrongLayers               // the engine holds other layers, or another epoch of them
	FaultCacheMissing              // the engine has no KV cache up to this position
	FaultFenced                    // the engine has seen a higher attempt of the request
	FaultLeaving                   // the engine is leaving and accepts no new sequence
	FaultOverload                  // the engine's queue is full
)

// String returns a description of the fault.
func (f Fault) String() string {
	switch f {
	case FaultNone:
		return "none"
	case FaultWrongLayers:
		return "other layers held"
	case FaultCacheMissing:
		return "no cache for the position"
	case FaultFenced:
		return "fenced by a later attempt"
	case FaultLeaving:
		return "engine is leaving"
	case FaultOverload:
		return "engine is overloaded"
	default:
		return "unknown fault"
	}
}

// Reply is an engine's answer to one step. It has the positions that ran and either
// the hidden states for the next stage or, after the last layer, the output token.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	Request  RequestID
	Attempt  uint32
	Number   uint32
	Position int
	Count    int
	Span     Span
	Epoch    uint64
	Fault    Fault
	Hidden   []byte
	Token    int32
}

// Cancel tells an engine to drop the state of a request for all attempts up to and
// including Attempt.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	Request RequestID
	Attempt uint32
}

// StepFrame is a batch of steps and cancels for one engine.
type StepFrame struct {
	_       struct{} `cbor:",toarray"`
	Steps   []Step
	Cancels []Cancel
}

// ReplyFrame is a batch of replies from one engine. Report is set from time to time.
type ReplyFrame struct {
	_       struct{} `cbor:",toarray"`
	Replies []Reply
	Report  *LoadReport
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  maxFrameItems,
		MaxNestedLevels:   8,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// FrameError is the error for bytes that are not a valid frame.
type FrameError struct {
	kind  string
	cause error
}

// Error returns the kind of frame, the cause and the remedy.
func (e *FrameError) Error() string {
	text := "broken " + e.kind + " frame"
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text + "; close the connection and open a new one"
}

// Unwrap returns the decoder's error, or nil.
func (e *FrameError) Unwrap() error { return e.cause }

// EncodeSteps encodes a frame of steps.
func EncodeSteps(f StepFrame) ([]byte, error) { return encoder.Marshal(f) }

// EncodeReplies encodes a frame of replies.
func EncodeReplies(f ReplyFrame) ([]byte, error) { return encoder.Marshal(f) }

// DecodeSteps decodes a frame and validates each step.
func DecodeSteps(b []byte) (StepFrame, error) {
	var f StepFrame
	if err := decodeFrame("step", b, &f); err != nil {
		return StepFrame{}, err
	}
	for i := range f.Steps {
		if !f.Steps[i].valid() {
			return StepFrame{}, &FrameError{kind: "step"}
		}
	}
	return f, nil
}

// DecodeReplies decodes a frame and validates each reply.
func DecodeReplies(b []byte) (ReplyFrame, error) {
	var f ReplyFrame
	if err := decodeFrame("reply", b, &f); err != nil {
		return ReplyFrame{}, err
	}
	for i := range f.Replies {
		if !f.Replies[i].valid() {
			return ReplyFrame{}, &FrameError{kind: "reply"}
		}
	}
	return f, nil
}

func decodeFrame(kind string, b []byte, into any) error {
	if len(b) > MaxFrameBytes {
		return &FrameError{kind: kind}
	}
	if err := decoder.Unmarshal(b, into); err != nil {
		return &FrameError{kind: kind, cause: err}
	}
	return nil
}

// valid reports whether the positions, layers and payload of the step are consistent.
func (s *Step) valid() bool {
	if s.Position < 0 || s.Count <= 0 || s.Span.From < 0 || s.Span.From >= s.Span.To {
		return false
	}
	if s.Span.From == 0 {
		return len(s.Tokens) == s.Count
	}
	return len(s.Hidden) == s.Count*HiddenStateBytes
}

// valid reports whether the positions, layers and hidden states of the reply are consistent.
func (r *Reply) valid() bool {
	if r.Fault != FaultNone {
		return true
	}
	if r.Position < 0 || r.Count <= 0 || r.Span.From < 0 || r.Span.From >= r.Span.To {
		return false
	}
	return len(r.Hidden) == 0 || len(r.Hidden) == r.Count*HiddenStateBytes
}

// LoadReport is the state that an engine reports about itself, with a delay. Queued
// is the number of layer passes (positions times layers) that wait or run.
type LoadReport struct {
	Runner  string `json:"runner"`
	Epoch   uint64 `json:"epoch"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	Queued  int64  `json:"queued"`
	Streams int    `json:"streams"`
	Leaving bool   `json:"leaving"`
	UnixMS  int64  `json:"unix_ms"`
	// Incarnation distinguishes this process of the runner from a restarted one. It is optional.
	Incarnation Incarnation `json:"started_ms,omitempty"`
}
