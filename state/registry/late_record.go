// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"time"

	"pinerun.example/pinerun/protocol"
)

// lateRecord is a record that looks like one of a life that is over, and until when that is
// believed.
type lateRecord struct {
	endpoint protocol.Endpoint
	till     time.Time
}

// noteLate notes a record that looks like one of a life that is over. A living process writes
// over it at its next heartbeat. One that stands for longer is of a process whose clock was set
// back, or the later start that was told was not that of this endpoint.
func (r *Registry) noteLate(e protocol.Endpoint, now time.Time) {
	if r.late == nil {
		r.late = make(map[string]lateRecord)
	}
	l, there := r.late[e.ID]
	if !there || l.endpoint.Incarnation != e.Incarnation {
		l.till = now.Add(ProbeGrace)
	}
	l.endpoint = e
	r.late[e.ID] = l
}

// keepLate forgets the late records that are not in a list.
func (r *Registry) keepLate(list []protocol.Endpoint) {
	if len(r.late) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	maps.DeleteFunc(r.late, func(id string, _ lateRecord) bool { return !listed[id] })
}

// believeLate believes the late records that have stood for long enough. While the platform does
// not answer nobody can write over them.
func (r *Registry) believeLate(now time.Time) {
	if r.unsettled(now) {
		return
	}
	for id, l := range r.late {
		if now.Before(l.till) {
			continue
		}
		delete(r.late, id)
		delete(r.endpoints, id)
		r.occupants.NextBatch()
		r.occupants.Forget(id)
		r.put(l.endpoint, now)
		r.restart(id, now)
		r.anew = append(r.anew, l.endpoint)
		r.changed()
	}
}
