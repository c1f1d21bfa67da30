// SPDX-License-Identifier: Apache-2.0

package front

import (
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// fleetStatus returns the state of the endpoints as this entry knows it.
func (f *Front) fleetStatus(now time.Time) protocol.FleetStatus {
	s := protocol.FleetStatus{Entry: f.Settings.Name, DataCenter: f.Settings.DataCenter}
	if t := f.routing.Current(); t != nil {
		s.Routing = t.Version()
	}
	view := f.endpoints.View()
	for _, e := range f.endpoints.Endpoints() {
		s.Endpoints = append(s.Endpoints, f.endpointStatus(&e, view.Runner(e.ID), now))
	}
	for _, u := range f.endpoints.Unusable() {
		e := u.Endpoint()
		status := statusFromRecord(&e)
		status.State, status.Reason = protocol.EndpointUnusable, u.Fault()
		s.Endpoints = append(s.Endpoints, status)
	}
	for _, record := range f.endpoints.SupersededRecords() {
		s.Endpoints = append(s.Endpoints, protocol.EndpointStatus{
			ID: record.Endpoint(), Address: record.Address(), AddressOwner: record.Owner(), State: protocol.EndpointSuperseded,
		})
	}
	s.Waiting = f.forwarder.QueueStatus(now)
	slices.SortFunc(s.Endpoints, func(a, b protocol.EndpointStatus) int { return strings.Compare(a.ID, b.ID) })
	return s
}

// statusFromRecord returns the status of an endpoint as its record describes it.
func statusFromRecord(e *protocol.Endpoint) protocol.EndpointStatus {
	return protocol.EndpointStatus{
		ID: e.ID, Service: e.Service, DataCenter: e.DataCenter, Address: e.Address, Accelerator: e.Accelerator,
		From: e.Layers.From, To: e.Layers.To, StartedMS: int64(e.Incarnation), State: protocol.EndpointServing,
	}
}

// endpointStatus returns the status of an endpoint, with the measured load if it can serve.
func (f *Front) endpointStatus(e *protocol.Endpoint, r *fleet.Runner, now time.Time) protocol.EndpointStatus {
	s := statusFromRecord(e)
	if span, ok := f.director.OrderedLayers(e.ID, now); ok {
		s.OrderedFrom, s.OrderedTo = span.From, span.To
	}
	if r != nil {
		s.Utilization = r.Utilization(now, 0)
		s.OpenLayerPasses = r.Outstanding()
		if at := r.ReachedAt(); !at.IsZero() {
			ms := now.Sub(at).Milliseconds()
			s.ReachedMS = &ms
		}
	}
	switch {
	case e.Leaving:
		s.State = protocol.EndpointLeaving
	case r == nil:
		s.State = protocol.EndpointEmpty
	case r.Lost(now):
		s.State = protocol.EndpointLost
	case !r.Usable(now):
		s.State = protocol.EndpointEjected
	case r.IsSlow(now):
		s.State = protocol.EndpointSlow
	}
	return s
}
