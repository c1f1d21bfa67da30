// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"slices"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// UnusableEndpoint is an endpoint whose record can be read, but does not fit the services and
// data centers that there are. It is left out for as long as it does not.
type UnusableEndpoint struct {
	endpoint protocol.Endpoint
	fault    protocol.RecordFault
}

// Endpoint returns the endpoint.
func (m UnusableEndpoint) Endpoint() protocol.Endpoint { return m.endpoint }

// Fault returns what does not fit.
func (m UnusableEndpoint) Fault() protocol.RecordFault { return m.fault }

// Unusable returns the endpoints that are left out. The caller must not change the slice.
func (r *Registry) Unusable() []UnusableEndpoint {
	r.derive()
	if m := r.misfits.Load(); m != nil {
		return *m
	}
	return nil
}

// Discard takes an endpoint out at once, also in an outage: its record is there, and
// names no endpoint to use. It reports whether the endpoint was known.
func (r *Registry) Discard(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.late, id)
	if _, there := r.endpoints[id]; !there {
		return false
	}
	delete(r.endpoints, id)
	delete(r.vanished, id)
	r.forget(id, clock.Now())
	r.changed()
	return true
}

// usable divides the endpoints into those to use and those that don't fit.
func (r *Registry) usable() ([]protocol.Endpoint, []UnusableEndpoint) {
	services := make(map[string]*protocol.RoutedService, len(r.services))
	for i := range r.services {
		services[r.services[i].Name] = &r.services[i]
	}
	list := make([]protocol.Endpoint, 0, len(r.endpoints))
	var misfits []UnusableEndpoint
	for _, e := range r.endpoints {
		if fault := r.fault(services, e); fault != "" {
			misfits = append(misfits, UnusableEndpoint{endpoint: e, fault: fault})
			continue
		}
		if r.inUse(e) {
			list = append(list, r.believed(e))
		}
	}
	return list, misfits
}

// fault returns what of an endpoint does not fit. Records may come before the table that
// names their services: nothing is judged by services before the first one.
func (r *Registry) fault(services map[string]*protocol.RoutedService, e protocol.Endpoint) protocol.RecordFault {
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
