// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
)

// unrecordedFor is how long an endpoint that answered, but has no record, is remembered. One
// that is cut off from the platform may take some seconds to record itself.
const unrecordedFor = 10 * time.Second

// unrecorded is an endpoint without a record, until when it is believed in.
type unrecorded struct {
	endpoint protocol.Endpoint
	till     time.Time
}

// Unrecorded returns the endpoints that answered at the address of another one's record and have
// none yet. They are given layers, so that they hold them when their records come, but serve
// nothing before. Their service, accelerator and so on are guessed from the other's record, and
// are checked before an order.
func (r *Registry) Unrecorded(now time.Time) []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sweepUnrecorded(now)
	var all []protocol.Endpoint
	for _, u := range r.unrecorded {
		all = append(all, u.endpoint)
	}
	slices.SortFunc(all, func(a, b protocol.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// sweepUnrecorded forgets who has not answered for long.
func (r *Registry) sweepUnrecorded(now time.Time) {
	maps.DeleteFunc(r.unrecorded, func(_ string, u unrecorded) bool { return now.After(u.till) })
}

// noteUnrecorded notes an endpoint that answered at the address of another one's record.
func (r *Registry) noteUnrecorded(id string, in protocol.Endpoint, at time.Time) {
	if _, there := r.endpoints[id]; there {
		return
	}
	if r.unrecorded == nil {
		r.unrecorded = make(map[string]unrecorded)
	}
	r.unrecorded[id] = unrecorded{till: at.Add(unrecordedFor), endpoint: protocol.Endpoint{
		ID: id, Service: in.Service, Address: in.Address, DataCenter: in.DataCenter, Accelerator: in.Accelerator, Model: in.Model,
	}}
}
