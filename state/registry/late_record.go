// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"time"

	"pinerun.example/pinerun/protocol"
)

// lateRecord is a record that seems to be of an earlier incarnation, and how long it is
// ignored for that reason.
type lateRecord struct {
	endpoint protocol.Endpoint
	until    time.Time
	restored bool // it may be of the copy from which the platform came back
}

// addLateRecord notes a record that seems to be of an earlier incarnation. A running
// process overwrites such a record at its next heartbeat. If the record remains, either the
// clock of the process was set back, or the later incarnation that was reported was not
// that of this endpoint.
func (r *Registry) addLateRecord(e protocol.Endpoint, now time.Time) {
	if r.lateRecords == nil {
		r.lateRecords = make(map[string]lateRecord)
	}
	l, ok := r.lateRecords[e.ID]
	if !ok || l.restored || l.endpoint.Incarnation != e.Incarnation {
		l.until = now.Add(ProbeGrace)
	}
	l.endpoint, l.restored = e, false
	r.lateRecords[e.ID] = l
}

// believeLeaving takes from a record that is ignored for now that its endpoint leaves. The record may be the
// endpoint's own after all, and then requests would go on to it until it ends. If it is not, the
// endpoint gets no new ones until it overwrites the record with its next heartbeat.
func (r *Registry) believeLeaving(e protocol.Endpoint) UpdateResult {
	known, ok := r.endpoints[e.ID]
	if !e.Leaving || !ok || known.Leaving {
		return Stale
	}
	known.Leaving = true
	r.endpoints[e.ID] = known
	return StaleLeaving
}

// pruneLateRecords drops the late records that are not in a list.
func (r *Registry) pruneLateRecords(list []protocol.Endpoint) {
	if len(r.lateRecords) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	maps.DeleteFunc(r.lateRecords, func(id string, _ lateRecord) bool { return !listed[id] })
}

// acceptLateRecords applies the late records that have remained for ProbeGrace. It waits while
// the platform does not answer, because no process can overwrite its record then.
func (r *Registry) acceptLateRecords(now time.Time) {
	if r.inOutageGrace(now) {
		return
	}
	for id, l := range r.lateRecords {
		if now.Before(l.until) {
			continue
		}
		delete(r.lateRecords, id)
		if l.restored {
			r.acceptRestored(l.endpoint, now)
			continue
		}
		delete(r.endpoints, id)
		r.owners.NextBatch()
		r.owners.Forget(id)
		r.putLocked(l.endpoint, now)
		r.resetState(id, now)
		r.restarted = append(r.restarted, l.endpoint)
		r.markChanged()
	}
}
