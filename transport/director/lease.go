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
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// LeaseName is the name of the lease object.
	LeaseName = "placement"
	// heldBackoff is how long an entry that finds the lease held waits. The holder releases the
	// lease when it sees no more work, and it may not see the work that this entry sees.
	heldBackoff = time.Second
	// callBackoff is the time until the next call after the platform did not answer. It doubles
	// with each consecutive failure up to maxCallBackoff, plus a random part of callBackoff: in an
	// outage every entry with work calls the platform.
	callBackoff    = 250 * time.Millisecond
	maxCallBackoff = 2 * time.Second
	// maxConfirmationAge is the age of the last confirmation of the routing table up to which an
	// entry attempts to acquire the lease. If the confirmation is older, the platform is unlikely
	// to answer, and the plan may be wrong. An entry without followers confirms every 1.4 s.
	maxConfirmationAge = 2 * time.Second
	// releaseDelay is how long after the last order the lease is released: losses tend to come
	// several at a time.
	releaseDelay = 500 * time.Millisecond
	// maxLeaseSteps bounds the steps of one attempt to acquire the lease: read, write, and read
	// again if the result of the write is uncertain.
	maxLeaseSteps = 3
	// incarnationRange is the range from which the number of this entry's incarnation is drawn.
	// Numbers below 2^52 stay exact where JSON numbers are decoded as floats.
	incarnationRange = 1 << 52
)

// acquireLease acquires or renews the lease as far as possible now, and reports whether this entry
// may give orders. If not, it sets the time of the next attempt.
func (d *Director) acquireLease(now time.Time) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answered := true
	for range maxLeaseSteps {
		if !d.mayCallPlatform(now) {
			return d.epochWithoutPlatform(now)
		}
		switch action := d.lease.Next(now).(type) {
		case lease.Read:
			answered = d.readLease(ctx)
		case lease.Write:
			answered = d.writeLease(ctx, action)
		case lease.Wait:
			return d.leaseEpoch()
		}
		now = clock.Now()
		d.recordCall(answered, now)
	}
	return d.leaseEpoch()
}

// epochWithoutPlatform returns the same as leaseEpoch for an entry that may not call the platform.
// A lease that it holds stays valid. Otherwise the next attempt is soon.
func (d *Director) epochWithoutPlatform(now time.Time) (uint64, bool) {
	epoch, ok := d.leaseEpoch()
	if !ok {
		d.attemptAt = now.Add(callBackoff + d.attemptDelay())
	}
	return epoch, ok
}

// mayCallPlatform reports whether the platform may be called for the lease now.
func (d *Director) mayCallPlatform(now time.Time) bool {
	confirmed := d.Routing.ConfirmedAt()
	return !now.Before(d.leaseCallAt) && (confirmed.IsZero() || now.Sub(confirmed) <= maxConfirmationAge)
}

// recordCall records whether the platform answered. A first unanswered call is followed by another
// at once, which resolves a write whose answer was lost. Each further one increases the backoff.
func (d *Director) recordCall(answered bool, now time.Time) {
	if answered {
		d.unanswered = 0
		return
	}
	d.unanswered++
	if n := d.unanswered - 2; n >= 0 {
		d.leaseCallAt = now.Add(min(maxCallBackoff, callBackoff<<min(n, 10)) + rand.N(callBackoff))
	}
}

// releaseIdleLease releases the lease after releaseDelay without orders, so that another entry that
// sees the next work first need not wait until the lease expires. The record still names the orders
// whose effect has not been seen.
func (d *Director) releaseIdleLease(now time.Time) {
	if !d.holdsLease || now.Before(d.lastWorkAt.Add(releaseDelay)) {
		return
	}
	d.holdsLease = false
	w, ok := d.lease.Release(now)
	if !ok {
		return // the lease has expired
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	version, err := d.putLease(ctx, w)
	if err != nil {
		d.writeUncertain(err)
		return
	}
	d.lease.Released(version)
	event.LeaseReleased.Log(d.Logger, slog.String("lease", LeaseName), slog.Uint64("epoch", w.Record().Epoch))
}

// leaseEpoch returns the epoch of the lease and whether this entry holds it. If not, it sets the
// time of the next attempt.
func (d *Director) leaseEpoch() (uint64, bool) {
	epoch, ok := d.lease.Epoch(clock.Now())
	if !ok {
		d.attemptAt = clock.Now().Add(heldBackoff + d.attemptDelay())
	}
	if ok != d.holdsLease {
		d.holdsLease = ok
		if ok {
			event.LeaseTaken.Log(d.Logger, slog.String("lease", LeaseName), slog.Uint64("epoch", epoch))
		} else {
			event.LeaseLost.Log(d.Logger, slog.String("lease", LeaseName))
		}
	}
	return epoch, ok
}

// readLease reads the lease and reports whether the platform answered.
func (d *Director) readLease(ctx context.Context) bool {
	o, err := d.Objects.Get(ctx, d.LeaseKind, LeaseName)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		d.lease.Observe(protocol.Revision{Era: d.Eras.Latest()}, lease.Record{}, clock.Now())
		return true
	}
	if err != nil {
		event.PlatformUnreached.Log(d.Logger, slog.String("for", "lease"), slog.String("cause", err.Error()))
		return false
	}
	r := d.decodeLease(o.Value)
	now := clock.Now()
	d.lease.Observe(o.Version, r.Record, now)
	d.observeOrders(o.Version, &r, now, pendingTimeout)
	return true
}

// decodeLease decodes the lease's content. Content that can't be decoded counts as the zero record,
// with no holder and epoch 0.
func (d *Director) decodeLease(value []byte) leaseRecord {
	var r leaseRecord
	if err := json.Unmarshal(value, &r); err != nil {
		event.LeaseWriteUncertain.Log(d.Logger, slog.String("lease", LeaseName), slog.String("cause", err.Error()))
		return leaseRecord{}
	}
	return r
}

// writeLease writes the lease and reports whether the platform answered, also if another entry
// wrote first.
func (d *Director) writeLease(ctx context.Context, w lease.Write) bool {
	version, err := d.putLease(ctx, w)
	if err != nil {
		d.writeUncertain(err)
		var conflict *platform.Conflict
		return errors.As(err, &conflict)
	}
	d.lease.WriteSucceeded(version)
	return true
}

// writeUncertain records that a write of the lease failed or that its answer was lost.
func (d *Director) writeUncertain(err error) {
	d.lease.WriteUncertain()
	event.LeaseWriteUncertain.Log(d.Logger, slog.String("lease", LeaseName), slog.String("cause", err.Error()))
}

// putLease writes the lease under its condition and returns the new version.
func (d *Director) putLease(ctx context.Context, w lease.Write) (protocol.Revision, error) {
	value, err := json.Marshal(leaseRecord{Record: w.Record(), Orders: d.pendingOrderRecords(clock.Now())})
	if err != nil {
		return protocol.Revision{}, err
	}
	return d.Objects.Put(ctx, d.LeaseKind, LeaseName, w.ExpectedVersion(), value)
}
