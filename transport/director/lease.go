// SPDX-License-Identifier: Apache-2.0

package director

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// leaseName names the lease.
	leaseName = "placement"
	// heldRest is how long an entry that finds the lease held leaves it alone. Its
	// holder gives it up when it sees no more work, and may not see what this one does.
	heldRest = time.Second
	// failedRest is when to try again after the platform did not answer.
	failedRest = 250 * time.Millisecond
	// releaseAfter is how long after the last order, with none in doubt, the lease is
	// given up: losses come several at a time.
	releaseAfter = 500 * time.Millisecond
	// leaseSteps is how many steps one try at the lease takes at most: read, write,
	// and read again after a doubt.
	leaseSteps = 3
)

// hold takes or keeps the lease as far as it can now, and reports whether this
// entry may give orders. If not, it sets when to try again.
func (d *Director) hold(now time.Time) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	for range leaseSteps {
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

// release gives the lease up once there has been nothing to order for a while, so that
// another entry which sees the next work first need not wait for its end.
func (d *Director) release(now time.Time) {
	if !d.held || now.Before(d.idleFrom.Add(releaseAfter)) || d.inDoubt() {
		return
	}
	d.held = false
	w, ok := d.lease.Release(now)
	if !ok {
		return // it has lapsed
	}
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	version, err := d.putLease(ctx, w)
	if err != nil {
		d.unsure(err)
		return
	}
	d.lease.Released(version)
	event.LeaseReleased.Log(d.Logger, slog.String("lease", leaseName), slog.Uint64("epoch", w.Record().Epoch))
}

// epoch returns the epoch of the lease and whether this entry holds it. If not, it
// sets when to try again.
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

// readLease reads the lease and reports whether it could.
func (d *Director) readLease(ctx context.Context) bool {
	o, err := d.Objects.Get(ctx, d.LeaseKind, leaseName)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		d.lease.Seen(0, lease.Record{}, time.Now())
		return true
	}
	var r lease.Record
	if err == nil {
		err = json.Unmarshal(o.Value, &r)
	}
	if err != nil {
		event.PlatformUnreached.Log(d.Logger, slog.String("for", "lease"), slog.String("cause", err.Error()))
		return false
	}
	d.lease.Seen(o.Version, r, time.Now())
	return true
}

func (d *Director) writeLease(ctx context.Context, w lease.Write) {
	version, err := d.putLease(ctx, w)
	if err != nil {
		d.unsure(err)
		return
	}
	d.lease.Wrote(version)
}

// unsure notes that a write of the lease had no effect or no answer.
func (d *Director) unsure(err error) {
	d.lease.Doubt()
	event.LeaseUnsure.Log(d.Logger, slog.String("lease", leaseName), slog.String("cause", err.Error()))
}

// putLease writes the lease under its condition and returns the new version.
func (d *Director) putLease(ctx context.Context, w lease.Write) (uint64, error) {
	value, err := json.Marshal(w.Record())
	if err != nil {
		return 0, err
	}
	return d.Objects.Put(ctx, d.LeaseKind, leaseName, w.Known(), value)
}
