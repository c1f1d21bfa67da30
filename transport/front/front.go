// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/census"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/roster"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/director"
	"pinerun.example/pinerun/transport/forward"
	"pinerun.example/pinerun/transport/watch"
)

const (
	// shareKept is the part of the retry share that an entry uses itself, since
	// the platform counts requests where they were sent, not where they came in.
	shareKept = 0.95
	// leaseKind is the kind of the product's own objects in the platform.
	leaseKind = "pinerun-leases"
	// sweepEvery is how often records that vanished are looked through.
	sweepEvery = 250 * time.Millisecond
)

// Front is one entry. Set the exported fields before Start.
type Front struct {
	Settings settings.Front
	Outside  Outside
	Counters *metric.Set
	Logger   *slog.Logger

	done      part.Done
	routing   routing.Store
	roster    roster.Roster
	latency   forward.Latency
	forwarder forward.Forwarder
	director  director.Director
	watchers  []*watch.Watcher
	confirmer watch.Confirmer
	register  register
	callers   callers
	ready     listener
	metrics   listener
	stopping  atomic.Bool
	reached   atomic.Bool // the platform answered last
}

// Start begins to serve.
func (f *Front) Start() error {
	s := &f.Settings
	home := fleet.Home{Name: s.Name, DataCenter: s.DataCenter}
	f.roster.Home = home
	f.forwarder = forward.Forwarder{
		Home: home, Routing: &f.routing, Roster: &f.roster, Headers: f.Outside.Headers, Reporter: f.Outside.Engines,
		Counters: f.Counters, Latency: &f.latency, Logger: f.Logger,
		Budget:    retry.Budget{Share: s.RetryShare * shareKept},
		TrustKeys: s.KeyTrust,
	}
	f.forwarder.OpenBudget(census.Least, s.RetrySlack, s.RetryWindow(time.Now()))
	f.director = director.Director{
		Self: s.Name, LeaseKind: leaseKind, Routing: &f.routing, Roster: &f.roster, Engines: f.Outside.Engines,
		Objects: f.Outside.Objects, Entries: f.forwarder.Entries, Counters: f.Counters, Logger: f.Logger,
	}
	if err := f.listen(); err != nil {
		return err
	}
	f.forwarder.Start()
	f.director.Start()
	tables := &routingSink{front: f}
	f.watchers = []*watch.Watcher{
		{Source: f.Outside.Objects, Kind: f.Outside.RoutingKind, Sink: tables, Entries: f.forwarder.Entries},
		{Source: f.Outside.Objects, Kind: f.Outside.EndpointKind, Sink: &endpointSink{front: f}, Entries: f.forwarder.Entries},
	}
	f.confirmer = watch.Confirmer{
		Source: f.Outside.Objects, Kind: f.Outside.RoutingKind, Name: f.Outside.RoutingName,
		Sink: tables, Watchers: f.watchers,
	}
	for _, w := range f.watchers {
		w.Start()
	}
	f.confirmer.Start()
	f.register.front = f
	go f.register.run()
	go f.run()
	event.EntryReady.Log(f.Logger, slog.String("data_center", s.DataCenter),
		slog.String("callers", s.Listen.Callers), slog.String("store", s.Store))
	return nil
}

// listen opens the addresses for callers, the balancer and metrics.
func (f *Front) listen() error {
	l := &f.Settings.Listen
	f.callers.limits = f.callerLimits
	if err := f.callers.open(l.Callers, &f.forwarder); err != nil {
		return err
	}
	if err := f.ready.open(l.Readiness, f.readinessHandler()); err != nil {
		return err
	}
	if err := f.metrics.open(l.Metrics, f.metricsHandler()); err != nil {
		return err
	}
	// Port 0 asks for any free one; who started the front reads here which it is.
	l.Callers = f.callers.socket.Addr().String()
	l.Readiness = f.ready.socket.Addr().String()
	l.Metrics = f.metrics.socket.Addr().String()
	return nil
}

// callerLimits returns the limits in force, zero before the first table.
func (f *Front) callerLimits() protocol.CallerLimits {
	if t := f.routing.Current(); t != nil {
		return *t.Callers()
	}
	return protocol.CallerLimits{}
}

func (f *Front) run() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, e := range f.roster.Sweep(now) {
				event.EndpointGone.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("reason", "did not come back after the platform did"))
			}
			f.callers.sweep(now)
		case <-f.done.Done():
			return
		}
	}
}

// isReady reports whether new callers should come here: everything is known, the
// entry does not stop, and keys can still be confirmed.
func (f *Front) isReady(now time.Time) bool {
	return !f.stopping.Load() && f.routing.Current() != nil && f.roster.Known() &&
		now.Before(f.Settings.KeyTrust(f.routing.ConfirmedAt()))
}

// platformFailed tells once that the platform does not answer.
func (f *Front) platformFailed(what string, err error) {
	f.Counters.Add(metric.PlatformFaults, 1)
	if f.reached.Swap(false) {
		event.PlatformUnreached.Log(f.Logger, slog.String("for", what), slog.String("cause", err.Error()))
	}
}

// platformAnswered tells once that the platform answers again.
func (f *Front) platformAnswered() {
	if !f.reached.Swap(true) {
		event.PlatformBack.Log(f.Logger)
	}
}
