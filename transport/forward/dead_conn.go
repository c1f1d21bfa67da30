// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/deadconn"
	"pinerun.example/pinerun/state/registry"
)

// connDoubts bounds the streams of each endpoint whose connections are taken for dead. The zero value
// is ready to use.
type connDoubts struct {
	mutex   sync.Mutex
	tracker deadconn.Tracker
}

func (d *connDoubts) begin(endpoint string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.tracker.Begin(endpoint, now)
}

func (d *connDoubts) confirm(endpoint string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tracker.Confirm(endpoint)
}

func (d *connDoubts) refute(endpoint string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tracker.Refute(endpoint, now)
}

func (d *connDoubts) end(endpoint string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tracker.End(endpoint)
}

func (d *connDoubts) sweep(r *registry.Registry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tracker.Sweep(r.Has)
}

// suspectsDeadConn reports whether a stream in its middle waits on a dead connection, as far as this
// entry can tell.
func (x *exchange) suspectsDeadConn(silent *attempt, now time.Time) bool {
	f := x.forwarder
	return silent.hasEvent && deadconn.Suspected(deadconn.Query{
		Now: now, LastEvent: x.timing.lastEvent, LongestPause: x.timing.longestPause,
		ServedSentAt: x.servedSentAt(silent),
		EntryLate:    f.LateSince != nil && f.LateSince(x.timing.lastEvent),
		Unread:       len(x.messages) > 0 || silent.hasUnread(),
	})
}

// servedSentAt returns when the latest request was sent that is not more urgent than this one and that
// got an event through each runner of an attempt's path.
func (x *exchange) servedSentAt(a *attempt) time.Time {
	var earliest time.Time
	for i := range a.path.Len() {
		if served := a.path.Runner(i).ServedSentAt(x.urgency()); i == 0 || served.Before(earliest) {
			earliest = served
		}
	}
	return earliest
}

// beginDoubt takes the connection of a stream for dead, if not too many of its endpoint are.
func (x *exchange) beginDoubt(silent *attempt, now time.Time) bool {
	if !x.forwarder.connDoubts.begin(silent.endpoint.Name(), now) {
		return false
	}
	x.doubted = silent
	return true
}

// resolveDoubt notes which attempt delivered an event after a connection was taken for dead.
func (x *exchange) resolveDoubt(delivering *attempt, now time.Time) {
	if x.doubted == nil {
		return
	}
	f, endpoint := x.forwarder, x.doubted.endpoint.Name()
	if delivering == x.doubted {
		f.connDoubts.refute(endpoint, now)
	} else {
		f.connDoubts.confirm(endpoint)
		f.pool.closeIdle(endpoint) // they are probably dead as well
	}
	x.doubted = nil
}

// endDoubt notes that it will not be known whether a connection was dead.
func (x *exchange) endDoubt() {
	if x.doubted != nil {
		x.forwarder.connDoubts.end(x.doubted.endpoint.Name())
		x.doubted = nil
	}
}

// hasUnread reports whether the attempt's connection has received bytes that were not read yet.
func (a *attempt) hasUnread() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.conn != nil && a.conn.hasUnread()
}
