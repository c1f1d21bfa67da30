// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"slices"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// UnusableEndpoint is an endpoint whose record is readable, but does not fit the known
// services and data centers. It is excluded as long as that is so.
type UnusableEndpoint struct {
	endpoint protocol.Endpoint
	fault    protocol.RecordFault
}

// Endpoint returns the endpoint.
func (u UnusableEndpoint) Endpoint() protocol.Endpoint { return u.endpoint }

// Fault returns what does not fit.
func (u UnusableEndpoint) Fault() protocol.RecordFault { return u.fault }

// Unusable returns the endpoints that are excluded because their records do not fit. The
// caller must not change the slice.
func (r *Registry) Unusable() []UnusableEndpoint {
	r.refresh()
	if list := r.unusable.Load(); list != nil {
		return *list
	}
	return nil
}

// Discard drops an endpoint at once, even during an outage: its record exists, but does not
// describe a usable endpoint. It reports whether the endpoint was known.
func (r *Registry) Discard(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.lateRecords, id)
	if _, ok := r.endpoints[id]; !ok {
		return false
	}
	delete(r.endpoints, id)
	delete(r.vanished, id)
	r.forget(id, clock.Now())
	r.markChanged()
	return true
}

// selectUsable splits the endpoints into those to use and those that don't fit.
func (r *Registry) selectUsable() ([]protocol.Endpoint, []UnusableEndpoint) {
	services := make(map[string]*protocol.RoutedService, len(r.services))
	for i := range r.services {
		services[r.services[i].Name] = &r.services[i]
	}
	list := make([]protocol.Endpoint, 0, len(r.endpoints))
	var unusable []UnusableEndpoint
	for _, e := range r.endpoints {
		if fault := r.recordFault(services, e); fault != "" {
			unusable = append(unusable, UnusableEndpoint{endpoint: e, fault: fault})
			continue
		}
		if r.updateUse(e) {
			list = append(list, r.withHeldLayers(e))
		}
	}
	return list, unusable
}

// recordFault returns what does not fit in an endpoint's record. Records may arrive before
// the routing table that names their services, so services are not checked before the first
// table.
func (r *Registry) recordFault(services map[string]*protocol.RoutedService, e protocol.Endpoint) protocol.RecordFault {
	if len(r.DataCenters) > 0 && e.DataCenter != r.Entry.DataCenter && !slices.Contains(r.DataCenters, e.DataCenter) {
		return protocol.RecordDataCenterUnknown
	}
	if len(services) == 0 {
		return ""
	}
	s := services[e.Service]
	if s == nil {
		return protocol.RecordServiceUnknown
	}
	if s.Engine == nil {
		if e.Layers.Layers() > 0 {
			return protocol.RecordLayersOutside
		}
		return ""
	}
	if e.Layers.From < 0 || e.Layers.To > s.Engine.Layers || e.Layers.Layers() < 0 {
		return protocol.RecordLayersOutside
	}
	_, known := s.Engine.Accelerator(e.Accelerator)
	if e.Accelerator != "" && len(s.Engine.Accelerators) > 0 && !known {
		return protocol.RecordAcceleratorUnknown
	}
	return ""
}
