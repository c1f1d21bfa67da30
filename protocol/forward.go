// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// RequestTerms is what a caller asks for beside the request itself. Deadline is
// zero when there is none. AnswerTokens is the caller's guess, or the most.
type RequestTerms struct {
	RequestID    string
	Deadline     time.Time
	Key          string
	LastEvent    string
	PromptTokens int
	AnswerTokens int
}

// AttemptTerms is what an endpoint is told beside the request itself. Path is empty
// for a plain service.
type AttemptTerms struct {
	EndpointID  string
	Team        string
	Deadline    time.Time
	LastEvent   string
	Path        []PathStage
	HasPriority bool // whether Urgency is told
	Priority    int  // 0 is the most urgent, 9 the least
}

// PathStage is one engine of a path and the layers that it runs.
type PathStage struct {
	Address string
	Layers  Span
}

// AnswerTerms is what an endpoint says of a request in the head of its answer.
type AnswerTerms struct {
	RequestID string
	Signed    bool   // the answer is the endpoint's own
	NotRun    bool   // the request did not run there and never will
	AtFault   string // address of the engine of the path that could not run it
	// EndpointID is the ID of the endpoint that answered, "" if it does not tell. It differs
	// from the one asked for when another process has its address.
	EndpointID string
}

// PlacementOrder tells an engine to hold a span of layers. Orders is how many orders
// the engine is expected to have taken before.
type PlacementOrder struct {
	EndpointID  string
	Address     string
	Layers      Span
	Epoch       uint64
	PriorOrders int
	Abort       bool // break off what passes through the layers given up, instead of waiting for it
}

// OrderAnswer is what became of an order.
type OrderAnswer uint8

// An order that was not answered may be carried out later, or never.
const (
	OrderUnanswered OrderAnswer = iota
	OrderStarted
	OrderFulfilled
	OrderRefused
)

// PathChangeOrder tells the first engine of a path to run a request over another path from now
// on, with the same first stage. Stages that both paths have keep what they hold of the
// request, the others read it.
type PathChangeOrder struct {
	EndpointID string // of the first engine
	Address    string // of the first engine
	RequestID  string
	Path       []PathStage
}

// PathAnswer is what became of an order to change a path: PathTaken, PathUnknown,
// PathUnfit, PathRefused or PathUnanswered.
type PathAnswer interface{ pathAnswer() }

// PathAccepted says that the request runs over the new path from now on.
type PathAccepted struct{}

// PathUnknown says that the engine has no such request.
type PathUnknown struct{}

// PathStageUnavailable says that a stage can't take the request: it does not hold its layers or has
// no room. Address is the stage's, "" if it is not told.
type PathStageUnavailable struct{ Address string }

// PathRefused says that the engine did not take the order for another reason.
type PathRefused struct{ Cause error }

// PathUnanswered says that the order may have been taken, or may be yet.
type PathUnanswered struct{ Cause error }

func (PathAccepted) pathAnswer()         {}
func (PathUnknown) pathAnswer()          {}
func (PathStageUnavailable) pathAnswer() {}
func (PathRefused) pathAnswer()          {}
func (PathUnanswered) pathAnswer()       {}
