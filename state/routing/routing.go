// SPDX-License-Identifier: Apache-2.0

// Package routing holds the routing table that an entry considers to be in force.
//
// A Table is immutable and answers lookups without allocation. A Store holds the highest
// version seen and never goes back to a lower one. It also records when the platform last
// confirmed that version:
//
//	t, err := routing.Build(decoded)
//	if err == nil && store.Offer(t) { ... } // t is now in force
//	route := store.Current().Match("fares.example", "/taps/12")
package routing

import (
	"fmt"
	"strings"

	"pinerun.example/pinerun/protocol"
)

// InvalidTableError is the error for an invalid routing table.
type InvalidTableError struct {
	version uint64
	problem string
}

// Error names the version, the fault and the remedy.
func (e *InvalidTableError) Error() string {
	return fmt.Sprintf("routing version %d %s; accept a higher version without that", e.version, e.problem)
}

// Table is one accepted routing table. It is immutable.
type Table struct {
	content  protocol.Routing
	hosts    map[string][]*protocol.Route
	keys     map[string]*protocol.RoutedTeam
	services map[string]*protocol.RoutedService
}

// Build checks a routing table and prepares it for lookups.
func Build(r protocol.Routing) (*Table, error) {
	t := &Table{
		content:  r,
		hosts:    make(map[string][]*protocol.Route),
		keys:     make(map[string]*protocol.RoutedTeam),
		services: make(map[string]*protocol.RoutedService, len(r.Services)),
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Routes {
		if err := t.addRoute(&r.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range r.Teams {
		for _, k := range r.Teams[i].Keys {
			t.keys[k] = &r.Teams[i]
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *protocol.Route) error {
	if len(r.Targets) == 0 {
		return &InvalidTableError{version: t.content.Version, problem: "has a route " + r.Name + " without a service"}
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return &InvalidTableError{version: t.content.Version, problem: "has a route " + r.Name + " to the unknown service " + target.Service}
		}
	}
	t.hosts[r.Host] = append(t.hosts[r.Host], r)
	return nil
}

// Version returns the table's version.
func (t *Table) Version() uint64 { return t.content.Version }

// CallerLimits returns the limits on callers.
func (t *Table) CallerLimits() *protocol.CallerLimits { return &t.content.Callers }

// Services returns all services. The caller must not change the slice.
func (t *Table) Services() []protocol.RoutedService { return t.content.Services }

// Match returns the route of the host with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *protocol.Route {
	var best *protocol.Route
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// RequiresKey reports whether requests must carry an API key.
func (t *Table) RequiresKey() bool { return len(t.content.Teams) > 0 }

// Team returns the team with the API key, or nil.
func (t *Table) Team(key string) *protocol.RoutedTeam { return t.keys[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *protocol.RoutedService { return t.services[name] }

// PickService returns a service of a route, chosen by weight for a random number in [0, 1).
func PickService(r *protocol.Route, random float64) string {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	remaining := random * sum
	for _, target := range r.Targets {
		if remaining -= target.Weight; remaining < 0 && target.Weight > 0 {
			return target.Service
		}
	}
	return r.Targets[0].Service
}
