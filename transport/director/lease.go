// SPDX-License-Identifier: Apache-2.0

package director

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// LeaseName names the lease.
	LeaseName = "placement"
	// heldRest is how long an entry that finds the lease held leaves it alone. Its
	// holder gives it up when it sees no more work, and may not see what this one does.
	heldRest = time.Second
	// failedRest is when to try again after the platform did not answer. It doubles with
	// each failure in a row up to failedMost, and up to failedRest more is drawn: an outage
	// meets every entry that sees work.
	failedRest = 250 * time.Millisecond
	failedMost = 2 * time.Second
	// knownFor is how old an entry's knowledge of the platform may be for it to try: one
	// that could not confirm for so long would ask in vain, and the moves that it works
	// out may be wrong. An entry that nobody follows confirms each 1.4 s.
	knownFor = 2 * time.Second
	// releaseAfter is how long after the last order the lease is given up: losses come
	// several at a time.
	releaseAfter = 500 * time.Millisecond
	// leaseSteps is how many steps one try at the lease takes at most: read, write,
	// and read again after a doubt.
	leaseSteps = 3
	// leaseLives is the range from which the number of this entry's life is drawn. A number
	// below 2^52 stays exact where JSON numbers are read as floats.
	leaseLives = 1 << 52
)

// hold takes or keeps the lease as far as it can now, and reports whether this
// entry may give orders. If not, it sets when to try again.
func (d *Director) hold(now time.Time) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	answered := true
	for range leaseSteps {
		if !d.mayAsk(now) {
			return d.withoutPlatform(now)
		}
		switch a := d.lease.Next(now).(type) {
		case lease.Read:
			answered = d.readLease(ctx)
		case lease.Write:
			answered = d.writeLease(ctx, a)
		case lease.Wait:
			return d.epoch()
		}
		now = clock.Now()
		d.asked(answered, now)
	}
	return d.epoch()
}

// withoutPlatform is epoch for an entry that may not ask for the lease: what it holds
// lasts on, and what it doesn't it tries for soon.
func (d *Director) withoutPlatform(now time.Time) (uint64, bool) {
	epoch, ok := d.epoch()
	if !ok {
		d.waitTo = now.Add(failedRest + d.spread())
	}
	return epoch, ok
}

// mayAsk reports whether the platform may be asked for the lease now.
func (d *Director) mayAsk(now time.Time) bool {
	confirmed := d.Routing.ConfirmedAt()
	return !now.Before(d.askFrom) && (confirmed.IsZero() || now.Sub(confirmed) <= knownFor)
}

// asked notes whether the platform answered. The first call in a row without an answer
// is followed by another at once, which settles a write whose answer was lost; each
// one more puts the next off.
func (d *Director) asked(answered bool, now time.Time) {
	if answered {
		d.unanswered = 0
		return
	}
	d.unanswered++
	if n := d.unanswered - 2; n >= 0 {
		d.askFrom = now.Add(min(failedMost, failedRest<<min(n, 10)) + rand.N(failedRest))
	}
}

// release gives the lease up once there has been nothing to order for a while, so that
// another entry which sees the next work first need not wait for its end. What was
// ordered and shows no effect yet stands in the record.
func (d *Director) release(now time.Time) {
	if !d.held || now.Before(d.idleFrom.Add(releaseAfter)) {
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
	event.LeaseReleased.Log(d.Logger, slog.String("lease", LeaseName), slog.Uint64("epoch", w.Record().Epoch))
}

// epoch returns the epoch of the lease and whether this entry holds it. If not, it
// sets when to try again.
func (d *Director) epoch() (uint64, bool) {
	epoch, ok := d.lease.Epoch(clock.Now())
	if !ok {
		d.waitTo = clock.Now().Add(heldRest + d.spread())
	}
	if ok != d.held {
		d.held = ok
		if ok {
			event.LeaseTaken.Log(d.Logger, slog.String("lease", LeaseName), slog.Uint64("epoch", epoch))
		} else {
			event.LeaseLost.Log(d.Logger, slog.String("lease", LeaseName))
		}
	}
	return epoch, ok
}

// readLease reads the lease and reports whether it could.
func (d *Director) readLease(ctx context.Context) bool {
	o, err := d.Objects.Get(ctx, d.LeaseKind, LeaseName)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		d.lease.Observe(0, lease.Record{}, clock.Now())
		return true
	}
	if err != nil {
		event.PlatformUnreached.Log(d.Logger, slog.String("for", "lease"), slog.String("cause", err.Error()))
		return false
	}
	r := d.decodeLease(o.Value)
	now := clock.Now()
	d.lease.Observe(o.Version, r.Record, now)
	d.learn(&r, now, doubtFor)
	return true
}

// decodeLease reads the lease's content. What can't be decoded is the zero record, which
// names no holder and no epoch.
func (d *Director) decodeLease(value []byte) record {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		event.LeaseWriteUncertain.Log(d.Logger, slog.String("lease", LeaseName), slog.String("cause", err.Error()))
		return record{}
	}
	return r
}

// writeLease writes the lease and reports whether the platform answered, be it that
// another entry was faster.
func (d *Director) writeLease(ctx context.Context, w lease.Write) bool {
	version, err := d.putLease(ctx, w)
	if err != nil {
		d.unsure(err)
		var raced *platform.Conflict
		return errors.As(err, &raced)
	}
	d.lease.WriteSucceeded(version)
	return true
}

// unsure notes that a write of the lease had no effect or no answer.
func (d *Director) unsure(err error) {
	d.lease.WriteUncertain()
	event.LeaseWriteUncertain.Log(d.Logger, slog.String("lease", LeaseName), slog.String("cause", err.Error()))
}

// putLease writes the lease under its condition and returns the new version.
func (d *Director) putLease(ctx context.Context, w lease.Write) (uint64, error) {
	value, err := json.Marshal(record{Record: w.Record(), Orders: d.underWay(clock.Now())})
	if err != nil {
		return 0, err
	}
	return d.Objects.Put(ctx, d.LeaseKind, LeaseName, w.ExpectedVersion(), value)
}
