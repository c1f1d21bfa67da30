// SPDX-License-Identifier: Apache-2.0

package front

import (
	"time"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// fleetStatus returns what this entry believes of the endpoints.
func (f *Front) fleetStatus(now time.Time) protocol.FleetStatus {
	s := protocol.FleetStatus{Entry: f.Settings.Name, DataCenter: f.Settings.DataCenter}
	engines := make(map[string]bool)
	if t := f.routing.Current(); t != nil {
		s.Routing = t.Version()
		for _, v := range t.Services() {
			engines[v.Name] = v.Engine != nil
		}
	}
	view := f.roster.View()
	for _, e := range f.roster.Endpoints() {
		isEngine, routed := engines[e.Service]
		s.Endpoints = append(s.Endpoints, endpointStatus(&e, view.Runner(e.ID), isEngine, routed, now))
	}
	return s
}

// endpointStatus describes an endpoint, with what was measured of it if it can serve.
func endpointStatus(e *protocol.Endpoint, r *fleet.Runner, isEngine, routed bool, now time.Time) protocol.EndpointStatus {
	s := protocol.EndpointStatus{
		ID: e.ID, Service: e.Service, DataCenter: e.DataCenter, Address: e.Address, Accelerator: e.Accelerator,
		From: e.Layers.From, To: e.Layers.To, StartedMS: int64(e.Lifetime), State: protocol.EndpointServes,
	}
	if r != nil {
		s.Fill = r.Fill(now, 0)
		s.Open = r.Outstanding()
	}
	switch {
	case !routed:
		s.State = protocol.EndpointUnknown
	case e.Leaving:
		s.State = protocol.EndpointLeaves
	case isEngine && e.Layers.Layers() <= 0:
		s.State = protocol.EndpointEmpty
	case r == nil:
	case r.Lost(now):
		s.State = protocol.EndpointLost
	case !r.Usable(now):
		s.State = protocol.EndpointRests
	}
	return s
}
