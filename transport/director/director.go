// SPDX-License-Identifier: Apache-2.0

// Package director gives engines their orders, from one entry at a time.
//
// Every entry works out the same wanted moves from what it believes. The one
// that holds the lease gives the orders; the others look at the lease only while
// there is work to do, so that a calm fleet costs the platform nothing. Orders
// name the wanted state and how many orders the engine is expected to have
// taken: an order that lands late, after others or on an engine that has
// restarted, is refused there. An engine is asked how it stands before each
// order, and what it holds afterwards is seen in its own record.
package director

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/coordination/place"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/roster"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// lookEvery is how often it is looked whether something has changed, and
	// lookAnyway how often the moves are worked out although nothing has.
	lookEvery  = 100 * time.Millisecond
	lookAnyway = 500 * time.Millisecond
	// settleQuiet is how long no engine has joined before the first layers are
	// ordered in an empty fleet, so that a copy is laid out over all of it; engines
	// start within a heartbeat or so of each other. settleMost bounds the wait.
	settleQuiet = 900 * time.Millisecond
	settleMost  = 4 * time.Second
	// doubt is how long an order without effect is taken to be on its way: the
	// longest load takes a few seconds, the engine's record a second more.
	doubt = 6 * time.Second
	// refusedRest is how long an engine that did not answer is left alone.
	refusedRest = time.Second
	// stagger spreads the entries' attempts to take the lease, for each entry, so
	// that one write is made where all see the same work.
	stagger = 60 * time.Millisecond
	// heldRest is how long an entry that finds the lease held leaves it alone: it
	// can't be taken sooner.
	heldRest = lease.Length
	// failedRest is when to try again after the platform did not answer.
	failedRest = 250 * time.Millisecond
	// askLimit bounds one round of orders to one engine.
	askLimit = time.Second
	// ordersAtOnce bounds the engines that are spoken to side by side.
	ordersAtOnce = 8
	// leaseName names the lease.
	leaseName = "placement"
)

// Engines is the way to the engines.
type Engines interface {
	Report(ctx context.Context, address string) (protocol.EngineReport, error)
	Place(ctx context.Context, o protocol.PlaceOrder) (protocol.OrderAnswer, error)
}

// Objects is the platform as far as the lease needs it.
type Objects interface {
	Get(ctx context.Context, kind, name string) (protocol.Object, error)
	Put(ctx context.Context, kind, name string, known uint64, value []byte) (uint64, error)
}

// Director gives the orders of one entry. Set the exported fields before Start.
type Director struct {
	Self      string
	LeaseKind string
	Routing   *routing.Store
	Roster    *roster.Roster
	Engines   Engines
	Objects   Objects
	Entries   func() int // how many entries there may be
	Counters  *metric.Set
	Logger    *slog.Logger

	done    part.Done
	lease   lease.Lease
	held    bool
	starts  map[string]*start // of services whose engines hold nothing yet
	basis   basis
	again   time.Time // when the moves are worked out although nothing has changed
	waitTo  time.Time // when this entry tries to take the lease for work that it sees
	mutex   sync.Mutex
	ordered map[string]order     // by endpoint ID, still in doubt
	resting map[string]time.Time // by endpoint ID, until when it gets no order
}

// order is an order whose effect has not been seen yet.
type order struct {
	span protocol.Span
	till time.Time
}

// Start begins to look.
func (d *Director) Start() {
	d.lease.Self = d.Self
	d.starts = make(map[string]*start)
	d.ordered = make(map[string]order)
	d.resting = make(map[string]time.Time)
	go d.run()
}

// Close ends it. The lease lapses by itself.
func (d *Director) Close() { d.done.Close() }

func (d *Director) run() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.look(time.Now())
		case <-d.done.Done():
			return
		}
	}
}

// look works out the wanted moves and, holding the lease, orders them.
func (d *Director) look(now time.Time) {
	b := basis{table: d.Routing.Current(), endpoints: d.Roster.Changes()}
	if b == d.basis && now.Before(d.again) {
		return
	}
	d.basis = b
	moves := d.moves(now)
	if len(moves) == 0 {
		d.waitTo = time.Time{}
		d.again = now.Add(lookAnyway)
		return
	}
	d.again = now // there is work: look again at once
	if d.waitTo.IsZero() {
		d.waitTo = now.Add(d.spread())
	}
	if !d.held && now.Before(d.waitTo) {
		return
	}
	epoch, ok := d.hold(now)
	if !ok {
		return
	}
	d.give(moves, epoch)
}

// spread returns a part of the time over which the entries' attempts are spread.
func (d *Director) spread() time.Duration {
	return rand.N(stagger * time.Duration(max(1, d.Entries())))
}

// basis is what moves are worked out from.
type basis struct {
	table     *routing.Table
	endpoints uint64
}

// move is a wanted move with the engine's address.
type move struct {
	place.Move

	address string
}

func (d *Director) moves(now time.Time) []move {
	table := d.Routing.Current()
	if table == nil || !d.Roster.Known() {
		return nil
	}
	endpoints := d.Roster.Endpoints()
	d.forget(endpoints, now)
	var moves []move
	services := table.Services()
	for i := range services {
		if services[i].Engine != nil {
			moves = append(moves, d.movesOf(&services[i], endpoints, now)...)
		}
	}
	return moves
}

func (d *Director) movesOf(s *protocol.RoutedService, endpoints []protocol.Endpoint, now time.Time) []move {
	q := place.Query{Facts: s.Engine}
	addresses := make(map[string]string)
	view := d.Roster.View()
	for _, e := range endpoints {
		if e.Service != s.Name {
			continue
		}
		addresses[e.ID] = e.Address
		q.Engines = append(q.Engines, place.Engine{
			ID: e.ID, DataCenter: e.DataCenter, Accelerator: e.Accelerator, Held: d.heldBy(e), Serving: e.Layers,
			Leaving: e.Leaving || view.Runner(e.ID) != nil && view.Runner(e.ID).Lost(),
		})
	}
	if len(q.Engines) == 0 {
		return nil
	}
	if d.starting(s.Name, q.Engines, now) {
		return nil
	}
	var moves []move
	for _, m := range place.Plan(q) {
		if now.Before(d.resting[m.Engine()]) {
			continue
		}
		moves = append(moves, move{Move: m, address: addresses[m.Engine()]})
	}
	return moves
}

// start is when the engines of an empty fleet were first seen, and when their
// number last rose.
type start struct {
	first   time.Time
	joined  time.Time
	engines int
}

// starting reports whether the engines of a service hold nothing yet and more of
// them are still coming.
func (d *Director) starting(service string, engines []place.Engine, now time.Time) bool {
	for _, e := range engines {
		if e.Held.Layers() > 0 {
			delete(d.starts, service)
			return false
		}
	}
	s := d.starts[service]
	if s == nil {
		s = &start{first: now}
		d.starts[service] = s
	}
	if len(engines) > s.engines {
		s.joined = now
		s.engines = len(engines)
	}
	return now.Sub(s.joined) < settleQuiet && now.Sub(s.first) < settleMost
}

// heldBy returns what an engine holds, or what it was lately ordered to hold.
func (d *Director) heldBy(e protocol.Endpoint) protocol.Span {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if o, ok := d.ordered[e.ID]; ok {
		return o.span
	}
	return e.Layers
}

// forget drops orders whose effect was seen, that took too long, or whose engine
// is gone.
func (d *Director) forget(endpoints []protocol.Endpoint, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.ordered) == 0 {
		return
	}
	there := make(map[string]protocol.Span, len(endpoints))
	for _, e := range endpoints {
		there[e.ID] = e.Layers
	}
	for id, o := range d.ordered {
		span, known := there[id]
		if !known || span == o.span || now.After(o.till) {
			delete(d.ordered, id)
		}
	}
}

// hold takes or keeps the lease as far as it can now, and reports whether this
// entry may give orders. If not, it sets when to try again.
func (d *Director) hold(now time.Time) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	for range 3 { // read, write, and read again after a doubt
		switch a := d.lease.Next(now).(type) {
		case lease.Read:
			if !d.readLease(ctx) {
				d.waitTo = time.Now().Add(failedRest)
				return 0, false
			}
		case lease.Write:
			d.writeLease(ctx, a)
		case lease.Rest:
			return d.epoch()
		}
		now = time.Now()
	}
	return d.epoch()
}

func (d *Director) epoch() (uint64, bool) {
	epoch, ok := d.lease.Epoch(time.Now())
	if !ok {
		d.waitTo = time.Now().Add(heldRest + d.spread())
	}
	if ok != d.held {
		d.held = ok
		if ok {
			event.LeaseTaken.Log(d.Logger, slog.String("lease", leaseName), slog.Uint64("epoch", epoch))
		} else {
			event.LeaseLost.Log(d.Logger, slog.String("lease", leaseName))
		}
	}
	return epoch, ok
}

func (d *Director) readLease(ctx context.Context) bool {
	o, err := d.Objects.Get(ctx, d.LeaseKind, leaseName)
	var missing *platform.NotFound
	switch {
	case errors.As(err, &missing):
		d.lease.Seen(0, lease.Record{}, time.Now())
		return true
	case err != nil:
		event.PlatformUnreached.Log(d.Logger, slog.String("for", "lease"), slog.String("cause", err.Error()))
		return false
	}
	var r lease.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		event.PlatformUnreached.Log(d.Logger, slog.String("for", "lease"), slog.String("cause", err.Error()))
		return false
	}
	d.lease.Seen(o.Version, r, time.Now())
	return true
}

func (d *Director) writeLease(ctx context.Context, w lease.Write) {
	value, err := json.Marshal(w.Record())
	if err != nil {
		d.lease.Doubt()
		return
	}
	version, err := d.Objects.Put(ctx, d.LeaseKind, leaseName, w.Known(), value)
	if err != nil {
		d.lease.Doubt()
		return
	}
	d.lease.Wrote(version)
}

// give orders the moves side by side, holes first.
func (d *Director) give(moves []move, epoch uint64) {
	var wait sync.WaitGroup
	for i, m := range moves {
		if i == ordersAtOnce {
			break
		}
		wait.Add(1)
		g := &giving{director: d, move: m, epoch: epoch, wait: &wait}
		go g.run()
	}
	wait.Wait()
}

// giving is one order on its way.
type giving struct {
	director *Director
	move     move
	epoch    uint64
	wait     *sync.WaitGroup
}

func (g *giving) run() {
	defer g.wait.Done()
	d := g.director
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	report, err := d.Engines.Report(ctx, g.move.address)
	if err != nil {
		g.failed(err)
		return
	}
	if report.Busy {
		g.doubt() // another order is being carried out; its effect will show
		return
	}
	if _, ok := d.lease.Epoch(time.Now()); !ok {
		return
	}
	d.Counters.Add(metric.OrdersGiven, 1)
	answer, err := d.Engines.Place(ctx, protocol.PlaceOrder{
		EndpointID: g.move.Engine(), Address: g.move.address, Layers: g.move.Span(), Epoch: g.epoch, Orders: report.Orders,
	})
	if err != nil {
		g.failed(err)
	}
	if answer != protocol.OrderRefused {
		g.doubt()
	}
	event.OrderGiven.Log(d.Logger, slog.String("runner", g.move.Engine()), slog.String("layers", g.move.Span().String()),
		slog.String("reason", string(g.move.Reason())), slog.Uint64("epoch", g.epoch), slog.Int("answer", int(answer)))
}

// doubt notes that the order may take effect.
func (g *giving) doubt() {
	d := g.director
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ordered[g.move.Engine()] = order{span: g.move.Span(), till: time.Now().Add(doubt)}
}

func (g *giving) failed(err error) {
	d := g.director
	d.mutex.Lock()
	d.resting[g.move.Engine()] = time.Now().Add(refusedRest)
	d.mutex.Unlock()
	event.OrderFailed.Log(g.director.Logger, slog.String("runner", g.move.Engine()),
		slog.String("layers", g.move.Span().String()), slog.String("cause", err.Error()))
}
