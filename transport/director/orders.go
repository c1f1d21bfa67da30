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
	// pendingTimeout is how long an order without a visible effect counts as pending. The longest
	// load takes a few seconds, and the engine's record follows up to a second later.
	pendingTimeout = 6 * time.Second
	// failureBackoff is how long an engine that refused an order or did not answer gets no other.
	// It doubles with each consecutive failure, at most maxBackoffDoublings times: the record of a
	// dead engine stays for three heartbeats.
	failureBackoff      = time.Second
	maxBackoffDoublings = 3
	// maxConcurrentOrders bounds the number of engines that are contacted at the same time.
	maxConcurrentOrders = 8
)

// errWrongEngine reports that the engine at an address is not the one that the order is for.
var errWrongEngine = errors.New("the engine at the address is not the one to be ordered; wait for its record")

// pendingOrder is an order whose effect has not been seen yet.
type pendingOrder struct {
	span  protocol.Span
	until time.Time
}

// backoff is the time until which an engine gets no order, and its number of consecutive failures.
type backoff struct {
	until    time.Time
	failures int
}

// dispatch orders the reassignments in batches, gaps first. It always orders the complete plan: a
// plan that is computed again after a part was ordered fits the remaining engines less well.
func (d *Director) dispatch(reassignments []reassignment, epoch uint64) {
	for len(reassignments) > 0 {
		n := min(maxConcurrentOrders, len(reassignments))
		d.dispatchBatch(reassignments[:n], epoch)
		reassignments = reassignments[n:]
	}
}

// dispatchBatch orders some reassignments concurrently and waits for all of them.
func (d *Director) dispatchBatch(batch []reassignment, epoch uint64) {
	var wg sync.WaitGroup
	for _, r := range batch {
		wg.Add(1)
		attempt := &orderAttempt{director: d, reassignment: r, epoch: epoch, wg: &wg}
		go attempt.run()
	}
	wg.Wait()
}

// orderAttempt is one order that is being sent.
type orderAttempt struct {
	director     *Director
	reassignment reassignment
	epoch        uint64
	wg           *sync.WaitGroup
}

// run asks the engine for a report and sends the order if the report allows it.
func (a *orderAttempt) run() {
	defer a.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	report, err := a.director.Engines.Report(ctx, a.reassignment.address)
	if err != nil {
		a.backOff(err)
		return
	}
	if a.mayOrder(&report) {
		a.send(ctx, &report)
	}
}

// mayOrder reports whether the engine's report allows the order, and records the reason if not.
func (a *orderAttempt) mayOrder(report *protocol.EngineReport) bool {
	d := a.director
	if d.Registry.Report(a.reassignment.Engine(), report, clock.Now()) == registry.ReportDiffers {
		a.handleMismatch() // the plan assumes layers that the engine does not hold
		return false
	}
	if !a.reassignment.matches(report) {
		a.backOff(errWrongEngine) // the address may have belonged to another service before
		return false
	}
	if report.Busy {
		a.markPending() // the engine is carrying out another order
		return false
	}
	_, holdsLease := d.lease.Epoch(clock.Now())
	return holdsLease
}

// send sends the order to the engine that made the report.
func (a *orderAttempt) send(ctx context.Context, report *protocol.EngineReport) {
	d := a.director
	d.Counters.CountOrder(string(a.reassignment.Reason()))
	answer, err := d.Engines.Place(ctx, protocol.PlacementOrder{
		EndpointID: a.reassignment.Engine(), Address: a.reassignment.address, Layers: a.reassignment.Span(), Epoch: a.epoch, PriorOrders: report.Orders,
		Abort: a.reassignment.Interrupts(),
	})
	if err != nil {
		a.reportMisdirected(err)
		a.backOff(err)
	}
	if answer != protocol.OrderRefused {
		a.markPending()
	}
	event.OrderGiven.Log(d.Logger, slog.String("runner", a.reassignment.Engine()), slog.String("layers", a.reassignment.Span().String()),
		slog.String("reason", string(a.reassignment.Reason())), slog.Bool("cut", a.reassignment.Interrupts()), slog.Uint64("epoch", a.epoch), slog.Int("answer", int(answer)))
}

// markPending records that the order may take effect.
func (a *orderAttempt) markPending() {
	d := a.director
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pendingOrders[a.reassignment.Engine()] = pendingOrder{span: a.reassignment.Span(), until: clock.Now().Add(pendingTimeout)}
	delete(d.backoffs, a.reassignment.Engine())
}

// handleMismatch handles an engine whose report differs from its record. Earlier orders went to an
// earlier incarnation, and the next check plans with the layers that the current one holds.
func (a *orderAttempt) handleMismatch() {
	d := a.director
	d.RecordRestart(a.reassignment.Engine())
	d.Wake()
	event.OrderFailed.Log(d.Logger, slog.String("runner", a.reassignment.Engine()),
		slog.String("layers", a.reassignment.Span().String()), slog.String("cause", "the engine's report differs from its record"))
}

// reportMisdirected calls OnMisdirected if another process than the engine answered.
func (a *orderAttempt) reportMisdirected(err error) {
	var misdirected *Misdirected
	if d := a.director; d.OnMisdirected != nil && errors.As(err, &misdirected) {
		d.OnMisdirected(a.reassignment.Engine(), misdirected)
	}
}

// backOff gives the engine no order for a while.
func (a *orderAttempt) backOff(err error) {
	d := a.director
	d.mutex.Lock()
	b := d.backoffs[a.reassignment.Engine()]
	b.until = clock.Now().Add(failureBackoff << min(b.failures, maxBackoffDoublings))
	b.failures++
	d.backoffs[a.reassignment.Engine()] = b
	d.mutex.Unlock()
	event.OrderFailed.Log(d.Logger, slog.String("runner", a.reassignment.Engine()),
		slog.String("layers", a.reassignment.Span().String()), slog.String("cause", err.Error()))
}
