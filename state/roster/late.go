// SPDX-License-Identifier: Apache-2.0

package roster

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

// late notes a record that looks like one of a life that is over. A process that lives writes
// over it within a heartbeat. What stands for longer is of a process whose clock was set back,
// or the later start was none of its own.
func (r *Roster) late(e protocol.Endpoint, now time.Time) {
	if r.lates == nil {
		r.lates = make(map[string]lateRecord)
	}
	l, there := r.lates[e.ID]
	if !there || l.endpoint.Lifetime != e.Lifetime {
		l.till = now.Add(Patience)
	}
	l.endpoint = e
	r.lates[e.ID] = l
}

// keepLate forgets the records that are not in a list.
func (r *Roster) keepLate(list []protocol.Endpoint) {
	if len(r.lates) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	maps.DeleteFunc(r.lates, func(id string, _ lateRecord) bool { return !listed[id] })
}

// believeLate believes the records that have stood for long enough. While the platform does
// not answer nobody can write over them.
func (r *Roster) believeLate(now time.Time) {
	if r.unsettled(now) {
		return
	}
	for id, l := range r.lates {
		if now.Before(l.till) {
			continue
		}
		delete(r.lates, id)
		delete(r.endpoints, id)
		r.occupants.Next()
		r.occupants.Forget(id)
		r.put(l.endpoint, now)
		r.restart(id, now)
		r.anew = append(r.anew, l.endpoint)
		r.changed()
	}
}
