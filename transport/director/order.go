// SPDX-License-Identifier: Apache-2.0

package director

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
)

const (
	// doubtFor is how long an order without effect is taken to be on its way: the
	// longest load takes a few seconds, the engine's record a second more.
	doubtFor = 6 * time.Second
	// refusedRest is how long an engine that refused an order or did not answer is
	// left alone. It doubles with each time in a row, refusedDoublings times: a dead
	// engine's record stays for three heartbeats.
	refusedRest      = time.Second
	refusedDoublings = 3
	// ordersAtOnce bounds the engines that are spoken to side by side.
	ordersAtOnce = 8
)

// errNoEngine says that what has an engine's address is not such an engine.
var errNoEngine = errors.New("what answers there is no such engine; wait for its record")

// order is an order whose effect has not been seen yet.
type order struct {
	span protocol.Span
	till time.Time
}

// rest is until when an engine gets no order, and how often in a row it took none.
type rest struct {
	till  time.Time
	times int
}

// give orders the moves, holes first, some side by side. A new layout is given whole:
// what is worked out anew once a part of it was ordered fits the rest less well.
func (d *Director) give(moves []move, epoch uint64) {
	for len(moves) > 0 {
		n := min(ordersAtOnce, len(moves))
		d.giveSideBySide(moves[:n], epoch)
		moves = moves[n:]
	}
}

func (d *Director) giveSideBySide(moves []move, epoch uint64) {
	var wait sync.WaitGroup
	for _, m := range moves {
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

// run asks the engine how it stands and gives it the order.
func (g *giving) run() {
	defer g.wait.Done()
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	report, err := g.director.Engines.Report(ctx, g.move.address)
	if err != nil {
		g.failed(err)
		return
	}
	if g.mayOrder(&report) {
		g.order(ctx, &report)
	}
}

// mayOrder reports whether the engine, as it reports itself, can be given the order, and
// notes why not.
func (g *giving) mayOrder(report *protocol.EngineReport) bool {
	d := g.director
	if d.Registry.Report(g.move.Engine(), report, clock.Now()) == registry.ReportDiffers {
		g.differs() // the plan rests on layers that it does not hold
		return false
	}
	if !g.move.fits(report) {
		g.failed(errNoEngine) // the address may have been another service's before
		return false
	}
	if report.Busy {
		g.doubt() // another order is being carried out; its effect will show
		return false
	}
	_, holder := d.lease.Epoch(clock.Now())
	return holder
}

// order gives the order to the engine that made a report.
func (g *giving) order(ctx context.Context, report *protocol.EngineReport) {
	d := g.director
	d.Counters.CountOrder(string(g.move.Reason()))
	answer, err := d.Engines.Place(ctx, protocol.PlacementOrder{
		EndpointID: g.move.Engine(), Address: g.move.address, Layers: g.move.Span(), Epoch: g.epoch, PriorOrders: report.Orders,
		Abort: g.move.Interrupts(),
	})
	if err != nil {
		g.misdirected(err)
		g.failed(err)
	}
	if answer != protocol.OrderRefused {
		g.doubt()
	}
	event.OrderGiven.Log(d.Logger, slog.String("runner", g.move.Engine()), slog.String("layers", g.move.Span().String()),
		slog.String("reason", string(g.move.Reason())), slog.Bool("cut", g.move.Interrupts()), slog.Uint64("epoch", g.epoch), slog.Int("answer", int(answer)))
}

// doubt notes that the order may take effect.
func (g *giving) doubt() {
	d := g.director
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ordered[g.move.Engine()] = order{span: g.move.Span(), till: clock.Now().Add(doubtFor)}
	delete(d.resting, g.move.Engine())
}

// differs handles that the engine is not as its record says: earlier orders went to an
// earlier process, and the next look plans for what this one holds.
func (g *giving) differs() {
	d := g.director
	d.RecordRestart(g.move.Engine())
	d.Wake()
	event.OrderFailed.Log(d.Logger, slog.String("runner", g.move.Engine()),
		slog.String("layers", g.move.Span().String()), slog.String("cause", "it is not as its record says"))
}

// misdirected tells the director's owner if another process than the engine answered.
func (g *giving) misdirected(err error) {
	var other *Misdirected
	if d := g.director; d.OnMisdirected != nil && errors.As(err, &other) {
		d.OnMisdirected(g.move.Engine(), other)
	}
}

// failed leaves the engine alone for a while.
func (g *giving) failed(err error) {
	d := g.director
	d.mutex.Lock()
	r := d.resting[g.move.Engine()]
	r.till = clock.Now().Add(refusedRest << min(r.times, refusedDoublings))
	r.times++
	d.resting[g.move.Engine()] = r
	d.mutex.Unlock()
	event.OrderFailed.Log(d.Logger, slog.String("runner", g.move.Engine()),
		slog.String("layers", g.move.Span().String()), slog.String("cause", err.Error()))
}
