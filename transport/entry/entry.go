// SPDX-License-Identifier: Apache-2.0

// Package entry is the process that callers reach. It joins the pure decisions
// to sockets: it serves callers and operators, reads the configuration from the
// platform, and carries requests over the runners.
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
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
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

// Entry is one entry process. Set the exported fields, then Start it.
type Entry struct {
	Settings settings.Entry
	Logger   *slog.Logger

	counters  metric.Set
	detected  metric.Times // from a step's sending to its being given up
	recovery  metric.Times // from there to the next token
	stories   trace.Log
	view      atomic.Pointer[fleet.View]
	pool      engine.Pool
	platform  platform.Client
	gate      gate
	deadlines deadlines
	services  serviceClient
	leaving   leavingVMs
	retries   retries
	claims    claims.Store
	suspects  suspects
	mesh      peer.Mesh
	follower  follow.Follower

	done     part.Done
	stopping atomic.Bool
	open     atomic.Int64
	requests sync.WaitGroup
	callers  listener
	admins   listener
	peers    listener
}

// Start opens the listeners and begins to follow the configuration.
func (e *Entry) Start() error {
	e.Settings = e.Settings.WithDefaults()
	e.platform.Base = e.Settings.Platform
	e.platform.Counters = &e.counters
	e.pool.Counters = &e.counters
	e.pool.Logger = e.Logger
	e.suspects.entry, e.suspects.book.Self = e, e.Settings.Name
	if err := e.listen(); err != nil {
		return err
	}
	e.startMesh()
	e.startFollower()
	e.startClaims()
	go e.callers.run()
	go e.admins.run()
	go e.peers.run()
	go e.deadlines.run()
	go e.suspects.run()
	go (&gateClock{entry: e}).run()
	go (&registration{entry: e}).run()
	go (&director{entry: e}).run()
	go (&vmWatch{entry: e}).run()
	event.EntryReady.Log(e.Logger, slog.String("entry", e.Settings.Name),
		slog.String("callers", e.CallerAddress()), slog.String("operators", e.OperatorAddress()))
	return nil
}

// listen opens all three listeners, or none.
func (e *Entry) listen() error {
	routes := http.NewServeMux()
	routes.Handle(peer.Path, &e.mesh)
	for _, x := range []struct {
		listener *listener
		address  string
		handler  http.Handler
		tls      settings.TLS
	}{
		{&e.callers, e.Settings.Listen.Callers, e.callerRoutes(), e.Settings.CallerTLS},
		{&e.admins, e.Settings.Listen.Operators, e.operatorRoutes(), e.Settings.OperatorTLS},
		{&e.peers, e.Settings.Listen.Peers, routes, e.Settings.PeerTLS},
	} {
		if err := x.listener.open(x.address, x.handler, x.tls, &e.Settings); err != nil {
			e.closeListeners()
			return err
		}
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []*listener{&e.callers, &e.admins, &e.peers} {
		l.close()
	}
}

func (e *Entry) startMesh() {
	e.mesh.Self = protocol.Member{
		Name: e.Settings.Name, DataCenter: e.Settings.DataCenter, Region: e.Settings.Region,
		Address: e.peers.socket.Addr().String(), Incarnation: rand.Uint64(),
	}
	e.mesh.Key = e.Settings.PeerKey
	e.mesh.TLS = e.peers.dial
	e.mesh.Handler = &peerHandler{entry: e}
	e.mesh.Counters = &e.counters
	e.mesh.Logger = e.Logger
	e.mesh.Learn([]protocol.Member{e.mesh.Self})
	e.mesh.Learn(e.seeds())
	e.mesh.Start()
}

// seeds are the peers named in the settings, for a start without the platform.
func (e *Entry) seeds() []protocol.Member {
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
	e.follower.OnVersion = e.inForce
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

// inForce rebuilds the view of the fleet for a new configuration. What was
// measured of unchanged runners is kept.
func (e *Entry) inForce(c *config.Config) {
	view := fleet.NewViewFromConfig(e.view.Load(), c, fleet.Entry{Name: e.Settings.Name, DataCenter: e.Settings.DataCenter})
	for _, r := range view.Runners() {
		r.SetVMLeaving(e.leaving.has(r.Spec().VM))
	}
	e.view.Store(view)
	e.pool.CloseUnused(view)
}

// CallerAddress returns the IP and port that callers reach.
func (e *Entry) CallerAddress() string { return e.callers.socket.Addr().String() }

// OperatorAddress returns the IP and port that operators reach.
func (e *Entry) OperatorAddress() string { return e.admins.socket.Addr().String() }

// Counters returns the entry's counters.
func (e *Entry) Counters() *metric.Set { return &e.counters }

// Detection returns the times from a step's sending to its being given up.
func (e *Entry) Detection() *metric.Times { return &e.detected }

// Recovery returns the times from a step's being given up to the next token.
func (e *Entry) Recovery() *metric.Times { return &e.recovery }

// Ready reports whether the entry takes requests.
func (e *Entry) Ready() bool { return e.follower.Current() != nil && !e.stopping.Load() }

// Stop fails the health check, waits for open requests until ctx ends, and
// closes everything.
func (e *Entry) Stop(ctx context.Context) {
	if e.stopping.Swap(true) {
		return
	}
	event.EntryStopping.Log(e.Logger, slog.Int64("open", e.open.Load()))
	e.mesh.Leave()
	e.removeLine(ctx)
	waited := &waitForOpen{entry: e}
	go waited.run()
	select {
	case <-waited.done.Done():
	case <-ctx.Done():
	}
	serving.Finish(&e.callers.server, clock.Now().Add(serving.LastBytes))
	if unkept := e.claims.Flush(ctx); unkept > 0 {
		event.ClaimOutcomeUnkept.Log(e.Logger, slog.Int("records", unkept))
	}
	e.Kill()
	event.EntryStopped.Log(e.Logger, slog.Int64("cut_off", e.open.Load()))
}

// waitForOpen closes done when no request is open any more.
type waitForOpen struct {
	entry *Entry
	done  part.Done
}

func (w *waitForOpen) run() {
	w.entry.requests.Wait()
	w.done.Close()
}

// Kill closes everything at once, as when the VM dies.
func (e *Entry) Kill() {
	e.stopping.Store(true)
	e.done.Close()
	e.suspects.close()
	e.deadlines.done.Close()
	e.closeListeners()
	e.follower.Close()
	e.mesh.Close()
	e.pool.Close()
	e.claims.Close()
}
