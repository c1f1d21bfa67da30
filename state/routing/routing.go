// SPDX-License-Identifier: Apache-2.0

// Package routing is the routing table that an entry believes to be in force.
//
// A Table is immutable and answers lookups without allocation. A Store holds the
// highest version seen, never steps back, and remembers until when the platform
// is known to have confirmed it:
//
//	t, err := routing.Build(decoded)
//	if err == nil && store.Offer(t) { ... } // in force from here on
//	route := store.Current().Match("fares.example", "/taps/12")
package routing

import (
	"fmt"
	"strings"

	"pinerun.example/pinerun/protocol"
)

// InvalidTableError is the error for a routing table that can't be taken.
type InvalidTableError struct {
	version uint64
	what    string
}

// Error names the version, what is wrong and the remedy.
func (i *InvalidTableError) Error() string {
	return fmt.Sprintf("routing version %d %s; accept a higher version without that", i.version, i.what)
}

// Table is one accepted routing table.
type Table struct {
	content  protocol.Routing
	hosts    map[string][]*protocol.Route
	keys     map[string]*protocol.RoutedTeam
	services map[string]*protocol.RoutedService
}

// Build checks a routing table and returns it ready for lookups.
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
		return &InvalidTableError{version: t.content.Version, what: "has a route " + r.Name + " without a service"}
	}
	for _, g := range r.Targets {
		if t.services[g.Service] == nil {
			return &InvalidTableError{version: t.content.Version, what: "has a route " + r.Name + " to the unknown service " + g.Service}
		}
	}
	t.hosts[r.Host] = append(t.hosts[r.Host], r)
	return nil
}

// Version returns the table's version.
func (t *Table) Version() uint64 { return t.content.Version }

// CallerLimits returns the limits on callers.
func (t *Table) CallerLimits() *protocol.CallerLimits { return &t.content.Callers }

// Services returns every service. The caller must not change the slice.
func (t *Table) Services() []protocol.RoutedService { return t.content.Services }

// Match returns the route with the longest prefix of the path among those of the
// host, or nil.
func (t *Table) Match(host, path string) *protocol.Route {
	var best *protocol.Route
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// RequiresKey reports whether requests have to carry a key.
func (t *Table) RequiresKey() bool { return len(t.content.Teams) > 0 }

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *protocol.RoutedTeam { return t.keys[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *protocol.RoutedService { return t.services[name] }

// PickService returns the service of a route for a draw between 0 and 1, by weight.
func PickService(r *protocol.Route, draw float64) string {
	var sum float64
	for _, g := range r.Targets {
		sum += g.Weight
	}
	rest := draw * sum
	for _, g := range r.Targets {
		if rest -= g.Weight; rest < 0 && g.Weight > 0 {
			return g.Service
		}
	}
	return r.Targets[0].Service
}
