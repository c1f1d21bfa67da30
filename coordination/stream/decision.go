// SPDX-License-Identifier: Apache-2.0

package stream

import (
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// Decision is what to do after a reply: Dispatches, Emit, Finish, Ignore or Restart.
type Decision interface{ decision() }

// Dispatch is a step for a runner.
type Dispatch struct {
	runner *fleet.Runner
	step   protocol.Step
}

// Runner returns the runner that gets the step.
func (d *Dispatch) Runner() *fleet.Runner { return d.runner }

// Step returns the step.
func (d *Dispatch) Step() *protocol.Step { return &d.step }

// LayerPasses returns the number of layer passes in the step.
func (d *Dispatch) LayerPasses() int64 { return int64(d.step.Count * d.step.Span.Layers()) }

// Dispatches holds up to two steps: the next chunk for the stage that replied, and the chunk that
// it passes on to the stage after it.
type Dispatches struct {
	count int
	steps [2]Dispatch
}

// All returns the steps to send, which may be none.
func (d *Dispatches) All() []Dispatch { return d.steps[:d.count] }

func (d *Dispatches) add(step Dispatch) {
	d.steps[d.count] = step
	d.count++
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

// Finish ends the answer. It holds the last token unless the model ended the answer.
type Finish struct {
	token   int32
	byModel bool
}

// Token returns the last token, and false if the model ended the answer itself.
func (f Finish) Token() (int32, bool) { return f.token, !f.byModel }

// Ignore means that the reply does not count.
type Ignore struct{}

// Restart means that the path failed and that the request must start over on another one.
type Restart struct {
	reason metric.Reason
	runner *fleet.Runner
}

// Reason returns why the path failed.
func (r Restart) Reason() metric.Reason { return r.reason }

// Runner returns the runner to exclude from the next path, or nil.
func (r Restart) Runner() *fleet.Runner { return r.runner }

func (Dispatches) decision() {}
func (Emit) decision()       {}
func (Finish) decision()     {}
func (Ignore) decision()     {}
func (Restart) decision()    {}
