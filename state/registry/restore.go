// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// goneTTL is how long an endpoint whose record is gone is remembered. The copy that the platform may
	// come back from is some seconds old.
	goneTTL = 30 * time.Second
	// maxGone bounds the endpoints that are remembered. It exceeds the number of endpoints of the
	// largest deployment.
	maxGone = 8192
)

// goneEndpoint is an endpoint whose record is gone, and until when it is remembered.
type goneEndpoint struct {
	endpoint protocol.Endpoint
	until    time.Time
}

// IsOfEarlierEra reports whether the record of an endpoint was read in an earlier era of the platform's
// store than the given one, so that a restore and not the endpoint may have removed it.
func (r *Registry) IsOfEarlierEra(id string, era uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, known := r.endpoints[id]
	return known && e.Era < era
}

// holdBack decides whether a record is ignored for now because it may be older than what is known. That
// is so for the first record of an endpoint in a new era of the platform's store: it may be that of the
// copy, unless the endpoint has written it since. A running process overwrites the copy's record with
// its next heartbeat if that differs; one that remains is accepted later.
func (r *Registry) holdBack(e protocol.Endpoint, now time.Time) bool {
	if l, ok := r.lateRecords[e.ID]; ok && l.restored && l.endpoint == e {
		return true // listed again
	}
	old, known := r.endpoints[e.ID]
	if gone, ok := r.gone[e.ID]; ok && !known {
		delete(r.gone, e.ID)
		old, known = gone.endpoint, now.Before(gone.until)
	} else if known && sameRecord(old, e) {
		known = false // nothing goes back
	}
	if !known || old.Era >= e.Era || isLaterRecord(&old, &e) {
		return false
	}
	if _, used := r.endpoints[e.ID]; used {
		old.Era = e.Era
		r.endpoints[e.ID] = old
	}
	r.addLateRecord(e, now)
	l := r.lateRecords[e.ID]
	l.restored = true
	r.lateRecords[e.ID] = l
	return true
}

// isLaterRecord reports whether a record was certainly written later than another one of its endpoint.
func isLaterRecord(before, after *protocol.Endpoint) bool {
	return before.Incarnation.Before(after.Incarnation) || after.Heartbeats > before.Heartbeats
}

// sameRecord reports whether two records have the same content.
func sameRecord(a, b protocol.Endpoint) bool {
	b.Era, b.Heartbeats = a.Era, a.Heartbeats
	return a == b
}

// rememberGone remembers an endpoint whose record is gone.
func (r *Registry) rememberGone(e protocol.Endpoint, now time.Time) {
	if r.gone == nil {
		r.gone = make(map[string]goneEndpoint)
	}
	if len(r.gone) < maxGone {
		r.gone[e.ID] = goneEndpoint{endpoint: e, until: now.Add(goneTTL)}
	}
}

// sweepGone forgets the endpoints that have been gone for goneTTL.
func (r *Registry) sweepGone(now time.Time) {
	for id, g := range r.gone {
		if !now.Before(g.until) {
			delete(r.gone, id)
		}
	}
}

// acceptRestored applies a record of the copy that has remained: the endpoint has not overwritten it,
// so it is what the endpoint holds.
func (r *Registry) acceptRestored(e protocol.Endpoint, now time.Time) {
	if old, known := r.endpoints[e.ID]; known {
		old.Heartbeats = min(old.Heartbeats, e.Heartbeats)
		r.endpoints[e.ID] = old
	}
	r.owners.NextBatch()
	r.putLocked(e, now)
	r.markChanged()
}
