// SPDX-License-Identifier: Apache-2.0

package stream

import (
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// Decision is what to do after a reply.
type Decision interface{ decision() }

// Dispatch is a step for a runner.
type Dispatch struct {
	runner *fleet.Runner
	step   protocol.Step
}

// Runner returns the runner that gets the step.
func (s *Dispatch) Runner() *fleet.Runner { return s.runner }

// Step returns the step.
func (s *Dispatch) Step() *protocol.Step { return &s.step }

// LayerPasses returns the layer passes that the step asks for.
func (s *Dispatch) LayerPasses() int64 { return int64(s.step.Count * s.step.Span.Layers()) }

// Dispatches is up to two steps: the stage that replied takes its next chunk, and
// the stage after it takes the one that was passed on.
type Dispatches struct {
	count int
	sends [2]Dispatch
}

// All returns the steps to send, possibly none.
func (s *Dispatches) All() []Dispatch { return s.sends[:s.count] }

func (s *Dispatches) add(x Dispatch) {
	s.sends[s.count] = x
	s.count++
}

// Emit is a token for the caller and the step that follows it.
type Emit struct {
	token int32
	next  Dispatch
}

// Token returns the new token.
func (e Emit) Token() int32 { return e.token }

// Next returns the step to send after the token.
func (e Emit) Next() Dispatch { return e.next }

// Finish ends the answer. It holds the last token unless the model ended it.
type Finish struct {
	token int32
	ended bool
}

// Token returns the last token, and false if the model ended the answer itself.
func (f Finish) Token() (int32, bool) { return f.token, !f.ended }

// Ignore is a reply that counts for nothing.
type Ignore struct{}

// Restart says that the path can't go on and why.
type Restart struct {
	reason metric.Reason
	runner *fleet.Runner
}

// Reason returns why the path broke.
func (b Restart) Reason() metric.Reason { return b.reason }

// Runner returns the runner to leave out of the next path, or nil.
func (b Restart) Runner() *fleet.Runner { return b.runner }

func (Dispatches) decision() {}
func (Emit) decision()       {}
func (Finish) decision()     {}
func (Ignore) decision()     {}
func (Restart) decision()    {}
