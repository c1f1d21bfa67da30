// SPDX-License-Identifier: Apache-2.0

// Package entry implements the process that callers connect to. It connects the
// decision logic of the coordination packages to the network: it serves callers
// and operators, reads the configuration from the platform, and runs requests
// on the runners.
//
//	e := &entry.Entry{Settings: s, Logger: logger}
//	if err := e.Start(); err != nil { ... }
//	defer e.Stop(ctx)
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"pinerun.example/pinerun/coordination/member"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/serving"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/trace"
	"pinerun.example/pinerun/transport/claims"
	"pinerun.example/pinerun/transport/engine"
	"pinerun.example/pinerun/transport/follow"
	"pinerun.example/pinerun/transport/peer"
	"pinerun.example/pinerun/transport/platform"
)

// Entry is one entry process. Set the exported fields before calling Start.
type Entry struct {
	Settings settings.Entry
	Logger   *slog.Logger

	counters       metric.Set
	detectionTimes metric.Histogram // from the dispatch of a step until it is abandoned
	recoveryTimes  metric.Histogram // from an abandoned step to the next token
	traces         trace.Log
	view           atomic.Pointer[fleet.View]
	pool           engine.Pool
	platform       platform.Client
	admission      admission
	deadlines      deadlineTracker
	serviceClient  serviceClient
	leaving        leavingVMs
	retryBudget    retryBudget
	claims         claims.Store
	quarantine     workQuarantine
	mesh           peer.Mesh
	follower       follow.Follower

	done             lifecycle.Done
	stopping         atomic.Bool
	openRequests     atomic.Int64
	requests         sync.WaitGroup
	callerListener   listener
	operatorListener listener
	peerListener     listener
}

// Start opens the listeners and starts following the configuration.
func (e *Entry) Start() error {
	e.Settings = e.Settings.WithDefaults()
	e.platform.Base = e.Settings.Platform
	e.platform.Counters = &e.counters
	e.pool.Counters = &e.counters
	e.pool.Logger = e.Logger
	e.quarantine.entry, e.quarantine.tracker.Self = e, e.Settings.Name
	if err := e.openListeners(); err != nil {
		return err
	}
	e.startMesh()
	e.startFollower()
	e.startClaims()
	go e.callerListener.serve()
	go e.operatorListener.serve()
	go e.peerListener.serve()
	go e.deadlines.run()
	go e.quarantine.run()
	go (&admissionTicker{entry: e}).run()
	go (&registration{entry: e}).run()
	go (&director{entry: e}).run()
	go (&vmPoller{entry: e}).run()
	event.EntryReady.Log(e.Logger, slog.String("entry", e.Settings.Name),
		slog.String("callers", e.CallerAddress()), slog.String("operators", e.OperatorAddress()))
	return nil
}

// openListeners opens all three listeners. If one fails, it closes the others.
func (e *Entry) openListeners() error {
	peerRoutes := http.NewServeMux()
	peerRoutes.Handle(peer.Path, &e.mesh)
	for _, x := range []struct {
		listener *listener
		address  string
		handler  http.Handler
		tls      settings.TLS
	}{
		{&e.callerListener, e.Settings.Listen.Callers, e.callerRoutes(), e.Settings.CallerTLS},
		{&e.operatorListener, e.Settings.Listen.Operators, e.operatorRoutes(), e.Settings.OperatorTLS},
		{&e.peerListener, e.Settings.Listen.Peers, peerRoutes, e.Settings.PeerTLS},
	} {
		if err := x.listener.open(x.address, x.handler, x.tls, &e.Settings); err != nil {
			e.closeListeners()
			return err
		}
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []*listener{&e.callerListener, &e.operatorListener, &e.peerListener} {
		l.close()
	}
}

func (e *Entry) startMesh() {
	e.mesh.Self = protocol.Member{
		Name: e.Settings.Name, DataCenter: e.Settings.DataCenter, Region: e.Settings.Region,
		Address: e.peerListener.socket.Addr().String(), Incarnation: rand.Uint64(),
	}
	e.mesh.Key = e.Settings.PeerKey
	e.mesh.TLS = e.peerListener.clientTLS
	e.mesh.Handler = &peerHandler{entry: e}
	e.mesh.Counters = &e.counters
	e.mesh.Logger = e.Logger
	e.mesh.Learn([]protocol.Member{e.mesh.Self})
	e.mesh.Learn(e.seedMembers())
	e.mesh.Start()
}

// seedMembers returns the peers named in the settings. They let the entry join
// the mesh when the platform is unreachable at startup.
func (e *Entry) seedMembers() []protocol.Member {
	seeds := make([]protocol.Member, 0, len(e.Settings.Seeds))
	for _, address := range e.Settings.Seeds {
		seeds = append(seeds, member.Seed(address))
	}
	return seeds
}

func (e *Entry) startFollower() {
	e.follower.Platform = &e.platform
	e.follower.Mesh = &e.mesh
	e.follower.Counters = &e.counters
	e.follower.Logger = e.Logger
	e.follower.OnVersion = e.applyConfig
	e.follower.Start()
}

func (e *Entry) startClaims() {
	e.claims.Platform = &e.platform
	e.claims.Counters = &e.counters
	e.claims.Logger = e.Logger
	e.claims.Mesh = &e.mesh
	e.claims.IsGone = e.mesh.IsGone
	e.claims.Shards = e.Settings.ClaimShards
	e.claims.RetainUntil = e.Settings.Limits.KeyExpiry
	e.claims.Start()
}

// applyConfig rebuilds the view of the fleet for a new configuration. Runners
// that did not change keep their measurements.
func (e *Entry) applyConfig(c *config.Config) {
	view := fleet.NewViewFromConfig(e.view.Load(), c, fleet.Entry{Name: e.Settings.Name, DataCenter: e.Settings.DataCenter})
	for _, r := range view.Runners() {
		r.SetVMLeaving(e.leaving.has(r.Spec().VM))
	}
	e.view.Store(view)
	e.pool.CloseUnused(view)
}

// CallerAddress returns the IP address and port that callers connect to.
func (e *Entry) CallerAddress() string { return e.callerListener.socket.Addr().String() }

// OperatorAddress returns the IP address and port that operators connect to.
func (e *Entry) OperatorAddress() string { return e.operatorListener.socket.Addr().String() }

// Counters returns the entry's counters.
func (e *Entry) Counters() *metric.Set { return &e.counters }

// Detection returns the times from the dispatch of a step until it is abandoned.
func (e *Entry) Detection() *metric.Histogram { return &e.detectionTimes }

// Recovery returns the times from an abandoned step to the next token.
func (e *Entry) Recovery() *metric.Histogram { return &e.recoveryTimes }

// Ready reports whether the entry accepts requests.
func (e *Entry) Ready() bool { return e.follower.Current() != nil && !e.stopping.Load() }

// Stop makes the health check fail, waits for open requests until ctx is done,
// and then closes everything.
func (e *Entry) Stop(ctx context.Context) {
	if e.stopping.Swap(true) {
		return
	}
	event.EntryStopping.Log(e.Logger, slog.Int64("open", e.openRequests.Load()))
	e.mesh.Leave()
	e.removeRecord(ctx)
	waiter := &drainWaiter{entry: e}
	go waiter.run()
	select {
	case <-waiter.done.Done():
	case <-ctx.Done():
	}
	serving.Shutdown(&e.callerListener.server, clock.Now().Add(serving.FlushTimeout))
	if unwritten := e.claims.Flush(ctx); unwritten > 0 {
		event.ClaimOutcomeUnkept.Log(e.Logger, slog.Int("records", unwritten))
	}
	e.Kill()
	event.EntryStopped.Log(e.Logger, slog.Int64("cut_off", e.openRequests.Load()))
}

// drainWaiter closes done once no request is open.
type drainWaiter struct {
	entry *Entry
	done  lifecycle.Done
}

func (w *drainWaiter) run() {
	w.entry.requests.Wait()
	w.done.Close()
}

// Kill closes everything without waiting for open requests, as when the VM fails.
func (e *Entry) Kill() {
	e.stopping.Store(true)
	e.done.Close()
	e.quarantine.close()
	e.deadlines.done.Close()
	e.closeListeners()
	e.follower.Close()
	e.mesh.Close()
	e.pool.Close()
	e.claims.Close()
}
