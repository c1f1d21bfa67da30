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
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/story"
	"pinerun.example/pinerun/transport/claims"
	"pinerun.example/pinerun/transport/engine"
	"pinerun.example/pinerun/transport/platform"
)

// Entry is one entry process. Set the exported fields, then Start it.
type Entry struct {
	Settings settings.Entry
	Logger   *slog.Logger

	counters metric.Set
	detected metric.Times // from a step's sending to its being given up
	recovery metric.Times // from there to the next token
	stories  story.Book
	store    config.Store
	view     atomic.Pointer[fleet.View]
	pool     engine.Pool
	platform platform.Client
	gate     gate
	parts    partCache
	inForce  sync.Mutex
	services serviceClient
	retries  retries
	claims   claims.Keeper

	done     part.Done
	stopping atomic.Bool
	open     atomic.Int64
	entries  atomic.Int64
	requests sync.WaitGroup
	callers  listener
	admins   listener
}

// listener is one HTTP server of the entry.
type listener struct {
	server http.Server
	socket net.Listener
}

// Start opens the listeners and begins to follow the configuration.
func (e *Entry) Start() error {
	e.Settings = e.Settings.WithDefaults()
	e.platform.Base = e.Settings.Platform
	e.platform.Counters = &e.counters
	e.pool.Counters = &e.counters
	e.pool.Logger = e.Logger
	if err := e.callers.open(e.Settings.Listen.Callers, e.callerRoutes(), &e.Settings); err != nil {
		return err
	}
	if err := e.admins.open(e.Settings.Listen.Operators, e.operatorRoutes(), &e.Settings); err != nil {
		_ = e.callers.socket.Close()
		return err
	}
	e.claims.Platform = &e.platform
	e.claims.Counters = &e.counters
	e.claims.Logger = e.Logger
	e.claims.Shards = e.Settings.ClaimShards
	e.claims.Retain = e.Settings.Limits.KeyExpiry
	e.claims.Start()
	go e.callers.run()
	go e.admins.run()
	go (&configWatch{entry: e}).run()
	go (&gateClock{entry: e}).run()
	event.EntryReady.Log(e.Logger, slog.String("entry", e.Settings.Name),
		slog.String("callers", e.CallerAddress()), slog.String("operators", e.OperatorAddress()))
	return nil
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
func (e *Entry) Ready() bool { return e.store.Current() != nil && !e.stopping.Load() }

// Stop fails the health check, waits for open requests until ctx ends, and
// closes everything.
func (e *Entry) Stop(ctx context.Context) {
	if e.stopping.Swap(true) {
		return
	}
	event.EntryStopping.Log(e.Logger, slog.Int64("open", e.open.Load()))
	waited := &waitForOpen{entry: e}
	go waited.run()
	select {
	case <-waited.done.Done():
	case <-ctx.Done():
	}
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
	_ = e.callers.server.Close()
	_ = e.admins.server.Close()
	e.pool.Close()
	e.claims.Close()
}

func (l *listener) open(address string, h http.Handler, s *settings.Entry) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.socket = socket
	l.server = http.Server{
		Handler:           h,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ReadHeaderTimeout: time.Until(s.Limits.SlowCaller(time.Now())),
		IdleTimeout:       2 * time.Minute,
	}
	return nil
}

func (l *listener) run() { _ = l.server.Serve(l.socket) }
