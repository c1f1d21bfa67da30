// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/crashcheck"
)

// HeaderCodec translates between headers and what they say.
type HeaderCodec interface {
	ParseRequest(h http.Header, now time.Time) protocol.CallerTerms
	SetAttemptHeaders(h http.Header, s *protocol.AttemptTerms, now time.Time)
	ParseResponse(status int, h http.Header) protocol.AnswerTerms
}

// Reporter asks an engine how it stands.
type Reporter interface {
	Report(ctx context.Context, address string) (protocol.EngineReport, error)
}

const (
	// sweepInterval is how often resting connections are looked through.
	sweepInterval = time.Second
	// idleCheckInterval is how often an entry with no open request looks whether the VM was suspended
	// and which slow engines are due to be asked.
	idleCheckInterval = 250 * time.Millisecond
)

// Forwarder forwards requests. Set the exported fields before Start.
type Forwarder struct {
	Home     fleet.Entry
	Routing  *routing.Store
	Registry *registry.Registry
	Headers  HeaderCodec
	Reporter Reporter
	// PathChanger changes the paths of running requests, nil to leave them as they are.
	PathChanger PathChanger
	Counters    *metric.Set
	Logger      *slog.Logger
	// KeysTrustedUntil returns until when keys confirmed then are accepted.
	KeysTrustedUntil func(confirmed time.Time) time.Time
	// MemoryBudget bounds what is held for callers and of requests.
	MemoryBudget *backlog.Budget
	// ReportFailure tells the other entries that this one met a sign of an endpoint, nil for nobody.
	ReportFailure func(endpoint string, sign protocol.LossObservation, at time.Time)
	// ReportAddressOwner tells them which process answers at an endpoint's address, nil for nobody: "" is
	// one that does not hold the layers of the endpoint's record.
	ReportAddressOwner func(endpoint, occupant string, at time.Time)
	// Quarantine knows which work may end what runs it, nil for nothing ever.
	Quarantine Quarantine
	// OnResume is told that the VM was suspended, nil for nobody.
	OnResume func(now time.Time)
	// ReportSlowdown tells them that this one met a sign of an endpoint's pace, nil for nobody.
	ReportSlowdown func(news protocol.RelaySlow, at time.Time)

	done         part.Done
	retryBudgets serviceBudgets
	startup      startupGate
	pool         connPool
	inflight     inflightBytes
	faultLocator faultLocator
	crashProbes  crashcheck.Checker
	queues       waitQueues
	poller       poller
	slowdowns    slowdownMonitor
	losses       part.Signal   // told when a runner is found lost
	refusals     part.Signal   // told when work is found to end endpoints
	resumed      part.Signal   // told when the VM was suspended
	suspended    time.Duration // how long it had been, as far as is taken into account; of run
	lastHeard    atomic.Int64  // unix nanoseconds, when anything last came from an endpoint
	openCount    atomic.Int64
	activated    part.Signal // told when the first request is open
	entryCount   atomic.Int64
	refusing     atomic.Bool
}

// Start begins the upkeep of connections.
func (f *Forwarder) Start() {
	f.pool.opened = func() { f.Counters.Add(metric.EndpointConnections, 1) }
	f.faultLocator.forwarder = f
	f.poller.forwarder = f
	f.slowdowns.forwarder = f
	f.startup.start(clock.Now())
	f.suspended = clock.Slept()
	go f.run()
}

// Close ends it.
func (f *Forwarder) Close() {
	f.done.Close()
	f.crashProbes.Close()
}

// OpenRequests returns how many requests are being served.
func (f *Forwarder) OpenRequests() int64 { return f.openCount.Load() }

// RefuseNew makes the forwarder refuse every further request, because the entry
// stops and the request would not be finished in time.
func (f *Forwarder) RefuseNew() { f.refusing.Store(true) }

// run does the upkeep. Of a large fleet most entries have nothing open most of the time: lines and
// engines' room are looked at while some request is.
func (f *Forwarder) run() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	turns := time.NewTicker(dispatchInterval)
	defer turns.Stop()
	polls := time.NewTicker(pollCheckInterval)
	defer polls.Stop()
	idles := time.NewTicker(idleCheckInterval)
	defer idles.Stop()
	for {
		busy := f.activated.Awaited()
		turning, polling, idling := turns.C, polls.C, idles.C
		if f.openCount.Load() > 0 {
			idling = nil
		} else {
			turning, polling = nil, nil // the timers behind them stop as well
		}
		select {
		case <-t.C:
			clock.Look()
			f.pool.sweep(clock.Now())
			f.inflight.sweep(f.Registry)
		case <-turning:
			now := clock.Now()
			f.checkSuspension(now)
			f.queues.dispatchFirst(now)
		case <-polling:
			now := clock.Now()
			f.poller.pollDue(now)
			f.slowdowns.queryDue(now)
		case <-idling:
			now := clock.Now()
			f.checkSuspension(now)
			f.slowdowns.queryDue(now)
		case <-busy:
		case <-f.done.Done():
			return
		}
	}
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.openCount.Add(1) == 1 {
		f.activated.Tell()
	}
	defer f.openCount.Add(-1)
	f.Counters.Add(metric.Requests, 1)
	x := &exchange{forwarder: f, writer: w, request: r, begun: clock.Now(), caller: backlog.FromContext(r.Context())}
	f.startup.wait(r.Context())
	x.reservation.budget = f.MemoryBudget
	defer x.reservation.releaseAll()
	refusal := x.admit()
	if refusal == nil {
		refusal = x.checkQuarantine(x.begun)
	}
	x.tagCallerConn(refusal == nil)
	if refusal != nil {
		x.reservation.releaseAll() // its body is given up, however long the refusal waits for its caller
		x.refuse(refusal)
		return
	}
	x.run()
}

func (f *Forwarder) log(e event.Event, details ...slog.Attr) { e.Log(f.Logger, details...) }
