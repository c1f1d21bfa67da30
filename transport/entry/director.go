// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	directorLease = "director"
	// directorEvery is the time between two passes.
	directorEvery = 500 * time.Millisecond
	// runnersPerPass bounds how many engines are asked for their state in one
	// pass: first those that may not be as wanted, then others in turn.
	runnersPerPass = 10
	orderLimit     = time.Second
)

// director orders engines to be what the configuration wants. One entry at a
// time does it, under a lease. The wanted state is in the manifest, so a new
// holder needs nothing from the one before; it reads each engine's real state
// and orders only what differs.
type director struct {
	entry   *Entry
	lease   lease.Lease
	holding bool
	turn    int
	settled map[string]bool // by runner, whether it was last seen drained as wanted
	http    http.Client
}

func (d *director) run() {
	d.lease.Self = d.entry.mesh.Self.Name
	d.settled = map[string]bool{}
	d.http.Timeout = orderLimit
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := time.NewTicker(directorEvery)
	defer t.Stop()
	for {
		select {
		case <-d.entry.done.Done():
			return
		case <-t.C:
			d.step(ctx)
		}
	}
}

// step goes on with the lease and, while it is held, with the engines. Only
// relays take part, so that calls grow with data centers.
func (d *director) step(ctx context.Context) {
	if !d.entry.mesh.IsRelay() && !d.holding {
		return
	}
	d.advance(ctx)
	_, holding := d.lease.Epoch(clock.Now())
	d.note(holding)
	if holding {
		d.pass(ctx)
	}
}

func (d *director) note(holding bool) {
	if holding == d.holding {
		return
	}
	d.holding = holding
	if holding {
		epoch, _ := d.lease.Epoch(clock.Now())
		event.LeaseTaken.Log(d.entry.Logger, slog.String("lease", directorLease), slog.Uint64("epoch", epoch))
		return
	}
	event.LeaseLost.Log(d.entry.Logger, slog.String("lease", directorLease))
}

// maxLeaseActions bounds the calls for the lease in one pass.
const maxLeaseActions = 3

func (d *director) advance(ctx context.Context) {
	for range maxLeaseActions {
		var err error
		switch a := d.lease.Next(clock.Now()).(type) {
		case lease.Wait:
			return
		case lease.Read:
			err = d.read(ctx)
		case lease.Write:
			err = d.write(ctx, a)
		}
		if err != nil {
			return
		}
	}
}

func (d *director) read(ctx context.Context) error {
	o, err := d.entry.platform.Get(ctx, protocol.ObjectLease, directorLease)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		d.lease.Observe(0, lease.Record{}, clock.Now())
		return nil
	}
	if err != nil {
		return err
	}
	var r lease.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return err // a foreign object: the lease stays with nobody
	}
	d.lease.Observe(o.Version, r, clock.Now())
	return nil
}

func (d *director) write(ctx context.Context, w lease.Write) error {
	value, err := json.Marshal(w.Record())
	if err != nil {
		return err
	}
	version, err := d.entry.platform.Put(ctx, protocol.ObjectLease, directorLease, w.ExpectedVersion(), value)
	if err != nil {
		d.lease.WriteUncertain()
		return err
	}
	d.lease.WriteSucceeded(version)
	return nil
}

// pass asks some engines for their state and orders what differs.
func (d *director) pass(ctx context.Context) {
	current := d.entry.follower.Current()
	if current == nil {
		return // the lease may be held before the first configuration is in force
	}
	for _, r := range d.chosen(current.Runners()) {
		if d.entry.done.Closed() {
			return
		}
		d.settle(ctx, r)
	}
}

// chosen returns the runners that are wanted otherwise than they were last seen,
// then others in turn, up to the bound.
func (d *director) chosen(all []protocol.Runner) []protocol.Runner {
	var chosen []protocol.Runner
	for _, r := range all {
		if len(chosen) < runnersPerPass && d.settled[r.Name] != r.Drain {
			chosen = append(chosen, r)
		}
	}
	for range min(len(all), runnersPerPass) - len(chosen) {
		d.turn++
		chosen = append(chosen, all[d.turn%len(all)])
	}
	return chosen
}

// settle orders one engine to leave or to stay, if it is not so already.
func (d *director) settle(ctx context.Context, r protocol.Runner) {
	state, err := d.state(ctx, r)
	if err != nil {
		return
	}
	d.settled[r.Name] = state.Leaving
	if state.Leaving == r.Drain {
		return
	}
	fence, holding := d.lease.Epoch(clock.Now()) // asked again right before each order
	if !holding {
		return
	}
	body, err := json.Marshal(protocol.Order{Fence: fence, Leave: &r.Drain})
	if err != nil {
		return
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return
	}
	res, err := d.http.Do(q)
	if err != nil {
		return // the next pass looks again
	}
	_ = res.Body.Close()
	event.OrderGiven.Log(d.entry.Logger, slog.String("runner", r.Name), slog.Bool("leave", r.Drain),
		slog.Uint64("fence", fence), slog.Int("status", res.StatusCode))
}

func (d *director) state(ctx context.Context, r protocol.Runner) (protocol.LoadReport, error) {
	var l protocol.LoadReport
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+"/load", nil)
	if err != nil {
		return l, err
	}
	res, err := d.http.Do(q)
	if err != nil {
		return l, err
	}
	defer res.Body.Close()
	return l, json.NewDecoder(http.MaxBytesReader(nil, res.Body, protocol.MaxFrameBytes)).Decode(&l)
}
