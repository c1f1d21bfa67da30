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
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/director"
	"pinerun.example/pinerun/transport/forward"
	"pinerun.example/pinerun/transport/relay"
	"pinerun.example/pinerun/transport/watch"
)

const (
	// shareKept is the part of the retry share that an entry uses itself, since
	// the platform counts requests where they were sent, not where they came in.
	shareKept = 0.95
	// ownKind is the kind of the product's own objects in the platform that every entry
	// follows: leases, and the work that is refused. One kind costs one watch.
	ownKind = "pinerun-leases"
	// sweepEvery is how often records that vanished are looked through.
	sweepEvery = 250 * time.Millisecond
	// judgeEvery is how often records are judged by the table in force, for which everything
	// that follows from the endpoints' changes is worked out.
	judgeEvery = time.Second
)

// Front is one entry. Set the exported fields before Start.
type Front struct {
	Settings     settings.Front
	Dependencies Dependencies
	Counters     *metric.Set
	Logger       *slog.Logger

	done      part.Done
	routing   routing.Store
	roster    registry.Registry
	records   records
	forwarder forward.Forwarder
	director  director.Director
	source    relay.Source
	watchers  []*watch.Watcher
	confirmer watch.Confirmer
	register  register
	refusals  refusals
	callers   callers
	held      backlog.Budget
	ready     listener
	metrics   listener
	peers     listener
	stopping  atomic.Bool
	reached   atomic.Bool // the platform answered last
}

// Start begins to serve.
func (f *Front) Start() error {
	f.assemble()
	f.forwarder.Start() // before the first caller: from now on requests wait for the entry to open
	if err := f.listen(); err != nil {
		f.forwarder.Close()
		f.closeAddresses()
		return err
	}
	f.director.Start()
	f.watch()
	f.serve()
	go f.register.run()
	go f.refusals.run()
	go f.run()
	s := &f.Settings
	event.EntryReady.Log(f.Logger, slog.String("data_center", s.DataCenter),
		slog.String("callers", s.Listen.Callers), slog.String("store", s.Store))
	return nil
}

// assemble puts the parts together that are started later. What one learns goes to the others at
// once, so all know their front before the first starts.
func (f *Front) assemble() {
	s := &f.Settings
	f.register.front, f.refusals.front = f, f
	home := fleet.Entry{Name: s.Name, DataCenter: s.DataCenter}
	f.roster.Entry = home
	f.roster.DataCenters = s.DataCenters
	f.records = records{counters: f.Counters, logger: f.Logger}
	f.held.Counters, f.held.Logger = f.Counters, f.Logger
	f.held.SetLimit(s.HeldBytes())
	f.forwarder = forward.Forwarder{
		Entry: home, Routing: &f.routing, Registry: &f.roster, Headers: f.Dependencies.Headers, Reporter: f.Dependencies.Engines,
		Counters: f.Counters, Logger: f.Logger,
		KeysTrustedUntil: s.KeyTrust, ReportFailure: f.source.ReportLoss, ReportAddressOwner: f.source.ReportOwner, MemoryBudget: &f.held, ReportSlowdown: f.source.ReportSlowness,
		Quarantine: f.source.Quarantine(), OnResume: f.woke,
	}
	if s.ChangePaths {
		f.forwarder.PathChanger = f.Dependencies.Engines
	}
	f.forwarder.InitRetryBudget(forward.RetryBudget{Share: s.RetryShare * shareKept, Slack: s.RetrySlack, WindowEnd: s.RetryWindow}, census.DefaultCount, clock.Now())
	f.director = director.Director{
		Self: s.Name, LeaseKind: ownKind, Routing: &f.routing, Registry: &f.roster, Engines: f.Dependencies.Engines,
		Objects: f.Dependencies.Objects, EntryCount: f.watching, Following: f.source.Following, HasFollowers: f.source.Followed, Counters: f.Counters, Logger: f.Logger,
		OnMisdirected: f.misdirected,
	}
	f.source = relay.Source{
		Platform: f.Dependencies.Objects,
		Self:     protocol.EntryRecord{Name: s.Name, DataCenter: s.DataCenter, MemoryMB: s.MemoryMB},
		Kinds:    []string{f.Dependencies.RoutingKind, f.Dependencies.EndpointKind, entryKind, ownKind}, ConfirmedKind: f.Dependencies.RoutingKind, ConfirmedName: f.Dependencies.RoutingName,
		Counters: f.Counters, Logger: f.Logger, OnPlatformFailure: f.roster.MarkOutage,
		EndpointCount: f.roster.Count, OnLossChange: f.judged, Incarnation: f.roster.Incarnation, OnSlownessChange: f.paced,
	}
}

// judged takes what a report of an endpoint changes.
func (f *Front) judged(r loss.Report, v loss.Change) {
	if f.forwarder.ApplyFailureReport(r, v) {
		f.director.Wake()
	}
}

// paced takes what a report of an endpoint's pace changes.
func (f *Front) paced(r slow.Report, v slow.Change) {
	if f.forwarder.ApplySlownessReport(r, v) {
		f.director.Wake()
	}
}

// watch begins to follow the platform's objects.
func (f *Front) watch() {
	tables := &routingSink{front: f}
	f.watchers = []*watch.Watcher{
		{Source: &f.source, Kind: f.Dependencies.RoutingKind, Sink: tables, EntryCount: f.watching},
		{Source: &f.source, Kind: f.Dependencies.EndpointKind, Sink: &endpointSink{front: f}, EntryCount: f.watching},
		{Source: &f.source, Kind: ownKind, Sink: &ownSink{front: f}, EntryCount: f.watching},
	}
	f.confirmer = watch.Confirmer{
		Source: &f.source, Kind: f.Dependencies.RoutingKind, Name: f.Dependencies.RoutingName,
		Sink: tables, Watchers: f.watchers,
	}
	f.source.Start()
	for _, w := range f.watchers {
		w.Start()
	}
	f.confirmer.Start()
}

// watching returns how many entries watch the platform, or what they were told, as this
// one does: the one that all others follow, the first of each data center, or all.
func (f *Front) watching() int {
	switch n := f.register.centers.Load(); {
	case !f.source.Followed():
		return f.forwarder.EntryCount()
	case !f.source.Following():
		return 1
	default:
		return max(1, int(n))
	}
}

// listen opens the addresses for callers, the balancer, metrics and peers, and writes down which
// they are. Nobody is served there yet: an entry that comes back at its old addresses is asked by
// peers at once, and one that was served before was compared with the empty key.
func (f *Front) listen() error {
	l := &f.Settings.Listen
	if err := f.callers.listen(l.Callers); err != nil {
		return err
	}
	if err := f.ready.open(l.Readiness); err != nil {
		return err
	}
	if err := f.metrics.open(l.Metrics); err != nil {
		return err
	}
	if err := f.listenToPeers(); err != nil {
		return err
	}
	// Port 0 asks for any free one; who started the front reads here which it is.
	l.Callers = f.callers.socket.Addr().String()
	l.Readiness = f.ready.socket.Addr().String()
	l.Metrics = f.metrics.socket.Addr().String()
	f.source.Self.Callers = l.Callers
	return nil
}

// listenToPeers opens the address for peers, if the settings name one. The key that
// they have to show is drawn unless the platform has one of an earlier life.
func (f *Front) listenToPeers() error {
	l := &f.Settings.Listen
	if l.Peers == "" {
		return nil
	}
	if err := f.peers.open(l.Peers); err != nil {
		return err
	}
	l.Peers = f.peers.socket.Addr().String()
	f.source.Self.Peers = l.Peers
	f.source.Self.Key = rand.Text()
	return nil
}

// serve begins to serve at all addresses.
func (f *Front) serve() {
	f.callers.limits = f.callerLimits
	f.callers.held = &f.held
	f.callers.most = f.Settings.Connections()
	f.callers.counters = f.Counters
	f.callers.serve(&f.forwarder)
	f.ready.serve(f.readinessHandler())
	f.metrics.serve(f.metricsHandler())
	mux := http.NewServeMux()
	mux.Handle(relay.Path, &relay.Server{Source: &f.source})
	f.peers.serve(mux)
}

// closeAddresses ends every connection and gives the addresses back.
func (f *Front) closeAddresses() {
	f.callers.close()
	f.ready.close()
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
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	judges := time.NewTicker(judgeEvery)
	defer judges.Stop()
	for {
		select {
		case <-judges.C:
			f.records.judge(&f.roster)
		case <-t.C:
			now := clock.Now()
			for _, e := range f.roster.Sweep(now) {
				event.EndpointGone.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("reason", "did not come back after the platform did"))
			}
			f.lookAtRecords(now)
			f.callers.sweep(time.Now())
		case <-f.done.Done():
			return
		}
	}
}

// isReady reports whether new callers should come here: everything is known, the
// entry does not stop, has room for what it holds, and keys can still be confirmed.
// Where most entries have no room left, the balancer uses all of them, as before.
func (f *Front) isReady(now time.Time) bool {
	return !f.stopping.Load() && !f.held.NearLimit() && f.routing.Current() != nil && f.roster.HasList() &&
		now.Before(f.Settings.KeyTrust(f.routing.ConfirmedAt()))
}

// learned notes that a table, endpoints, refusals or a confirmation of the keys came: with all of them,
// requests are served. Without the refusals work that ends endpoints ran at an entry that had
// just started. A table comes some ms before its confirmation; 535 callers of 83 entries
// that were started at once were refused in between, since their keys could not be confirmed
// (logs of 54 s).
func (f *Front) learned() {
	t := f.routing.Current()
	if t == nil || !f.roster.HasList() || !f.refusals.areRead() || t.RequiresKey() && f.routing.ConfirmedAt().IsZero() {
		return
	}
	f.forwarder.EndStartupWait()
}

// watchFailed notes that the platform did not answer a watcher or a confirmer. Endpoints'
// records lapse meanwhile, whatever was asked for, and the watch of endpoints may rest for
// longer than those are believed in afterwards.
func (f *Front) watchFailed(what string, err error, now time.Time) {
	f.roster.MarkOutage(now)
	f.platformFailed(what, err)
}

// platformFailed tells once that the platform does not answer.
func (f *Front) platformFailed(what string, err error) {
	f.Counters.Add(metric.PlatformFaults, 1)
	f.forwarder.EndStartupWait() // what is needed to serve may not come soon
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
