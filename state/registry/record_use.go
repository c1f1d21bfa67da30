// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
)

// RecordUse tells that a record went out of use, or came back into it.
type RecordUse struct {
	endpoint string
	address  string
	occupant string
	used     bool
}

// Endpoint returns the ID in the record.
func (n RecordUse) Endpoint() string { return n.endpoint }

// Address returns the address that the record names.
func (n RecordUse) Address() string { return n.address }

// Owner returns the ID of the endpoint that has the address.
func (n RecordUse) Owner() string { return n.occupant }

// Used reports whether the record is in use now.
func (n RecordUse) Used() bool { return n.used }

// inUse reports whether an endpoint has its address, and notes when that has changed.
func (r *Registry) inUse(e protocol.Endpoint) bool {
	used := r.occupants.InUse(e.ID)
	if used == r.unused[e.ID] {
		r.notices = append(r.notices, RecordUse{endpoint: e.ID, address: e.Address, occupant: r.occupants.Owner(e.ID), used: used})
		if r.unused == nil {
			r.unused = make(map[string]bool)
		}
		if used {
			delete(r.unused, e.ID)
		} else {
			r.unused[e.ID] = true
		}
	}
	return used
}

// TakeUseChanges returns which records went out of use or came back into it since the last call.
func (r *Registry) TakeUseChanges() []RecordUse {
	r.derive()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := r.notices
	r.notices = nil
	return all
}

// SupersededRecords returns the records out of use because another endpoint has their address, in
// order of ID.
func (r *Registry) SupersededRecords() []RecordUse {
	r.derive()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]RecordUse, 0, len(r.unused))
	for id := range r.unused {
		if e, there := r.endpoints[id]; there {
			all = append(all, RecordUse{endpoint: id, address: e.Address, occupant: r.occupants.Owner(id)})
		}
	}
	slices.SortFunc(all, func(a, b RecordUse) int { return strings.Compare(a.endpoint, b.endpoint) })
	return all
}

// OwnerAnswered notes that an endpoint, the occupant, answered at the address of an endpoint's
// record. It reports whether that changes which record is in use.
func (r *Registry) OwnerAnswered(id, occupant string, life protocol.Incarnation, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, there := r.endpoints[id]
	if !there {
		return false
	}
	if occupant != id {
		life = 0 // it is of the endpoint that was asked for
		r.noteUnrecorded(occupant, e, at)
	}
	before := r.occupants.Owner(id)
	r.occupants.Answered(e.Address, occupant, life, at)
	if r.occupants.Owner(id) == before {
		return false
	}
	r.changed()
	return true
}
