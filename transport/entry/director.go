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
	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// directorLease is the name of the lease of the director.
	directorLease = "director"
	// directorInterval is the time between two reconciliation passes.
	directorInterval = 500 * time.Millisecond
	// runnersPerPass is the maximum number of engines whose state is read in one
	// pass: first those that may differ from the wanted state, then others in
	// rotation.
	runnersPerPass = 10
	orderTimeout   = time.Second
)

// director orders engines into the state that the configuration wants. One entry
// at a time does so, under a lease. The wanted state is in the manifest, so a new
// holder needs nothing from the previous one. It reads each engine's actual state
// and orders only what differs.
type director struct {
	entry       *Entry
	lease       lease.Lease
	holdsLease  bool
	nextRunner  int
	lastLeaving map[string]bool // by runner name: whether its last load report said that it is leaving
}

func (d *director) run() {
	d.lease.Self = d.entry.mesh.Self.Name
	d.lastLeaving = map[string]bool{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := time.NewTicker(directorInterval)
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

// step renews or tries to acquire the lease and, while this entry holds it,
// reconciles the engines. Only relays compete for the lease, so that the number
// of calls grows with the data centers, not with the entries.
func (d *director) step(ctx context.Context) {
	if !d.entry.mesh.IsRelay() && !d.holdsLease {
		return
	}
	d.advanceLease(ctx)
	_, holdsLease := d.lease.Epoch(clock.Now())
	d.logLeaseChange(holdsLease)
	if holdsLease {
		d.reconcile(ctx)
	}
}

// logLeaseChange logs when this entry takes or loses the lease.
func (d *director) logLeaseChange(holdsLease bool) {
	if holdsLease == d.holdsLease {
		return
	}
	d.holdsLease = holdsLease
	if holdsLease {
		epoch, _ := d.lease.Epoch(clock.Now())
		event.LeaseTaken.Log(d.entry.Logger, slog.String("lease", directorLease), slog.Uint64("epoch", epoch))
		return
	}
	event.LeaseLost.Log(d.entry.Logger, slog.String("lease", directorLease))
}

// maxLeaseActions is the maximum number of lease calls in one pass.
const maxLeaseActions = 3

// advanceLease carries out the next lease actions until none is due.
func (d *director) advanceLease(ctx context.Context) {
	for range maxLeaseActions {
		var err error
		switch a := d.lease.Next(clock.Now()).(type) {
		case lease.Wait:
			return
		case lease.Read:
			err = d.readLease(ctx)
		case lease.Write:
			err = d.writeLease(ctx, a)
		}
		if err != nil {
			return
		}
	}
}

func (d *director) readLease(ctx context.Context) error {
	object, err := d.entry.platform.Get(ctx, protocol.ObjectLease, directorLease)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		d.lease.Observe(protocol.Revision{}, lease.Record{}, clock.Now())
		return nil
	}
	if err != nil {
		return err
	}
	var record lease.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return err // not a lease record: no entry can take the lease
	}
	d.lease.Observe(object.Version, record, clock.Now())
	return nil
}

func (d *director) writeLease(ctx context.Context, w lease.Write) error {
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

// reconcile reads the state of some engines and orders what differs.
func (d *director) reconcile(ctx context.Context) {
	current := d.entry.follower.Current()
	if current == nil {
		return // this entry may hold the lease before the first configuration is in force
	}
	for _, r := range d.selectRunners(current.Runners()) {
		if d.entry.done.Closed() {
			return
		}
		d.reconcileRunner(ctx, r)
	}
}

// selectRunners returns the runners whose last seen state differs from the wanted
// one, then others in rotation, up to runnersPerPass.
func (d *director) selectRunners(runners []protocol.Runner) []protocol.Runner {
	var selected []protocol.Runner
	for _, r := range runners {
		if len(selected) < runnersPerPass && d.lastLeaving[r.Name] != r.Drain {
			selected = append(selected, r)
		}
	}
	for range min(len(runners), runnersPerPass) - len(selected) {
		d.nextRunner++
		selected = append(selected, runners[d.nextRunner%len(runners)])
	}
	return selected
}

// reconcileRunner orders one engine to leave or to stay, if its state differs.
func (d *director) reconcileRunner(ctx context.Context, r protocol.Runner) {
	report, err := d.fetchLoad(ctx, r)
	if err != nil {
		return
	}
	d.lastLeaving[r.Name] = report.Leaving
	if report.Leaving == r.Drain {
		return
	}
	fence, holdsLease := d.lease.Epoch(clock.Now()) // checked again right before each order
	if !holdsLease {
		return
	}
	body, err := json.Marshal(protocol.Order{Fence: fence, Leave: &r.Drain})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := callRunner(req)
	if err != nil {
		return // the next pass tries again
	}
	_ = resp.Body.Close()
	event.OrderGiven.Log(d.entry.Logger, slog.String("runner", r.Name), slog.Bool("leave", r.Drain),
		slog.Uint64("fence", fence), slog.Int("status", resp.StatusCode))
}

// fetchLoad requests a runner's load report.
func (d *director) fetchLoad(ctx context.Context, r protocol.Runner) (protocol.LoadReport, error) {
	var report protocol.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+"/load", nil)
	if err != nil {
		return report, err
	}
	resp, err := callRunner(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	return report, json.NewDecoder(http.MaxBytesReader(nil, resp.Body, protocol.MaxFrameBytes)).Decode(&report)
}

// callRunner sends a request to a runner.
func callRunner(req *http.Request) (*http.Response, error) {
	client := *limited.Client
	client.Timeout = orderTimeout
	return client.Do(req)
}
