// SPDX-License-Identifier: Apache-2.0

// Package lease grants work that only one entry may do at a time to one holder.
//
// A lease is an object in the platform that names its holder and an epoch. An
// entry acquires and renews it by conditional writes. Other entries consider it
// expired once they have seen its version unchanged for TTL on their own clock,
// so clocks of different entries are never compared. The holder stops SafetyMargin
// earlier, counted from before it asked for its last write. A Lease does no input
// or output; its owner does what Next returns and reports the result:
//
//	switch a := l.Next(now).(type) {
//	case lease.Read:  // read the object, then l.Observe(version, record, now)
//	case lease.Write: // write a.Record() if the version is a.ExpectedVersion(), then
//	                  // l.WriteSucceeded(version), or l.WriteUncertain() on any other result
//	case lease.Wait:  // nothing to do until a.Until()
//	}
//	if epoch, ok := l.Epoch(now); ok { ... } // check again right before each order
//	if w, ok := l.Release(now); ok { ... }   // write it, then l.Released(version) or l.WriteUncertain()
//	l.ObserveReport(version, record, now)    // another entry reported the state of the lease
//
// An entry that receives a report of each change need not read the object. A report
// may be out of date, but a write that is based on it fails by its condition.
//
// The epoch rises with each new holder and is part of every order, so an endpoint
// that checks it rejects the orders of an earlier holder.
//
// A platform that comes back from a copy may have lost the last write of the lease,
// and its holder may give orders until its own deadline. So a lease that is first
// seen in a new era of the platform is not free before TTL has passed, whatever the
// copy holds, and its former holder acquires it again like any other entry.
package lease

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// TTL is how long a lease lasts without renewal.
	TTL = 3 * time.Second
	// renewInterval is the time between renewals by the holder.
	renewInterval = time.Second
	// SafetyMargin is how much earlier than TTL the holder stops giving orders.
	// It covers an order that is sent right before the lease expires.
	SafetyMargin = time.Second
	// readInterval is how often entries other than the holder read the lease.
	readInterval = 500 * time.Millisecond
	// eraShift is the number of bits of an epoch below the era of the platform in which it was
	// given. So epochs of a later era are above all of earlier eras, also of those that the
	// platform lost. JSON numbers are exact up to 2^53, which leaves room for 2^21 eras.
	eraShift = 32
)

// Record is the content of a lease in the platform.
type Record struct {
	Holder string `json:"holder"` // empty if the lease was released
	Epoch  uint64 `json:"epoch"`
	// Nonce differs in each write, so that every renewal can be recognized.
	Nonce uint64 `json:"nonce"`
}

// Action is what to do next: a Read, a Write or a Wait.
type Action interface{ action() }

// Read asks for the object.
type Read struct{}

// Write asks for a conditional write.
type Write struct {
	expectedVersion protocol.Revision
	record          Record
}

// ExpectedVersion returns the version that the object must still have; the zero one means
// that it must not exist.
func (w Write) ExpectedVersion() protocol.Revision { return w.expectedVersion }

// Record returns the content to write.
func (w Write) Record() Record { return w.record }

// Wait says that there is nothing to do until some time.
type Wait struct{ until time.Time }

// Until returns when to call Next again.
func (w Wait) Until() time.Time { return w.until }

func (Read) action()  {}
func (Write) action() {}
func (Wait) action()  {}

// Lease is one entry's view of a lease. Set Self and Incarnation before use.
type Lease struct {
	Self string
	// Incarnation is a random number that differs in each run of the process. Nonces
	// are derived from it, so a delayed write of an earlier run is not mistaken for a
	// write of this one.
	Incarnation uint64

	known           bool // version and record reflect what was last read, reported or written
	uncertain       bool // the effect of the last write is unknown
	receivesReports bool // other entries report each change
	version         protocol.Revision
	record          Record
	unchangedSince  time.Time // from when this entry has seen the version unchanged
	freeAt          time.Time // when the lease can be free at the earliest, after a restore of the platform
	readAt          time.Time // when the object was last read
	pending         Record    // content of the write in flight
	pendingEra      uint64    // era of the version that it was based on
	pendingSince    time.Time // when that write was returned by Next or Release
	heldUntil       time.Time // by this entry's clock, SafetyMargin deducted
	writeCount      uint64
}

// Next returns what to do now.
func (l *Lease) Next(now time.Time) Action {
	switch {
	case !l.known:
		return Read{}
	case l.isHolder():
		return l.renew(now)
	case now.Before(l.freeAt):
		return Wait{until: l.freeAt}
	case l.version.IsZero() || l.record.Holder == "" || now.Sub(l.unchangedSince) > TTL:
		return l.acquire(l.nextEpoch(), now)
	case l.receivesReports:
		return Wait{until: l.unchangedSince.Add(TTL)}
	case now.Sub(l.readAt) >= readInterval:
		return Read{}
	default:
		return Wait{until: l.readAt.Add(readInterval)}
	}
}

// ObserveReport applies the state of the object as another entry reported it.
// The zero version means that the object does not exist. A report does not resolve an
// uncertain write, and a report of an older version has no effect.
func (l *Lease) ObserveReport(version protocol.Revision, r Record, now time.Time) {
	l.receivesReports = true
	if l.uncertain || l.known && !l.version.Before(version) {
		return
	}
	l.Observe(version, r, now)
}

// Release returns the write that gives the lease up, so that other entries need
// not wait until it expires, and reports whether this entry holds the lease. The
// caller must give no order after that.
func (l *Lease) Release(now time.Time) (Write, bool) {
	if _, held := l.Epoch(now); !held {
		return Write{}, false
	}
	l.heldUntil = time.Time{}
	return l.write(Record{Epoch: l.record.Epoch}, now), true
}

// Released records that the write of Release succeeded.
func (l *Lease) Released(version protocol.Revision) { l.committed(version) }

// isHolder reports whether the last known record is this entry's own and this
// entry has not given the lease up. A lease of its own that has expired must be
// acquired again, with a new epoch.
func (l *Lease) isHolder() bool { return l.record.Holder == l.Self && !l.heldUntil.IsZero() }

// renew returns the next action of the holder.
func (l *Lease) renew(now time.Time) Action {
	if now.After(l.heldUntil) {
		// The write succeeds only if no other entry has acquired the lease since.
		l.heldUntil = time.Time{}
		return l.acquire(l.nextEpoch(), now)
	}
	if next := l.pendingSince.Add(renewInterval); now.Before(next) {
		return Wait{until: next}
	}
	return l.acquire(l.record.Epoch, now)
}

// nextEpoch returns an epoch above all that were given.
func (l *Lease) nextEpoch() uint64 { return max(l.record.Epoch, l.version.Era<<eraShift) + 1 }

// acquire returns the write that acquires or renews the lease.
func (l *Lease) acquire(epoch uint64, now time.Time) Write {
	return l.write(Record{Holder: l.Self, Epoch: epoch}, now)
}

// write returns the write of a record with a new nonce.
func (l *Lease) write(r Record, now time.Time) Write {
	l.writeCount++
	r.Nonce = l.Incarnation + l.writeCount
	l.pending, l.pendingEra = r, l.version.Era
	l.pendingSince = now
	return Write{expectedVersion: l.version, record: r}
}

// WriteSucceeded records that the write in flight succeeded. If the platform was restored
// meanwhile, it took effect over a lease that this entry has not seen.
func (l *Lease) WriteSucceeded(version protocol.Revision) {
	if version.Era != l.pendingEra {
		l.WriteUncertain()
		return
	}
	l.holdFrom(version)
}

// holdFrom records that the write in flight took effect and this entry holds the
// lease. The time counts from when Next returned the write, since other entries
// may have seen its effect at any time after that.
func (l *Lease) holdFrom(version protocol.Revision) {
	l.committed(version)
	l.heldUntil = l.pendingSince.Add(TTL - SafetyMargin)
}

// committed records that the platform holds the content of the write in flight.
func (l *Lease) committed(version protocol.Revision) {
	l.version = version
	l.record = l.pending
	l.unchangedSince = l.pendingSince
	l.readAt = l.pendingSince
}

// WriteUncertain records that the write in flight met another version, had no
// effect, or that its answer was lost. The next action is a Read, which resolves it.
func (l *Lease) WriteUncertain() {
	l.known = false
	l.uncertain = true
}

// Observe applies the state of the object as read from the platform. The zero
// version means that the object does not exist.
func (l *Lease) Observe(version protocol.Revision, r Record, now time.Time) {
	l.known = true
	l.uncertain = false
	l.readAt = now
	if !version.IsZero() && (r.Epoch == 0 || r.Epoch > maxEpoch(version)) {
		r = unknownRecord(version)
	}
	if l.version.Era < version.Era {
		l.observeRestore(version, r, now)
		return
	}
	if !version.IsZero() && r == l.pending && version != l.version {
		if r.Holder == "" {
			l.Released(version)
		} else {
			l.holdFrom(version)
		}
		return
	}
	if version != l.version {
		l.unchangedSince = now
		if r.Holder != l.Self {
			l.heldUntil = time.Time{}
		}
	}
	l.version = version
	l.record = r
}

// observeRestore applies the first state of the lease that is seen in a new era of the platform.
func (l *Lease) observeRestore(version protocol.Revision, r Record, now time.Time) {
	l.version, l.record = version, r
	l.unchangedSince = now
	l.freeAt = now.Add(TTL)
	l.heldUntil = time.Time{}
}

// unknownHolder is the holder in place of a record that can't be decoded. No entry
// has this name.
const unknownHolder = "\x00"

// unknownRecord returns the record that replaces one that no entry has written. Its
// holder is unknown, so the lease lasts as long as any other.
func unknownRecord(version protocol.Revision) Record {
	return Record{Holder: unknownHolder, Epoch: maxEpoch(version)}
}

// maxEpoch returns the largest epoch that can have been given up to a version: each took a
// write in its era.
func maxEpoch(version protocol.Revision) uint64 { return version.Era<<eraShift + version.Number }

// Epoch returns the epoch to put into an order, and reports whether this entry may
// give one now.
func (l *Lease) Epoch(now time.Time) (uint64, bool) {
	return l.record.Epoch, l.record.Holder == l.Self && now.Before(l.heldUntil)
}
