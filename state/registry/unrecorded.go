// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
)

// unrecordedTTL is how long an endpoint that answered, but has no record, is remembered. An
// endpoint that is cut off from the platform may need some seconds to record itself.
const unrecordedTTL = 10 * time.Second

// unrecorded is an endpoint without a record, and until when it is remembered.
type unrecorded struct {
	endpoint protocol.Endpoint
	until    time.Time
}

// Unrecorded returns the endpoints that answered at the address of another endpoint's
// record and have no record yet. They are assigned layers early, so that they hold these
// layers by the time their records appear, but they serve no requests before that. Their
// service, accelerator and other properties are assumed to be those of the other record,
// and are checked before an order.
func (r *Registry) Unrecorded(now time.Time) []protocol.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sweepUnrecorded(now)
	var endpoints []protocol.Endpoint
	for _, u := range r.unrecorded {
		endpoints = append(endpoints, u.endpoint)
	}
	slices.SortFunc(endpoints, func(a, b protocol.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return endpoints
}

// sweepUnrecorded drops the endpoints that have not answered for unrecordedTTL.
func (r *Registry) sweepUnrecorded(now time.Time) {
	maps.DeleteFunc(r.unrecorded, func(_ string, u unrecorded) bool { return now.After(u.until) })
}

// addUnrecorded notes an endpoint that answered at the address of another endpoint's record.
func (r *Registry) addUnrecorded(id string, record protocol.Endpoint, at time.Time) {
	if _, ok := r.endpoints[id]; ok {
		return
	}
	if r.unrecorded == nil {
		r.unrecorded = make(map[string]unrecorded)
	}
	r.unrecorded[id] = unrecorded{until: at.Add(unrecordedTTL), endpoint: protocol.Endpoint{
		ID: id, Service: record.Service, Address: record.Address, DataCenter: record.DataCenter, Accelerator: record.Accelerator, Model: record.Model,
	}}
}
