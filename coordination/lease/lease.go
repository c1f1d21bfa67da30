// SPDX-License-Identifier: Apache-2.0

// Package lease decides who does the work that one entry at a time does.
//
// A lease is an object in the platform that names its holder and an epoch. It is
// taken and renewed by conditional update. Others judge its expiry by how long
// they have themselves seen its version unchanged, so no two clocks are ever
// compared; the holder stops a margin earlier by its own clock, counted from
// before it asked. A Lease is pure:
//
//	switch a := l.Next(now).(type) {
//	case lease.Read:  // read the object, then l.Seen(version, record, now)
//	case lease.Write: // write a.Record() if the version is a.Known(); then
//	                  // l.Wrote(version), or l.Doubt() for any other end
//	case lease.Rest:  // until a.Till()
//	}
//	if epoch, ok := l.Epoch(now); ok { ... } // ask again right before each order
//	if w, ok := l.Release(now); ok { ... }   // write it; then l.Released(version), or l.Doubt()
//	l.Heard(version, record, now)            // another entry told how the lease stood
//
// Who hears of each change need not read: what is heard may be old, but a write on what is
// old fails by its condition.
//
// The epoch rises with each new holder and goes into every order, so that an
// endpoint that checks refuses the orders of an older holder.
package lease

import "time"

const (
	// TTL is how long a lease lasts without renewal.
	TTL = 3 * time.Second
	// renewEvery is when the holder renews, counted from its last renewal.
	renewEvery = time.Second
	// Margin is how much earlier the holder stops than others may take over. It
	// covers an order that was sent right before the end.
	Margin = time.Second
	// lookEvery is how often others read the lease.
	lookEvery = 500 * time.Millisecond
)

// Record is a lease's content in the platform.
type Record struct {
	Holder string `json:"holder"` // empty when it was given up
	Epoch  uint64 `json:"epoch"`
	// Nonce differs in each write, so that every renewal has its own mark.
	Nonce uint64 `json:"nonce"`
}

// Action is what to do next.
type Action interface{ action() }

// Read asks for the object.
type Read struct{}

// Write asks for a conditional write.
type Write struct {
	known  uint64
	record Record
}

// ExpectedVersion returns the version that must still be there, 0 for none.
func (w Write) ExpectedVersion() uint64 { return w.known }

// Record returns what to write.
func (w Write) Record() Record { return w.record }

// Wait says until when there is nothing to do.
type Wait struct{ till time.Time }

// Until returns when to ask again.
func (r Wait) Until() time.Time { return r.till }

func (Read) action()  {}
func (Write) action() {}
func (Wait) action()  {}

// Lease is one entry's view of a lease. Set Self before use.
type Lease struct {
	Self string
	// Incarnation is drawn anew by each life of the process. A write of an earlier life that
	// takes effect late is not taken for a write of this one.
	Incarnation uint64

	seen      bool
	doubt     bool // of the effect of the last write
	hears     bool // of each change
	version   uint64
	record    Record
	since     time.Time // from when this entry has seen the version unchanged
	readAt    time.Time // when it was last read
	asking    Record    // of the write in flight
	askedAt   time.Time // when that write was decided on
	heldUntil time.Time // by this entry's clock, margin taken off
	writes    uint64
}

// Next returns what to do.
func (l *Lease) Next(now time.Time) Action {
	switch {
	case !l.seen:
		return Read{}
	case l.mine():
		return l.renew(now)
	case l.version == 0 || l.record.Holder == "" || now.Sub(l.since) > TTL:
		return l.hold(l.record.Epoch+1, now)
	case l.hears:
		return Wait{till: l.since.Add(TTL)}
	case now.Sub(l.readAt) >= lookEvery:
		return Read{}
	default:
		return Wait{till: l.readAt.Add(lookEvery)}
	}
}

// ObserveReport takes the object as another entry told it, version 0 for none. It settles no
// doubt, and what is older than what is known counts for nothing.
func (l *Lease) ObserveReport(version uint64, r Record, now time.Time) {
	l.hears = true
	if l.doubt || l.seen && version <= l.version {
		return
	}
	l.Observe(version, r, now)
}

// Release returns the write that gives the lease up, so that others need not wait for
// its end, and whether this entry holds it. The caller must give no order any more.
func (l *Lease) Release(now time.Time) (Write, bool) {
	if _, held := l.Epoch(now); !held {
		return Write{}, false
	}
	l.heldUntil = time.Time{}
	return l.write(Record{Epoch: l.record.Epoch}, now), true
}

// Released takes the success of that write.
func (l *Lease) Released(version uint64) { l.stands(version) }

// mine reports whether the record seen last is this entry's own, still held by
// its clock. A record of ours that lapsed is taken anew, with a new epoch.
func (l *Lease) mine() bool { return l.record.Holder == l.Self && !l.heldUntil.IsZero() }

func (l *Lease) renew(now time.Time) Action {
	if now.After(l.heldUntil) {
		// The condition of the write is that nobody else has taken it since.
		l.heldUntil = time.Time{}
		return l.hold(l.record.Epoch+1, now)
	}
	if next := l.askedAt.Add(renewEvery); now.Before(next) {
		return Wait{till: next}
	}
	return l.hold(l.record.Epoch, now)
}

// hold returns the write that takes the lease, or renews it.
func (l *Lease) hold(epoch uint64, now time.Time) Write {
	return l.write(Record{Holder: l.Self, Epoch: epoch}, now)
}

// write returns the write of a record, which gets a mark of its own.
func (l *Lease) write(r Record, now time.Time) Write {
	l.writes++
	r.Nonce = l.Incarnation + l.writes
	l.asking = r
	l.askedAt = now
	return Write{known: l.version, record: r}
}

// WriteSucceeded takes the success of the write in flight.
func (l *Lease) WriteSucceeded(version uint64) { l.take(version) }

// take notes that the write in flight stands and holds the lease. That counts from
// when it was asked for, since others may have seen it any time after.
func (l *Lease) take(version uint64) {
	l.stands(version)
	l.heldUntil = l.askedAt.Add(TTL - Margin)
}

// stands notes that the write in flight is what the platform holds.
func (l *Lease) stands(version uint64) {
	l.version = version
	l.record = l.asking
	l.since = l.askedAt
	l.readAt = l.askedAt
}

// WriteUncertain notes that the write in flight met another version, had no effect, or
// that its answer was lost. The object is read to find out.
func (l *Lease) WriteUncertain() {
	l.seen = false
	l.doubt = true
}

// Observe takes the object as read; version 0 means that there is none.
func (l *Lease) Observe(version uint64, r Record, now time.Time) {
	l.seen = true
	l.doubt = false
	l.readAt = now
	if version != 0 && (r.Epoch == 0 || r.Epoch > version) {
		r = foreign(version)
	}
	if version != 0 && r == l.asking && version != l.version {
		if r.Holder == "" {
			l.Released(version)
		} else {
			l.take(version)
		}
		return
	}
	if version != l.version {
		l.since = now
		if r.Holder != l.Self {
			l.heldUntil = time.Time{}
		}
	}
	l.version = version
	l.record = r
}

// stranger stands for the holder that a record of another form names. No entry has that
// name.
const stranger = "\x00"

// foreign returns the record in place of one that no entry wrote: who holds the lease is
// not known, so it lasts as any other. Each epoch took a write, so none that was given
// before is above the version.
func foreign(version uint64) Record { return Record{Holder: stranger, Epoch: version} }

// Epoch returns the epoch to put into an order, and whether this entry may give
// one now.
func (l *Lease) Epoch(now time.Time) (uint64, bool) {
	return l.record.Epoch, l.record.Holder == l.Self && now.Before(l.heldUntil)
}
