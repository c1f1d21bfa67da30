// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of one frame between an entry and an engine. A frame beyond them is
// refused before its content is built.
const (
	MaxFrameBytes = 4 << 20
	maxFrameItems = 16384
	// HiddenStateBytes is the size of one position's hidden state on the wire.
	HiddenStateBytes = 8
)

// Span is a half-open range [From, To) of a model's layers.
type Span struct {
	_    struct{} `cbor:",toarray"`
	From int
	To   int
}

// Layers returns how many layers the span covers.
func (s Span) Layers() int { return s.To - s.From }

// Valid reports whether the span lies within a model of that many layers.
func (s Span) Valid(layers int) bool { return s.From >= 0 && s.From < s.To && s.To <= layers }

// String returns the span as "[From,To)".
func (s Span) String() string { return fmt.Sprintf("[%d,%d)", s.From, s.To) }

// Step asks an engine to run its layers over Count positions of one sequence,
// starting at Position. The first stage gets Tokens, later stages get Hidden
// (HiddenBytes for each position). Attempt fences: an engine that has seen a
// higher attempt of the request ignores the step. Number tells an attempt's
// steps apart and comes back in the reply, so that a reply with a wrong position
// can't pass for that of a later step.
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

// Fault is what an engine says when it did not run a step.
type Fault uint8

// The faults of a step. FaultNone means that the step ran.
const (
	FaultNone         Fault = iota
	FaultWrongLayers        // the engine holds other layers, or another epoch of them
	FaultCacheMissing       // the engine has no KV cache up to this position
	FaultFenced             // a higher attempt of the request was seen
	FaultLeaving            // the engine is leaving and takes no new sequence
	FaultOverload           // the engine's queue is full
)

// String returns the fault in words.
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

// Reply is an engine's answer to one step: the range that it ran, and either
// the hidden states for the next stage or, after the last layer, the token.
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

// Cancel tells an engine to forget a request up to and including an attempt.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	Request RequestID
	Attempt uint32
}

// StepFrame carries many steps and cancels to one engine.
type StepFrame struct {
	_       struct{} `cbor:",toarray"`
	Steps   []Step
	Cancels []Cancel
}

// ReplyFrame carries many replies from one engine, and now and then its load.
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
		panic(err) // constant options: a programming error
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
		panic(err) // constant options: a programming error
	}
	return mode
}

// FrameError is the error for bytes that are no valid frame.
type FrameError struct {
	what  string
	cause error
}

// Error names the frame and the remedy.
func (b *FrameError) Error() string {
	text := "broken " + b.what + " frame"
	if b.cause != nil {
		text += ": " + b.cause.Error()
	}
	return text + "; close the connection and open a new one"
}

// Unwrap returns the decoder's error, or nil.
func (b *FrameError) Unwrap() error { return b.cause }

// EncodeSteps returns the frame's bytes.
func EncodeSteps(f StepFrame) ([]byte, error) { return encoder.Marshal(f) }

// EncodeReplies returns the frame's bytes.
func EncodeReplies(f ReplyFrame) ([]byte, error) { return encoder.Marshal(f) }

// DecodeSteps reads a frame and checks each step's shape.
func DecodeSteps(b []byte) (StepFrame, error) {
	var f StepFrame
	if err := decodeFrame("step", b, &f); err != nil {
		return StepFrame{}, err
	}
	for i := range f.Steps {
		if !f.Steps[i].wellFormed() {
			return StepFrame{}, &FrameError{what: "step"}
		}
	}
	return f, nil
}

// DecodeReplies reads a frame and checks each reply's shape.
func DecodeReplies(b []byte) (ReplyFrame, error) {
	var f ReplyFrame
	if err := decodeFrame("reply", b, &f); err != nil {
		return ReplyFrame{}, err
	}
	for i := range f.Replies {
		if !f.Replies[i].wellFormed() {
			return ReplyFrame{}, &FrameError{what: "reply"}
		}
	}
	return f, nil
}

func decodeFrame(what string, b []byte, into any) error {
	if len(b) > MaxFrameBytes {
		return &FrameError{what: what}
	}
	if err := decoder.Unmarshal(b, into); err != nil {
		return &FrameError{what: what, cause: err}
	}
	return nil
}

func (s *Step) wellFormed() bool {
	if s.Position < 0 || s.Count <= 0 || s.Span.From < 0 || s.Span.From >= s.Span.To {
		return false
	}
	if s.Span.From == 0 {
		return len(s.Tokens) == s.Count
	}
	return len(s.Hidden) == s.Count*HiddenStateBytes
}

func (r *Reply) wellFormed() bool {
	if r.Fault != FaultNone {
		return true
	}
	if r.Position < 0 || r.Count <= 0 || r.Span.From < 0 || r.Span.From >= r.Span.To {
		return false
	}
	return len(r.Hidden) == 0 || len(r.Hidden) == r.Count*HiddenStateBytes
}

// LoadReport is what an engine says about itself, with a lag. Queued counts
// layer passes (positions times layers) that wait or run.
type LoadReport struct {
	Runner  string `json:"runner"`
	Epoch   uint64 `json:"epoch"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	Queued  int64  `json:"queued"`
	Streams int    `json:"streams"`
	Leaving bool   `json:"leaving"`
	UnixMS  int64  `json:"unix_ms"`
	// Incarnation tells this process from the runner's next one; an engine need not tell.
	Incarnation Incarnation `json:"started_ms,omitempty"`
}
