// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
)

// isDirect reports whether to connect to an endpoint without another entry.
func (d *Dialer) isDirect(address string) bool {
	if !d.disturbed.Load() {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.tracker.Direct(address)
}

// Blocked reports whether the path to the endpoint at an address is cut.
func (d *Dialer) Blocked(address string) bool { return !d.isDirect(address) }

// Disturbed reports whether any path is cut.
func (d *Dialer) Disturbed() bool { return d.disturbed.Load() }

// CutOff reports whether this entry reaches no endpoint by itself.
func (d *Dialer) CutOff() bool {
	if !d.disturbed.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.tracker.CutOff()
}

// RecordUnreachable records that another entry reached an endpoint while this one did not, in an attempt that
// began at a time. It counts for nothing if this entry was not run since: its own connection may be as good.
func (d *Dialer) RecordUnreachable(address string, begun time.Time) {
	if d.LateSince != nil && d.LateSince(begun) {
		return
	}
	known := len(d.Addresses())
	d.update(func() { d.tracker.Unreachable(address, known, clock.Now()) }, slog.String("address", address))
}

// RecordReached records that an endpoint answered on a connection that this entry opened at a time.
func (d *Dialer) RecordReached(address string, connectedAt time.Time) {
	if !d.disturbed.Load() {
		d.noteReached(address, connectedAt)
		return
	}
	known := len(d.Addresses())
	d.update(func() { d.tracker.Reached(address, connectedAt, known) }, slog.String("address", address))
}

// noteReached records an answer while no path is cut.
func (d *Dialer) noteReached(address string, connectedAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tracker.Reached(address, connectedAt, 0)
}

// TakeProbes returns the addresses to probe now by connections of this entry. RecordProbe has to be called
// for each.
func (d *Dialer) TakeProbes(now time.Time) []string {
	if !d.disturbed.Load() {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.tracker.TakeProbes(now, d.Addresses)
}

// RecordProbe records the end of a probe that began at a time.
func (d *Dialer) RecordProbe(address string, answered bool, begun time.Time) {
	d.mutex.Lock()
	d.tracker.ProbeDone(answered)
	d.mutex.Unlock()
	if answered {
		d.RecordReached(address, begun)
	}
}

// Sweep forgets the paths to endpoints that do not exist any more.
func (d *Dialer) Sweep(exists func(address string) bool) {
	if d.disturbed.Load() {
		d.update(func() { d.tracker.Sweep(exists) })
	}
}

// update changes the tracker, and logs and reports what changes with that.
func (d *Dialer) update(change func(), attrs ...slog.Attr) {
	d.mutex.Lock()
	blocked, cutOff := d.tracker.Blocked(), d.tracker.CutOff()
	change()
	nowBlocked, nowCutOff := d.tracker.Blocked(), d.tracker.CutOff()
	d.disturbed.Store(!d.tracker.Empty())
	d.mutex.Unlock()
	if blocked == nowBlocked && cutOff == nowCutOff {
		return
	}
	attrs = append(attrs, slog.Int("blocked", nowBlocked))
	switch {
	case nowCutOff && !cutOff:
		event.EntryCutOff.Log(d.Logger, attrs...)
	case cutOff && !nowCutOff:
		event.EntryReconnected.Log(d.Logger, attrs...)
	case nowBlocked > blocked:
		event.PathBlocked.Log(d.Logger, attrs...)
	default:
		event.PathRestored.Log(d.Logger, attrs...)
	}
	if d.OnChange != nil {
		d.OnChange()
	}
}
