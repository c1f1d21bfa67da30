// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// LeastUrgent is the least urgent rank of a request that engines know. The most urgent one is 0.
const LeastUrgent = 9

// RequestTerms holds what a caller specifies in addition to the request. A zero Deadline
// means none. AnswerTokens is the caller's estimate or its maximum.
type RequestTerms struct {
	RequestID    string
	Deadline     time.Time
	Key          string
	LastEvent    string
	PromptTokens int
	AnswerTokens int
	// Parts names the parts of the prompt that other requests may share, in order and without the last,
	// which belongs to the request itself or to its session.
	Parts []string
}

// AttemptTerms holds what an endpoint receives in addition to the request. Path is empty
// for a service that is not a model engine.
type AttemptTerms struct {
	EndpointID  string
	Team        string
	Deadline    time.Time
	LastEvent   string
	Path        []PathStage
	HasPriority bool // whether Priority is sent
	Priority    int  // 0 is the most urgent, LeastUrgent the least
}

// PathStage is one engine of a path and the layers that it runs.
type PathStage struct {
	Address string
	Layers  Span
}

// AnswerTerms holds what an endpoint reports about a request in its response headers.
type AnswerTerms struct {
	RequestID string
	Signed    bool   // the endpoint itself wrote the answer
	NotRun    bool   // the request did not run there and will not
	AtFault   string // address of the engine of the path that could not run the request
	// EndpointID is the ID of the endpoint that answered, "" if unknown. It differs from the
	// requested one when another process has its address.
	EndpointID string
	// RateLimit is how many requests a second the endpoint takes from all entries together, from
	// MinRateLimit to MaxRateLimit, or 0 if the answer names no limit.
	RateLimit float64
	// BadRateLimit reports that the answer names a limit that can't be read. It says neither which
	// limit there is nor that there is none.
	BadRateLimit bool
	// RetryAt is until when the endpoint wants no further request from this entry, zero if it does
	// not ask for that.
	RetryAt time.Time
	// Leaving reports that the endpoint will end and wants no further request from any entry.
	Leaving bool
}

// MaxRetryAfter is the longest backoff that an endpoint may ask for. It bounds what nonsense may do.
const MaxRetryAfter = 24 * time.Hour

const (
	// MinRateLimit is the least rate limit that is told apart from a lower one, in requests a second.
	// An endpoint must get some request now and then, or it could not say that its limit is over.
	MinRateLimit = 0.1
	// MaxRateLimit is the highest rate limit, in requests a second. No endpoint gets as many, so a
	// higher one counts as none.
	MaxRateLimit = 10_000
)

// PlacementOrder tells an engine to hold a range of layers. PriorOrders is how many orders
// the engine is expected to have accepted before.
type PlacementOrder struct {
	EndpointID  string
	Address     string
	Layers      Span
	Epoch       uint64
	PriorOrders int
	Abort       bool // abort requests that use removed layers instead of waiting for them
}

// OrderAnswer is the result of an order.
type OrderAnswer uint8

// The results of an order. The engine may execute an unanswered order later, or never.
const (
	OrderUnanswered OrderAnswer = iota
	OrderStarted                // the engine has begun to execute the order
	OrderFulfilled              // the engine already holds the layers
	OrderRefused
)

// PathChangeOrder tells the first engine of a path to run a request over another path from
// now on, with the same first stage. Stages that are on both paths keep their state of the
// request; the other stages prefill it.
type PathChangeOrder struct {
	EndpointID string // of the first engine
	Address    string // of the first engine
	RequestID  string
	Path       []PathStage
}

// PathAnswer is the result of an order to change a path: PathAccepted, PathUnknown,
// PathStageUnavailable, PathRefused or PathUnanswered.
type PathAnswer interface{ pathAnswer() }

// PathAccepted means that the request runs over the new path from now on.
type PathAccepted struct{}

// PathUnknown means that the engine has no such request.
type PathUnknown struct{}

// PathStageUnavailable means that a stage can't run the request because it does not hold
// its layers or lacks capacity. Address is that of the stage, "" if unknown.
type PathStageUnavailable struct{ Address string }

// PathRefused means that the engine rejected the order for another reason.
type PathRefused struct{ Cause error }

// PathUnanswered means that the engine may have accepted the order, or may still accept it.
type PathUnanswered struct{ Cause error }

func (PathAccepted) pathAnswer()         {}
func (PathUnknown) pathAnswer()          {}
func (PathStageUnavailable) pathAnswer() {}
func (PathRefused) pathAnswer()          {}
func (PathUnanswered) pathAnswer()       {}
