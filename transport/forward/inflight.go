// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/pressure"
	"pinerun.example/pinerun/state/registry"
)

// inflightBytes tracks the bytes of large requests at each endpoint, by ID. Requests up to
// smallBytes are bounded by their number. The zero value is empty.
type inflightBytes struct {
	mutex      sync.Mutex
	byEndpoint map[string]*pressure.Inflight
}

// fits reports whether an endpoint has capacity for a request of n bytes.
func (f *inflightBytes) fits(endpoint string, n int) bool {
	if n <= smallBytes {
		return true
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	inflight := f.byEndpoint[endpoint]
	return inflight == nil || inflight.Admits(int64(n))
}

// sent records a request of n bytes.
func (f *inflightBytes) sent(endpoint string, n int) {
	if n <= smallBytes {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.byEndpoint == nil {
		f.byEndpoint = make(map[string]*pressure.Inflight)
	}
	if f.byEndpoint[endpoint] == nil {
		f.byEndpoint[endpoint] = &pressure.Inflight{}
	}
	f.byEndpoint[endpoint].Sent(int64(n))
}

// ended records that a request of n bytes is no longer at an endpoint.
func (f *inflightBytes) ended(endpoint string, n int, disconnected bool) {
	if n <= smallBytes {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if inflight := f.byEndpoint[endpoint]; inflight != nil {
		inflight.Finished(int64(n), disconnected)
	}
}

// sweep removes endpoints that no longer exist.
func (f *inflightBytes) sweep(endpoints *registry.Registry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.byEndpoint) == 0 {
		return
	}
	v := endpoints.View()
	for id, inflight := range f.byEndpoint {
		if inflight.Bytes() == 0 && v.Runner(id) == nil {
			delete(f.byEndpoint, id)
		}
	}
}

// fits reports whether the first engine of a path has capacity for the bytes of the request.
func (x *exchange) fits(p *path.Path) bool {
	return x.forwarder.inflight.fits(p.Runner(0).Name(), len(x.body))
}
