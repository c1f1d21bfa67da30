// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// outageGrace is how long endpoints that vanish right after an outage of the platform are
// kept. Their records expire while the endpoints cannot renew them. A live endpoint is back
// in the list within two seconds of the platform's return; the rest is for the change to
// reach the entry.
const outageGrace = 1500 * time.Millisecond

// OutageCause says from what an outage of the platform was concluded. It appears in the log.
type OutageCause string

// These are the causes: a call of this entry failed, neither this entry nor a peer could confirm the
// platform's state for long, the platform came back from a copy, and this entry's VM was suspended.
const (
	OwnCallFailed     OutageCause = "own call failed"
	NobodyConfirmed   OutageCause = "no entry could confirm the state"
	PlatformRestored  OutageCause = "the platform was restored"
	EntryWasSuspended OutageCause = "this VM was suspended"
)

// outage is when the platform last failed to answer, and from what that was concluded.
type outage struct {
	at    time.Time
	cause OutageCause
}

// KeptEndpoint is an endpoint that is used although its record vanished.
type KeptEndpoint struct {
	id    string
	cause OutageCause
	until time.Time
}

// ID returns the endpoint's ID.
func (k KeptEndpoint) ID() string { return k.id }

// Cause returns the cause of the outage that excuses the missing record.
func (k KeptEndpoint) Cause() OutageCause { return k.cause }

// Until returns until when the endpoint is kept without a record.
func (k KeptEndpoint) Until() time.Time { return k.until }

// MarkOutage notes that the platform did not answer this entry at the given time.
func (r *Registry) MarkOutage(at time.Time) { r.MarkOutageBy(OwnCallFailed, at) }

// MarkOutageBy notes that the platform was away at the given time, for a cause.
func (r *Registry) MarkOutageBy(cause OutageCause, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if at.After(r.outage.at) {
		r.outage = outage{at: at, cause: cause}
	}
}

// TakeKept returns the endpoints that vanished and are kept, since the last call.
func (r *Registry) TakeKept() []KeptEndpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := r.kept
	r.kept = nil
	return kept
}

// keepVanished decides whether a vanished endpoint is kept for now, and keeps it. An endpoint
// that announced that it leaves is not kept.
func (r *Registry) keepVanished(e protocol.Endpoint, now time.Time) bool {
	if e.Leaving || !r.inOutageGrace(now) {
		return false
	}
	if r.vanished == nil {
		r.vanished = make(map[string]time.Time)
	}
	if _, ok := r.vanished[e.ID]; !ok {
		until := now.Add(outageGrace)
		r.vanished[e.ID] = until
		r.kept = append(r.kept, KeptEndpoint{id: e.ID, cause: r.outage.cause, until: until})
	}
	r.endpoints[e.ID] = e
	return true
}

// inOutageGrace reports whether the platform failed to answer within the last outageGrace.
func (r *Registry) inOutageGrace(now time.Time) bool {
	return !r.outage.at.IsZero() && now.Sub(r.outage.at) <= outageGrace
}
