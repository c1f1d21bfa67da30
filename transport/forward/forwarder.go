// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/crashcheck"
	"pinerun.example/pinerun/transport/tunnel"
)

// HeaderCodec translates between HTTP headers and the terms that they carry.
type HeaderCodec interface {
	ParseRequest(h http.Header, now time.Time) protocol.RequestTerms
	SetAttemptHeaders(h http.Header, terms *protocol.AttemptTerms, now time.Time)
	ParseResponse(status int, h http.Header, now time.Time) protocol.AnswerTerms
}

// Reporter requests the status report of an engine.
type Reporter interface {
	Report(ctx context.Context, address string) (protocol.EngineReport, error)
}

const (
	// sweepInterval is how often idle connections are checked for expiry.
	sweepInterval = time.Second
	// idleCheckInterval is how often an entry without open requests checks whether the VM was
	// suspended and which slow engines are due for another query.
	idleCheckInterval = 250 * time.Millisecond
)

// Forwarder forwards requests to endpoints. Set the exported fields before Start.
type Forwarder struct {
	Entry    fleet.Entry
	Routing  *routing.Store
	Registry *registry.Registry
	Headers  HeaderCodec
	Reporter Reporter
	// PathChanger changes the paths of running requests. If it is nil, paths never change.
	PathChanger PathChanger
	Counters    *metric.Set
	Logger      *slog.Logger
	// KeysTrustedUntil returns until when keys confirmed at a given time are accepted.
	KeysTrustedUntil func(confirmed time.Time) time.Time
	// PlatformFailedAt returns when a call of this entry to the platform last failed, zero for never.
	// If it is nil, no request waits for the confirmation of its key.
	PlatformFailedAt func() time.Time
	// MemoryBudget bounds the bytes buffered for callers and for request bodies.
	MemoryBudget *backlog.Budget
	// ReportLoss reports an observation about an endpoint's health to the other entries. It may
	// be nil.
	ReportLoss func(endpoint string, observation protocol.LossObservation, at time.Time)
	// ReportAddressOwner reports to the other entries which process answers at an endpoint's
	// address. An empty owner is a process that does not hold the layers of the endpoint's record.
	// It may be nil.
	ReportAddressOwner func(endpoint, owner string, at time.Time)
	// Quarantine tracks work that may crash the endpoints that run it. It may be nil.
	Quarantine Quarantine
	// OnResume is called after the VM was suspended. It may be nil.
	OnResume func(now time.Time)
	// LateSince reports whether this process was not run for a while since a time, so that a silence
	// may be its own. If it is nil, it never was.
	LateSince func(t time.Time) bool
	// Late returns for how long this process was not run in all. If it is nil, it always ran.
	Late func() time.Duration
	// ReportSlowdown reports an observed slowdown of an endpoint to the other entries. It may be
	// nil.
	ReportSlowdown func(report protocol.SlownessReport, at time.Time)
	// RateLimits holds the rate limits of endpoints. If it is nil, they are ignored.
	RateLimits RateLimits
	// Links connects to endpoints. If it is nil, Dial does.
	Links *tunnel.Dialer
	// Prober asks endpoints for a sign of life. If it is nil, paths to endpoints are not checked.
	Prober Prober
	// Dial connects to the address of an endpoint. If it is nil, connections are over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	done           lifecycle.Done
	retryBudgets   serviceBudgets
	startup        startupGate
	pool           connPool
	inflight       inflightBytes
	backoffs       backoffs
	connDoubts     connDoubts
	faultLocator   faultLocator
	linkChecks     linkChecks
	silentRunners  silentRunners
	crashProbes    crashcheck.Checker
	isolationWaits isolationWaits
	queues         waitQueues
	poller         poller
	slowdowns      slowdownMonitor
	losses         lifecycle.Signal // fires when a runner is found lost
	refusals       lifecycle.Signal // fires when work is found to crash endpoints
	resumed        lifecycle.Signal // fires after the VM was suspended
	suspended      time.Duration    // total suspension already handled; used only by run
	lastHeard      atomic.Int64     // Unix nanoseconds when an endpoint was last heard
	openCount      atomic.Int64
	activated      lifecycle.Signal // fires when the first request opens
	entryCount     atomic.Int64
	closing        atomic.Bool
	stop           stop
	answerTimes    answerTimes
}

// Start starts the background maintenance of connections, queues and engine reports.
func (f *Forwarder) Start() {
	f.pool.dial = f.connect
	f.pool.opened = func() { f.Counters.Add(metric.EndpointConnections, 1) }
	f.faultLocator.forwarder = f
	f.linkChecks.forwarder = f
	f.silentRunners.forwarder = f
	f.poller.forwarder = f
	f.slowdowns.forwarder = f
	f.startup.lateSince = f.LateSince
	f.startup.start(clock.Now())
	f.suspended = clock.Suspended()
	go f.run()
}

// Close stops the background maintenance.
func (f *Forwarder) Close() {
	f.done.Close()
	f.crashProbes.Close()
}

// OpenRequests returns how many requests are being served.
func (f *Forwarder) OpenRequests() int64 { return f.openCount.Load() }

// CloseConnections makes every further response tell its caller that the connection closes after it.
func (f *Forwarder) CloseConnections() { f.closing.Store(true) }

// run does the background maintenance. Most entries of a large fleet have no open requests most of
// the time, so queues and engine capacity are checked only while a request is open.
func (f *Forwarder) run() {
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	dispatches := time.NewTicker(dispatchInterval)
	defer dispatches.Stop()
	polls := time.NewTicker(pollCheckInterval)
	defer polls.Stop()
	idles := time.NewTicker(idleCheckInterval)
	defer idles.Stop()
	for {
		activated := f.activated.Changed()
		dispatchTick, pollTick, idleTick := dispatches.C, polls.C, idles.C
		if f.openCount.Load() > 0 {
			idleTick = nil
		} else {
			dispatchTick, pollTick = nil, nil // the runtime stops timers that no goroutine waits on
		}
		select {
		case <-sweeps.C:
			clock.Refresh()
			f.pool.sweep(clock.Now())
			f.inflight.sweep(f.Registry)
			f.connDoubts.sweep(f.Registry)
			f.maintainGate(clock.Now())
			f.sweepLinks()
		case <-dispatchTick:
			now := clock.Now()
			f.checkSuspension(now)
			f.queues.dispatchFirst(now)
		case <-pollTick:
			now := clock.Now()
			f.maintainLinks(now)
			f.silentRunners.askDue(now)
			f.poller.pollDue(now)
			f.slowdowns.queryDue(now)
		case <-idleTick:
			now := clock.Now()
			f.checkSuspension(now)
			f.maintainLinks(now)
			f.silentRunners.askDue(now)
			f.slowdowns.queryDue(now)
		case <-activated:
		case <-f.done.Done():
			return
		}
	}
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.openCount.Add(1) == 1 {
		f.activated.Broadcast()
	}
	defer f.openCount.Add(-1)
	f.Counters.Add(metric.Requests, 1)
	x := &exchange{forwarder: f, writer: w, request: r, begun: clock.Now(), caller: backlog.FromContext(r.Context())}
	if x.caller != nil {
		x.caller.SetAwaitsHandler(false)
	}
	defer x.endPanic()
	f.startup.wait(r.Context())
	x.reservation.budget = f.MemoryBudget
	defer x.reservation.releaseAll()
	refusal := x.admit()
	if refusal == nil {
		refusal = x.checkQuarantine(x.begun)
	}
	x.tagCallerConn(refusal == nil)
	if refusal != nil {
		x.reservation.releaseAll() // releases the body now: the refusal may wait long for its caller
		x.refuse(refusal)
		return
	}
	x.run()
}

func (f *Forwarder) log(e event.Event, details ...slog.Attr) { e.Log(f.Logger, details...) }
