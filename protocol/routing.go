// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// Repeat says how often a request of a route may run.
type Repeat uint8

// A request AtMostOnce runs once or never. A Repeatable one may run again. A
// Stream is answered event by event; whether it may run again is the route's
// Resumable.
const (
	AtMostOnce Repeat = iota
	Repeatable
	Stream
)

// Routing is a whole routing table as the operator accepted it: which requests
// go to which service, which keys are known, and what callers may do.
type Routing struct {
	Version  uint64
	Routes   []Route
	Services []RoutedService
	Teams    []RoutedTeam
	Callers  CallerLimits
}

// Route sends the requests of one host and path prefix to services. TimeoutMS is
// the longest that a request may be held, AimMS the time within which its answer
// (or first event) is worth most, PauseAimMS the longest pause between events.
type Route struct {
	Name            string
	Host            string
	Prefix          string
	Repeat          Repeat
	TimeoutMS       float64
	TargetLatencyMS float64
	TargetPauseMS   float64
	PatienceMS      float64 // silence of a stream after which callers leave, 0 if they don't
	Priority        int     // 0 is the most urgent
	Targets         []Target
	MaxAttempts     int // endpoints that one request may be sent to
	Public          bool
	Resumable       bool // a broken stream may go on elsewhere after its last event
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Timeout returns when a request that came in then must have its answer.
func (r *Route) Timeout(from time.Time) time.Time { return from.Add(fromMS(r.TimeoutMS)) }

// FirstEventBy returns when a request that came in then should have its first event.
func (r *Route) FirstEventBy(from time.Time) time.Time { return from.Add(fromMS(r.TargetLatencyMS)) }

// Patience returns when a caller leaves a stream that has said nothing since then.
func (r *Route) Patience(since time.Time) time.Time { return since.Add(fromMS(r.PatienceMS)) }

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Repeatable || r.Repeat == Stream && r.Resumable
}

// RoutedService is a service that routes name. Engine is nil for a plain one.
type RoutedService struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one endpoint accepts from all callers together
	Engine         *EngineSpec
}

// EngineSpec are the figures of a service whose endpoints are model engines.
// Times are in milliseconds for the whole model on the fastest accelerator.
type EngineSpec struct {
	Layers           int
	LayerMB          float64
	TokenLayerMB     float64 // cache of one token in one layer
	StepMS           float64 // one token of one sequence
	SequenceMS       float64 // how much longer for each further one
	PrefillPerSecond float64 // prompt tokens
	LoadMS           float64 // the weights of all layers
	TypicalPrompt    int     // mean tokens of a prompt
	TypicalAnswer    int     // mean tokens of an answer
	ReportDelayMS    float64 // age of a load report
	EventTokens      int     // tokens that an event holds at least
	Accelerators     []AcceleratorSpec
	LoadsAtOnce      int
	SlotsPerEngine   int
	ActivationBytes  int // that one token takes between two stages
}

// AcceleratorSpec are the figures of one kind of accelerator. StepFactor and
// ReadFactor say how many times longer than on the fastest a step and reading
// a prompt take.
type AcceleratorSpec struct {
	Name       string
	MemoryMB   float64
	StepFactor float64
	ReadFactor float64
}

// Accelerator returns the figures of a kind, and whether it is known.
func (e *EngineSpec) Accelerator(name string) (AcceleratorSpec, bool) {
	for _, a := range e.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return AcceleratorSpec{}, false
}

// RoutedTeam is a team with the keys that its callers present.
type RoutedTeam struct {
	Name     string
	Keys     []string
	Priority int
}

// CallerLimits bound what a caller may send, how long it may take and how long
// its connection may rest.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderMS    float64
	IdleMS      float64
}

// HeaderBy returns when the whole head of a request must have come, from its first byte.
func (c *CallerLimits) HeaderBy(from time.Time) time.Time { return from.Add(fromMS(c.HeaderMS)) }

// IdleBy returns when a connection that rests from then is closed.
func (c *CallerLimits) IdleBy(from time.Time) time.Time { return from.Add(fromMS(c.IdleMS)) }

// Endpoint is one live endpoint as it recorded itself in the platform. It may start again
// under the ID that it had, and then holds nothing of before.
type Endpoint struct {
	ID          string
	Service     string
	Address     string
	DataCenter  string
	Accelerator string
	Slots       int
	Leaving     bool
	Layers      Span // held by an engine; empty when it holds none
	Model       string
	Incarnation Incarnation
	// Heartbeats counts its heartbeats: how often it has written its record since it started, 0 if
	// it does not tell.
	Heartbeats int
}

// EngineReport is what an engine tells of itself when asked.
type EngineReport struct {
	Busy   bool // an order is under way
	Orders int  // taken since the engine started
	Layers Span
	// LayersKnown says whether the engine told which layers it holds.
	LayersKnown bool
	Waiting     int
	Running     int
	// Incarnation is the engine's own life, unknown if it does not tell.
	Incarnation Incarnation
	// Accelerator is the kind that the engine runs on, "" if it does not tell.
	Accelerator string
	// Slowdown is how many times longer than usual its work takes, 0 if it does not tell.
	Slowdown float64
	// CapacityUsed is the part of the memory for requests that they hold; RoomKnown says
	// whether the engine told it.
	CapacityUsed  float64
	CapacityKnown bool
	Stalled       []StalledRequest
}

// StalledRequest is a request that can't go on because the engine at an address
// does not answer.
type StalledRequest struct {
	ID      string
	Address string
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
