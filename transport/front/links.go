// SPDX-License-Identifier: Apache-2.0

package front

import (
	"math/rand/v2"
	"slices"
	"sync"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/transport/tunnel"
)

// tunnelShare is the fraction of the connections allowed for callers that other entries may have as
// tunnels.
const tunnelShare = 0.5

// assembleLinks connects everything that connects to endpoints, here and for other entries.
func (f *Front) assembleLinks(local fleet.Entry) {
	f.addresses.registry = &f.endpoints
	f.links = tunnel.Dialer{
		Self:         local.Name,
		DataCenter:   local.DataCenter,
		Connect:      f.Dependencies.DialEndpoint,
		DataCenterOf: f.addresses.dataCenterOf,
		Addresses:    f.addresses.shuffled,
		LateSince:    f.scheduling.LateSince,
		OnChange:     f.forwarder.LinksChanged,
		Counters:     f.Counters,
		Logger:       f.Logger,
	}
	f.tunnels = tunnel.Server{
		Dialer:       &f.links,
		Key:          func() string { return f.source.Record().Key },
		Serving:      func() bool { return !f.stopping.Load() && f.endpoints.HasList() },
		Knows:        f.addresses.knows,
		MemoryBudget: &f.memoryBudget,
		Limit:        int(tunnelShare * float64(f.Settings.MaxConnections())),
		Counters:     f.Counters,
		Logger:       f.Logger,
	}
	f.forwarder.Links = &f.links
	if engines := f.Dependencies.Engines; engines != nil {
		f.forwarder.Prober = engines
		engines.DialWith(f.links.Dial)
	}
}

// addressIndex finds endpoints by their addresses. It is made anew when the registry has changed.
type addressIndex struct {
	registry *registry.Registry

	mutex     sync.Mutex
	valid     bool
	revision  uint64
	addresses []string
	endpoints map[string]protocol.Endpoint // by address
}

// refresh makes the index if the registry has changed. The mutex is held.
func (x *addressIndex) refresh() {
	revision := x.registry.Revision()
	if x.valid && x.revision == revision {
		return
	}
	x.valid, x.revision = true, revision
	x.addresses, x.endpoints = nil, make(map[string]protocol.Endpoint)
	for _, e := range x.registry.Endpoints() {
		if _, known := x.endpoints[e.Address]; !known {
			x.addresses = append(x.addresses, e.Address)
		}
		x.endpoints[e.Address] = e
	}
}

// at returns the endpoint at an address, and whether there is one.
func (x *addressIndex) at(address string) (protocol.Endpoint, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.refresh()
	e, known := x.endpoints[address]
	return e, known
}

func (x *addressIndex) dataCenterOf(address string) string {
	e, _ := x.at(address)
	return e.DataCenter
}

// shuffled returns all addresses in random order.
func (x *addressIndex) shuffled() []string {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.refresh()
	all := slices.Clone(x.addresses)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// knows reports whether there is an endpoint at an address.
func (x *addressIndex) knows(address string) bool {
	_, known := x.at(address)
	return known
}
