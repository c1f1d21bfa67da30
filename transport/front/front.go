// SPDX-License-Identifier: Apache-2.0

package front

import (
	"crypto/rand"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/census"
	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/scheduling"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/director"
	"pinerun.example/pinerun/transport/forward"
	"pinerun.example/pinerun/transport/relay"
	"pinerun.example/pinerun/transport/tunnel"
	"pinerun.example/pinerun/transport/watch"
)

const (
	// ownRetryShare is the fraction of the configured retry share that an entry uses itself. The
	// platform counts requests where they were sent, not where they came in.
	ownRetryShare = 0.95
	// coordinationKind is the kind of the coordination objects in the platform that every entry
	// follows: leases and refusals of work. They share one kind so that they need one watch.
	coordinationKind = "pinerun-leases"
	// sweepInterval is how often the records of endpoints that vanished are checked.
	sweepInterval = 250 * time.Millisecond
	// recordCheckInterval is how often records are checked against the table in force. A check
	// derives a new view of the fleet if endpoints have changed, so checks are rare.
	recordCheckInterval = time.Second
)

// Front is one entry. Set the exported fields before Start.
type Front struct {
	Settings     settings.Front
	Dependencies Dependencies
	Counters     *metric.Set
	Logger       *slog.Logger

	done              lifecycle.Done
	routing           routing.Store
	tables            routingSink
	endpoints         registry.Registry
	records           recordFaults
	forwarder         forward.Forwarder
	director          director.Director
	source            relay.Source
	links             tunnel.Dialer
	tunnels           tunnel.Server
	addresses         addressIndex
	watchers          []*watch.Watcher
	confirmer         watch.Confirmer
	registration      registration
	refusals          refusals
	callers           callerServer
	memoryBudget      backlog.Budget
	readiness         auxServer
	metrics           auxServer
	peers             auxServer
	scheduling        scheduling.Monitor
	keyTrust          keyTrust
	stopping          atomic.Bool
	restoresSeen      int         // restores of the platform that were logged
	platformReachable atomic.Bool // whether the last call to the platform was answered
}

// Start opens the addresses and begins to serve.
func (f *Front) Start() error {
	f.assemble()
	f.scheduling.Start()
	f.forwarder.Start() // before the first caller, so that requests wait until the entry is ready
	if err := f.listen(); err != nil {
		f.scheduling.Close()
		f.forwarder.Close()
		f.closeAddresses()
		return err
	}
	f.director.Start()
	f.watch()
	f.serve()
	go f.registration.run()
	go f.refusals.run()
	go f.run()
	s := &f.Settings
	event.EntryReady.Log(f.Logger, slog.String("data_center", s.DataCenter),
		slog.String("callers", s.Listen.Callers), slog.String("store", s.Store))
	return nil
}

// assemble connects the components, which are started later. A component passes on at once what it
// learns, so each of them needs its Front set before the first one starts.
func (f *Front) assemble() {
	s := &f.Settings
	f.registration.front, f.refusals.front, f.keyTrust.front, f.tables.front = f, f, f, f
	f.scheduling.Counters, f.scheduling.Logger = f.Counters, f.Logger
	local := fleet.Entry{Name: s.Name, DataCenter: s.DataCenter}
	f.endpoints.Entry = local
	f.endpoints.DataCenters = s.DataCenters
	f.records = recordFaults{counters: f.Counters, logger: f.Logger}
	f.memoryBudget.Counters, f.memoryBudget.Logger = f.Counters, f.Logger
	f.memoryBudget.SetLimit(s.BufferLimitBytes())
	f.forwarder = forward.Forwarder{
		Entry:              local,
		Routing:            &f.routing,
		Registry:           &f.endpoints,
		Headers:            f.Dependencies.Headers,
		Reporter:           f.Dependencies.Engines,
		Counters:           f.Counters,
		Logger:             f.Logger,
		KeysTrustedUntil:   s.KeyUsableUntil,
		ReportLoss:         f.source.ReportLoss,
		ReportAddressOwner: f.source.ReportAddressOwner,
		MemoryBudget:       &f.memoryBudget,
		ReportSlowdown:     f.source.ReportSlowdown,
		Quarantine:         f.source.Quarantine(),
		RateLimits:         f.source.RateLimits(),
		OnResume:           f.handleResume,
		LateSince:          f.scheduling.LateSince,
		Late:               f.scheduling.Late,
		PlatformFailedAt:   f.source.FailedAt,
	}
	f.assembleLinks(local)
	if s.ChangePaths {
		f.forwarder.PathChanger = f.Dependencies.Engines
	}
	f.forwarder.InitRetryBudget(forward.RetryBudget{Share: s.RetryShare * ownRetryShare, Slack: s.RetrySlack, WindowEnd: s.RetryWindow}, census.DefaultCount, clock.Now())
	f.director = director.Director{
		Self:          s.Name,
		LeaseKind:     coordinationKind,
		Routing:       &f.routing,
		Registry:      &f.endpoints,
		Engines:       f.Dependencies.Engines,
		Objects:       f.Dependencies.Objects,
		Eras:          f.Dependencies.Eras,
		EntryCount:    f.watcherCount,
		Following:     f.source.Following,
		HasFollowers:  f.source.Followed,
		CutOff:        f.links.CutOff,
		Counters:      f.Counters,
		Logger:        f.Logger,
		OnMisdirected: f.handleMisdirected,
	}
	f.source = relay.Source{
		Platform:          f.Dependencies.Objects,
		Self:              protocol.EntryRecord{Name: s.Name, DataCenter: s.DataCenter, MemoryMB: s.MemoryMB},
		Kinds:             []string{f.Dependencies.RoutingKind, f.Dependencies.EndpointKind, entryKind, coordinationKind},
		ConfirmedKind:     f.Dependencies.RoutingKind,
		ConfirmedName:     f.Dependencies.RoutingName,
		Counters:          f.Counters,
		Logger:            f.Logger,
		Eras:              f.Dependencies.Eras,
		OnPlatformFailure: f.peerCallFailed,
		EndpointCount:     f.endpoints.Count,
		OnLossChange:      f.applyLossChange,
		Incarnation:       f.endpoints.Incarnation,
		OnSlownessChange:  f.applySlownessChange,
		OnRateLimitChange: f.forwarder.ApplyRateLimitChange,
		OnLostTable:       f.tables.applyLost,
		TableInForce:      f.tables.inForce,
		LateSince:         f.scheduling.LateSince,
	}
}

// applyLossChange applies what a loss report changes.
func (f *Front) applyLossChange(r loss.Report, v loss.Change) {
	if f.forwarder.ApplyLossReport(r, v) {
		f.director.Wake()
	}
}

// applySlownessChange applies what a slowness report changes.
func (f *Front) applySlownessChange(r slow.Report, v slow.Change) {
	if f.forwarder.ApplySlownessReport(r, v) {
		f.director.Wake()
	}
}

// watch begins to follow the platform's objects.
func (f *Front) watch() {
	f.prepareWatchers()
	f.source.Start()
	for _, w := range f.watchers {
		w.Start()
	}
	f.confirmer.Start()
}

// prepareWatchers connects the watchers and the confirmer to what they pass on.
func (f *Front) prepareWatchers() {
	f.watchers = []*watch.Watcher{
		{Source: &f.source, Kind: f.Dependencies.RoutingKind, Sink: &f.tables},
		{Source: &f.source, Kind: f.Dependencies.EndpointKind, Sink: &endpointSink{front: f}},
		{Source: &f.source, Kind: coordinationKind, Sink: &coordinationSink{front: f}},
	}
	for _, w := range f.watchers {
		w.EntryCount, w.LateSince = f.watcherCount, f.scheduling.LateSince
	}
	f.confirmer = watch.Confirmer{
		Source: &f.source, Kind: f.Dependencies.RoutingKind, Name: f.Dependencies.RoutingName,
		Sink: &f.tables, Watchers: f.watchers, Eras: f.Dependencies.Eras,
	}
}

// FollowedName returns the name of the entry that this one follows, "" for none.
func (f *Front) FollowedName() string { return f.source.FollowedName() }

// watcherCount returns how many entries watch the platform, or a peer's copy of it, in the same way
// as this entry. That is 1 for the entry that all others follow, the number of data centers for an
// entry that follows another and is followed, and the number of all entries otherwise.
func (f *Front) watcherCount() int {
	switch dataCenters := f.registration.dataCenters.Load(); {
	case !f.source.Followed():
		return f.forwarder.EntryCount()
	case !f.source.Following():
		return 1
	default:
		return max(1, int(dataCenters))
	}
}

// listen opens the addresses for callers, the load balancer, metrics and peers, and stores the
// actual addresses in the settings. It serves no connection yet: peers connect at once to an entry
// that restarts at its old addresses, and a peer that was served too early was compared with the
// empty key.
func (f *Front) listen() error {
	l := &f.Settings.Listen
	if err := f.callers.listen(l.Callers); err != nil {
		return err
	}
	if err := f.readiness.open(l.Readiness); err != nil {
		return err
	}
	if err := f.metrics.open(l.Metrics); err != nil {
		return err
	}
	if err := f.listenToPeers(); err != nil {
		return err
	}
	// Port 0 selects any free port. The caller that started the front reads here which one it is.
	l.Callers = f.callers.socket.Addr().String()
	l.Readiness = f.readiness.socket.Addr().String()
	l.Metrics = f.metrics.socket.Addr().String()
	f.source.Self.CallerAddress = l.Callers
	return nil
}

// listenToPeers opens the address for peers, if the settings name one, and generates the key that
// peers have to present. A key that the platform holds from an earlier incarnation of this entry
// replaces it.
func (f *Front) listenToPeers() error {
	l := &f.Settings.Listen
	if l.Peers == "" {
		return nil
	}
	if err := f.peers.open(l.Peers); err != nil {
		return err
	}
	l.Peers = f.peers.socket.Addr().String()
	f.source.Self.PeerAddress = l.Peers
	f.source.Self.Key = rand.Text()
	return nil
}

// serve begins to serve at all addresses.
func (f *Front) serve() {
	f.callers.limits = f.callerLimits
	f.callers.memoryBudget = &f.memoryBudget
	f.callers.maxConnections = f.Settings.MaxConnections()
	f.callers.counters, f.callers.logger = f.Counters, f.Logger
	f.callers.serve(&f.forwarder)
	f.readiness.serve(f.readinessHandler())
	f.metrics.serve(f.metricsHandler())
	mux := http.NewServeMux()
	mux.Handle(relay.Path, &relay.Server{Source: &f.source})
	mux.Handle(relay.TablePath, &relay.TableServer{Source: &f.source})
	mux.Handle(tunnel.Path, &f.tunnels)
	f.peers.serve(mux)
}

// closeAddresses closes every connection and releases the addresses.
func (f *Front) closeAddresses() {
	f.callers.close()
	f.readiness.close()
	f.metrics.close()
	f.peers.close()
}

// callerLimits returns the limits in force, zero before the first table.
func (f *Front) callerLimits() protocol.CallerLimits {
	if t := f.routing.Current(); t != nil {
		return *t.CallerLimits()
	}
	return protocol.CallerLimits{}
}

func (f *Front) run() {
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	checks := time.NewTicker(recordCheckInterval)
	defer checks.Stop()
	for {
		restored := f.Dependencies.Eras.Restored()
		f.checkRestores()
		select {
		case <-restored:
		case <-checks.C:
			f.records.checkAgainstTable(&f.endpoints)
		case <-sweeps.C:
			now := clock.Now()
			f.dropVanished(now)
			f.checkRecords(now)
			f.keyTrust.check(now)
			f.callers.sweep(time.Now())
		case <-f.done.Done():
			return
		}
	}
}

// checkRestores logs a restore of the platform since the last check.
func (f *Front) checkRestores() {
	restores := f.Dependencies.Eras.Restores()
	if restores == f.restoresSeen {
		return
	}
	f.Counters.Add(metric.StoreRestores, int64(restores-f.restoresSeen))
	f.restoresSeen = restores
	event.StoreRestored.Log(f.Logger, slog.Uint64("era", f.Dependencies.Eras.Latest()), slog.String("peer", f.source.FollowedName()))
}

// isReady reports whether new callers should connect to this entry: it has a table and the list of
// endpoints, it is not stopping, its memory budget has capacity left, and keys can still be
// confirmed. If most entries have no capacity left, the load balancer uses all of them.
func (f *Front) isReady(now time.Time) bool {
	inForce := f.routing.InForce()
	return !f.stopping.Load() && !f.memoryBudget.NearLimit() && inForce.Table() != nil && f.endpoints.HasList() &&
		now.Before(f.Settings.KeyUsableUntil(inForce.ConfirmedAt()))
}

// endStartupWaitIfReady lets requests be served once the table, the endpoints, the refusals and the
// confirmation of the keys are available. Without the refusals, an entry that had just started ran
// work that crashes endpoints. A table arrives some milliseconds before its confirmation: in
// between, 535 callers of 83 entries that started at once were refused because their keys could not
// be confirmed (logs of 54 s).
func (f *Front) endStartupWaitIfReady() {
	inForce := f.routing.InForce()
	t := inForce.Table()
	if t == nil || !f.endpoints.HasList() || !f.refusals.areLoaded() || t.RequiresKey() && inForce.ConfirmedAt().IsZero() {
		return
	}
	f.forwarder.EndStartupWait()
}
