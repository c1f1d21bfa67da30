// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
)

// maxGateTries is how many paths are tried for one attempt while other requests use up what the
// endpoints of the path take.
const maxGateTries = 3

// gate tells which endpoints take a request now, by what they say in their answers. The choice of a
// path asks it, and every attempt passes it.
type gate struct {
	forwarder *Forwarder
	wants     bool // whether the entry has a request for the endpoints that it asks about
}

// gate returns the gate for a choice among endpoints, nil if all take requests.
func (f *Forwarder) gate(wants bool) path.Gate {
	if f.RateLimits == nil || f.RateLimits.Empty() {
		return nil
	}
	return &gate{forwarder: f, wants: wants}
}

// Admits reports whether an endpoint takes a request now.
func (g *gate) Admits(r *fleet.Runner, now time.Time) bool {
	limits := g.forwarder.RateLimits
	if limits.Limit(protocol.EndpointProcess{ID: r.Name()}) == 0 {
		return true
	}
	target := g.forwarder.target(r)
	if g.wants {
		limits.Want(target, now)
	}
	return !limits.NextAt(target, now).After(now)
}

// target returns the incarnation of an endpoint that a request is sent to.
func (f *Forwarder) target(r *fleet.Runner) protocol.EndpointProcess {
	return protocol.EndpointProcess{ID: r.Name(), Incarnation: f.Registry.Incarnation(r.Name())}
}

// pass passes the gate of every stage of a path that has none yet, and reports whether all are open.
// Before is the path that the request takes now, nil for none.
func (f *Forwarder) pass(p, before *path.Path, now time.Time) bool {
	if f.RateLimits == nil || f.RateLimits.Empty() {
		return true
	}
	var targets []protocol.EndpointProcess
	for i := range p.Len() {
		if r := p.Runner(i); before == nil || !before.Contains(r) {
			targets = append(targets, f.target(r))
		}
	}
	return f.RateLimits.TakeAll(targets, now)
}

// PassProbe passes the gate of an endpoint for a probe that costs it as much as a request, and
// reports whether it is open.
func (f *Forwarder) PassProbe(endpoint string, now time.Time) bool {
	if f.RateLimits == nil || f.RateLimits.Empty() {
		return true
	}
	return f.RateLimits.TakeAll([]protocol.EndpointProcess{{ID: endpoint, Incarnation: f.Registry.Incarnation(endpoint)}}, now)
}

// startOn starts an attempt over a path, or over the next that pick returns if other requests have
// just used up what an endpoint of the path takes. It reports whether it did.
func (x *exchange) startOn(p path.Path, pick func(now time.Time) (path.Path, bool), now time.Time) bool {
	for range maxGateTries {
		if x.startAttempt(&p) {
			return true
		}
		var found bool
		if p, found = pick(now); !found || !x.mayReach(&p) {
			return false
		}
	}
	return false
}

// noEndpoint returns the refusal of a request for a plain service that no endpoint takes now: because
// all of them keep requests away for a time, or because there is none.
func (x *exchange) noEndpoint(now time.Time) *protocol.Refusal {
	if at, closed := x.forwarder.nextAdmission(x.service, now); closed {
		return noCapacity(at)
	}
	return noPath()
}

// retryAt returns when a caller may try again a request that no endpoint took.
func (x *exchange) retryAt(now time.Time) time.Time {
	if x.service.Engine == nil {
		if at, closed := x.forwarder.nextAdmission(x.service, now); closed {
			return at
		}
	}
	return now.Add(capacityRetryAfter)
}

// nextAdmission returns when the first endpoint of a plain service takes a request, and whether none
// takes one now.
func (f *Forwarder) nextAdmission(s *protocol.RoutedService, now time.Time) (at time.Time, closed bool) {
	m := f.Registry.View().Model(registry.ModelName(s.Name, ""))
	if m == nil || f.gate(false) == nil {
		return time.Time{}, false
	}
	groups := m.Groups()
	for i := range groups {
		for _, r := range groups[i].All() {
			next := f.RateLimits.NextAt(f.target(r), now)
			switch {
			case r.Leaving():
			case !next.After(now):
				return time.Time{}, false
			case at.IsZero() || next.Before(at):
				at = next
			}
		}
	}
	return at, !at.IsZero()
}
