// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
)

// RecordUse says whether a record is in use, and which endpoint owns its address.
type RecordUse struct {
	endpoint string
	address  string
	owner    string
	used     bool
}

// Endpoint returns the ID in the record.
func (u RecordUse) Endpoint() string { return u.endpoint }

// Address returns the address in the record.
func (u RecordUse) Address() string { return u.address }

// Owner returns the ID of the endpoint that owns the address.
func (u RecordUse) Owner() string { return u.owner }

// Used reports whether the record is in use now.
func (u RecordUse) Used() bool { return u.used }

// updateUse reports whether an endpoint owns its address, and notes when that has changed.
func (r *Registry) updateUse(e protocol.Endpoint) bool {
	used := r.owners.InUse(e.ID)
	if used == r.unusedRecords[e.ID] {
		r.useChanges = append(r.useChanges, RecordUse{endpoint: e.ID, address: e.Address, owner: r.owners.Owner(e.ID), used: used})
		if r.unusedRecords == nil {
			r.unusedRecords = make(map[string]bool)
		}
		if used {
			delete(r.unusedRecords, e.ID)
		} else {
			r.unusedRecords[e.ID] = true
		}
	}
	return used
}

// TakeUseChanges returns the records that went out of use or came back into use since the
// last call.
func (r *Registry) TakeUseChanges() []RecordUse {
	r.refresh()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes := r.useChanges
	r.useChanges = nil
	return changes
}

// SupersededRecords returns the records that are out of use because another endpoint owns
// their address, in order of ID.
func (r *Registry) SupersededRecords() []RecordUse {
	r.refresh()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	records := make([]RecordUse, 0, len(r.unusedRecords))
	for id := range r.unusedRecords {
		if e, ok := r.endpoints[id]; ok {
			records = append(records, RecordUse{endpoint: id, address: e.Address, owner: r.owners.Owner(id)})
		}
	}
	slices.SortFunc(records, func(a, b RecordUse) int { return strings.Compare(a.endpoint, b.endpoint) })
	return records
}

// OwnerAnswered notes that the owner answered at the address of an endpoint's record. It
// reports whether that changes which record is in use.
func (r *Registry) OwnerAnswered(id, owner string, incarnation protocol.Incarnation, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.endpoints[id]
	if !ok {
		return false
	}
	if owner != id {
		incarnation = 0 // the incarnation is that of the endpoint that was addressed
		r.addUnrecorded(owner, e, at)
	}
	before := r.owners.Owner(id)
	r.owners.Answered(e.Address, owner, incarnation, at)
	if r.owners.Owner(id) == before {
		return false
	}
	r.markChanged()
	return true
}
