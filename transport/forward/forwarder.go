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
	// sweepEvery is how often resting connections are looked through.
	sweepEvery = time.Second
	// idleLook is how often an entry with no open request looks whether the VM was suspended
	// and which slow engines are due to be asked.
	idleLook = 250 * time.Millisecond
)

// Forwarder forwards requests. Set the exported fields before Start.
type Forwarder struct {
	Home     fleet.Entry
	Routing  *routing.Store
	Roster   *registry.Registry
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
	// ReportOccupant tells them which process answers at an endpoint's address, nil for nobody: "" is
	// one that does not hold the layers of the endpoint's record.
	ReportOccupant func(endpoint, occupant string, at time.Time)
	// Quarantine knows which work may end what runs it, nil for nothing ever.
	Quarantine Quarantine
	// OnResume is told that the VM was suspended, nil for nobody.
	OnResume func(now time.Time)
	// ReportPace tells them that this one met a sign of an endpoint's pace, nil for nobody.
	ReportPace func(news protocol.RelaySlow, at time.Time)

	done     part.Done
	budgets  budgets
	opening  opening
	pool     pool
	inflight inflight
	suspects suspects
	endings  crashcheck.Checker
	lines    lines
	poller   poller
	paces    paces
	losses   part.Signal   // told when a runner is found lost
	refusals part.Signal   // told when work is found to end endpoints
	woke     part.Signal   // told when the VM was suspended
	slept    time.Duration // how long it had been, as far as is taken into account; of run
	heardAt  atomic.Int64  // unix nanoseconds, when anything last came from an endpoint
	open     atomic.Int64
	busy     part.Signal // told when the first request is open
	entries  atomic.Int64
	refusing atomic.Bool
}

// Start begins the upkeep of connections.
func (f *Forwarder) Start() {
	f.pool.opened = func() { f.Counters.Add(metric.EndpointConnections, 1) }
	f.suspects.forwarder = f
	f.poller.forwarder = f
	f.paces.forwarder = f
	f.opening.begin(clock.Now())
	f.slept = clock.Slept()
	go f.run()
}

// Close ends it.
func (f *Forwarder) Close() {
	f.done.Close()
	f.endings.Close()
}

// OpenRequests returns how many requests are being served.
func (f *Forwarder) OpenRequests() int64 { return f.open.Load() }

// RefuseNew makes the forwarder refuse every further request, because the entry
// stops and the request would not be finished in time.
func (f *Forwarder) RefuseNew() { f.refusing.Store(true) }

// run does the upkeep. Of a large fleet most entries have nothing open most of the time: lines and
// engines' room are looked at while some request is.
func (f *Forwarder) run() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	turns := time.NewTicker(turnEvery)
	defer turns.Stop()
	polls := time.NewTicker(pollLook)
	defer polls.Stop()
	idles := time.NewTicker(idleLook)
	defer idles.Stop()
	for {
		busy := f.busy.Awaited()
		turning, polling, idling := turns.C, polls.C, idles.C
		if f.open.Load() > 0 {
			idling = nil
		} else {
			turning, polling = nil, nil // the timers behind them stop as well
		}
		select {
		case <-t.C:
			clock.Look()
			f.pool.sweep(clock.Now())
			f.inflight.sweep(f.Roster)
		case <-turning:
			now := clock.Now()
			f.noteSleep(now)
			f.lines.turn(now)
		case <-polling:
			now := clock.Now()
			f.poller.look(now)
			f.paces.look(now)
		case <-idling:
			now := clock.Now()
			f.noteSleep(now)
			f.paces.look(now)
		case <-busy:
		case <-f.done.Done():
			return
		}
	}
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.open.Add(1) == 1 {
		f.busy.Tell()
	}
	defer f.open.Add(-1)
	f.Counters.Add(metric.Requests, 1)
	x := &exchange{forwarder: f, writer: w, request: r, begun: clock.Now(), caller: backlog.FromContext(r.Context())}
	f.opening.wait(r.Context())
	x.reserved.budget = f.MemoryBudget
	defer x.reserved.close()
	refusal := x.admit()
	if refusal == nil {
		refusal = x.endsEndpoints(x.begun)
	}
	x.serve(refusal == nil)
	if refusal != nil {
		x.reserved.close() // its body is given up, however long the refusal waits for its caller
		x.refuse(refusal)
		return
	}
	x.run()
}

func (f *Forwarder) log(e event.Event, details ...slog.Attr) { e.Log(f.Logger, details...) }
