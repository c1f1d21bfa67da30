// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// otherRoute is a route to a service of its own, which some versions do not name, and addedRoute one that some versions lack.
const (
	otherRoute = "other"
	addedRoute = "added"
)

// tableState is what differs between the versions of the routing table.
type tableState struct {
	idleMS, headerMS, timeoutMS float64
	headerBytes, bodyBytes      int
	spareKey                    bool // whether the spare key is in force
	otherService                bool // whether the service of otherRoute is named, and its route there
	addedRoute                  bool
	movedRoutes                 bool // whether the routes lead to the other service
	notResumable                bool
}

// usualTable is the state of the first version.
var usualTable = tableState{idleMS: 400, timeoutMS: 8000, bodyBytes: 1000, spareKey: true, otherService: true, addedRoute: true}

// versionSeries writes one version of the routing table after the other.
type versionSeries struct {
	testbed       *testbed
	rng           *rand.Rand
	keepsTimeouts bool // so that only a request's deadline ends what an endpoint delays

	mutex    sync.Mutex
	state    tableState
	before   tableState // the one that the next version may take back
	timeouts map[int]time.Duration
	arrival  chan struct{} // closed when the next version is written
}

// newVersionSeries returns a series that has written its first version.
func newVersionSeries(tb *testbed, seed uint64, keepsTimeouts bool) *versionSeries {
	v := &versionSeries{testbed: tb, keepsTimeouts: keepsTimeouts, rng: rand.New(rand.NewPCG(seed, 50)), state: usualTable, before: usualTable, timeouts: map[int]time.Duration{}, arrival: make(chan struct{})}
	v.put(usualTable)
	return v
}

// run writes versions until a channel is closed.
func (v *versionSeries) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+v.rng.IntN(450)) * time.Millisecond):
		}
		if v.rng.IntN(4) == 0 {
			v.put(v.before)
			continue
		}
		v.put(v.drawChange())
	}
}

// drawChange returns the state in force with a random change. Limits that refuse most requests last for one version.
func (v *versionSeries) drawChange() tableState {
	s := v.state
	s.headerBytes, s.bodyBytes = usualTable.headerBytes, usualTable.bodyBytes
	switch v.rng.IntN(9) {
	case 0, 1:
		s.idleMS = []float64{60, 150, 400, 900, 15000}[v.rng.IntN(5)]
	case 2:
		s.headerMS = []float64{0, 100, 2000}[v.rng.IntN(3)]
	case 3:
		s.headerBytes = []int{0, 4000, 250}[v.rng.IntN(3)]
		s.bodyBytes = []int{1000, 10}[v.rng.IntN(2)]
	case 4:
		if n := v.rng.IntN(3); !v.keepsTimeouts {
			s.timeoutMS = []float64{8000, 1000, 120}[n]
		}
	case 5:
		s.spareKey = !s.spareKey
	case 6:
		s.otherService = !s.otherService
	case 7:
		s.addedRoute = !s.addedRoute
	default:
		s.movedRoutes, s.notResumable = !s.movedRoutes, v.rng.IntN(2) == 0
	}
	return s
}

// put writes a newer version with a state.
func (v *versionSeries) put(s tableState) {
	tb := v.testbed
	tb.mutex.Lock()
	tb.tableVersion += 3
	version := tb.tableVersion
	tb.mutex.Unlock()
	v.mutex.Lock()
	v.before, v.state = v.state, s
	v.timeouts[version] = time.Duration(s.timeoutMS) * time.Millisecond
	close(v.arrival)
	v.arrival = make(chan struct{})
	v.mutex.Unlock()
	tb.store.Put("config", "main", s.table(version))
}

// table returns the routing table of a state.
func (s tableState) table(version int) map[string]any {
	keys := []string{permanentKey}
	if s.spareKey {
		keys = append(keys, spareKey)
	}
	t := platformtest.RoutingTable(version, keys...)
	routes := t["routes"].([]any)
	services := t["services"].([]any)
	added := routeLike(routes[0], addedRoute, "plain")
	if s.movedRoutes && s.otherService {
		routes[0], routes[1] = routeLike(routes[0], nonIdempotent, otherRoute), routeLike(routes[1], idempotent, otherRoute)
	}
	if s.otherService {
		routes = append(routes, routeLike(routes[0], otherRoute, otherRoute))
		services = append(services, map[string]any{"name": otherRoute})
	}
	if s.addedRoute {
		routes = append(routes, added)
	}
	for _, r := range routes {
		route := r.(map[string]any)
		route["timeout_ms"], route["resumable"] = s.timeoutMS, !s.notResumable
	}
	t["routes"], t["services"] = routes, services
	t["limits"] = map[string]any{"max_body_bytes": s.bodyBytes, "idle_timeout_ms": s.idleMS, "header_timeout_ms": s.headerMS, "max_header_bytes": s.headerBytes}
	return t
}

// routeLike returns a copy of a route under another path, to another service.
func routeLike(route any, path, service string) map[string]any {
	r := maps.Clone(route.(map[string]any))
	r["name"], r["path_prefix"], r["service"] = path, "/"+path+"/", service
	return r
}

// idleLimit returns the idle limit of the last version.
func (v *versionSeries) idleLimit() time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return time.Duration(v.state.idleMS) * time.Millisecond
}

// timeout returns the timeout of the routes of a version.
func (v *versionSeries) timeout(version int) time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.timeouts[version]
}

// changed returns a channel that is closed when the next version is written.
func (v *versionSeries) changed() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.arrival
}
