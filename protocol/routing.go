// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// Repeat says whether a request of a route may run more than once.
type Repeat uint8

// AtMostOnce requests run at most once. Repeatable requests may run again. Stream
// requests are answered event by event; they may run again if the route is Resumable.
const (
	AtMostOnce Repeat = iota
	Repeatable
	Stream
)

// Routing is a complete routing table as accepted by the operator. It maps requests to
// services and holds the known keys and the limits for callers.
type Routing struct {
	Version  uint64
	Routes   []Route
	Services []RoutedService
	Teams    []RoutedTeam
	Callers  CallerLimits
}

// Route maps the requests of one host and path prefix to services. TimeoutMS is the
// maximum time to answer a request. TargetLatencyMS is the target time for its answer
// or first event, and TargetPauseMS the target for the longest pause between events.
type Route struct {
	Name            string
	Host            string
	Prefix          string
	Repeat          Repeat
	TimeoutMS       float64
	TargetLatencyMS float64
	TargetPauseMS   float64
	PatienceMS      float64 // silence of a stream after which callers leave, 0 if they do not
	Priority        int     // 0 is the most urgent
	Targets         []Target
	MaxAttempts     int // endpoints that one request may be sent to
	Public          bool
	Resumable       bool // an aborted stream may resume on another endpoint after its last event
}

// Target is a service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Timeout returns the time by which a request that arrived at from must be answered.
func (r *Route) Timeout(from time.Time) time.Time { return from.Add(milliseconds(r.TimeoutMS)) }

// FirstEventBy returns the target time for the first event of a request that arrived at from.
func (r *Route) FirstEventBy(from time.Time) time.Time {
	return from.Add(milliseconds(r.TargetLatencyMS))
}

// Patience returns when a caller leaves a stream that has been silent since then.
func (r *Route) Patience(since time.Time) time.Time { return since.Add(milliseconds(r.PatienceMS)) }

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Repeatable || r.Repeat == Stream && r.Resumable
}

// RoutedService is a service that routes refer to. Engine is nil unless its endpoints are
// model engines.
type RoutedService struct {
	Name           string
	HealthPath     string
	MaxConnections int // limit of one endpoint for the connections of all callers together
	Engine         *EngineSpec
}

// EngineSpec holds the parameters of a service whose endpoints are model engines. Times
// are in milliseconds for the complete model on the fastest accelerator.
type EngineSpec struct {
	Layers           int
	LayerMB          float64
	TokenLayerMB     float64 // KV cache of one token in one layer
	StepMS           float64 // one token of one sequence
	SequenceMS       float64 // additional time for each further sequence
	PrefillPerSecond float64 // prompt tokens per second
	LoadMS           float64 // time to load the weights of all layers
	TypicalPrompt    int     // mean tokens of a prompt
	TypicalAnswer    int     // mean tokens of an answer
	ReportDelayMS    float64 // age of a load report
	EventTokens      int     // minimum number of tokens in an event
	Accelerators     []AcceleratorSpec
	LoadsAtOnce      int
	SlotsPerEngine   int
	ActivationBytes  int // sent between two stages for each token
}

// AcceleratorSpec holds the parameters of a kind of accelerator. StepFactor and ReadFactor are
// the durations of a step and of prefill relative to the fastest kind.
type AcceleratorSpec struct {
	Name       string
	MemoryMB   float64
	StepFactor float64
	ReadFactor float64
}

// Accelerator returns the parameters of a kind, and whether it is known.
func (e *EngineSpec) Accelerator(name string) (AcceleratorSpec, bool) {
	for _, a := range e.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return AcceleratorSpec{}, false
}

// RoutedTeam is a team and the keys that its callers present.
type RoutedTeam struct {
	Name     string
	Keys     []string
	Priority int
}

// CallerLimits limits the size of a request, the time to send its headers and the idle time
// of a connection.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderMS    float64
	IdleMS      float64
}

// HeaderBy returns the time by which all headers of a request must have arrived, given the
// arrival of its first byte.
func (c *CallerLimits) HeaderBy(from time.Time) time.Time { return from.Add(milliseconds(c.HeaderMS)) }

// IdleBy returns when a connection that has been idle since from is closed.
func (c *CallerLimits) IdleBy(from time.Time) time.Time { return from.Add(milliseconds(c.IdleMS)) }

// Endpoint is a live endpoint as recorded in the platform. It may restart under the same ID,
// and then has none of its previous state.
type Endpoint struct {
	ID          string
	Service     string
	Address     string
	DataCenter  string
	Accelerator string
	Slots       int
	Leaving     bool
	Layers      Span // held by an engine; empty if it holds none
	Model       string
	Incarnation Incarnation
	// Heartbeats is how often the endpoint has written its record since it started, 0 if it
	// does not report this.
	Heartbeats int
	// Era is the era of the platform's store in which the record was read.
	Era uint64
}

// EngineReport is the state that an engine reports when asked.
type EngineReport struct {
	Busy   bool // an order is in progress
	Orders int  // accepted since the engine started
	Layers Span
	// LayersKnown is whether the engine reported which layers it holds.
	LayersKnown bool
	Waiting     int
	Running     int
	// Incarnation is that of the engine's process, unknown if not reported.
	Incarnation Incarnation
	// Accelerator is the kind that the engine runs on, "" if not reported.
	Accelerator string
	// Slowdown is the factor by which its work takes longer than typical, 0 if not reported.
	Slowdown float64
	// CapacityUsed is the fraction of the request memory in use. CapacityKnown is whether the
	// engine reported it.
	CapacityUsed  float64
	CapacityKnown bool
	Stalled       []StalledRequest
}

// StalledRequest is a request that can't continue because the engine at an address does
// not answer.
type StalledRequest struct {
	ID      string
	Address string
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
