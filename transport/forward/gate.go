// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
)

// maxGateTries is how many paths are tried for one attempt while other requests use up what the
// endpoints of the path take.
const maxGateTries = 3

// returnSpread is over how long callers return who were refused until the same time.
const returnSpread = 250 * time.Millisecond

// gate tells which endpoints take a request, by what they say in their answers: they limit the rate,
// ask for backoff, or leave. The choice of a path asks it, and every attempt passes it.
type gate struct {
	forwarder *Forwarder
	now       time.Time
	wants     bool            // whether the entry has a request for the endpoints that it asks about
	tracked   map[string]bool // IDs of the endpoints that may keep requests away
}

// gate returns the gate for a choice among endpoints, nil if all take requests.
func (f *Forwarder) gate(wants bool, now time.Time) path.Gate {
	if f.gateOpen() {
		return nil
	}
	g := &gate{forwarder: f, now: now, wants: wants, tracked: make(map[string]bool)}
	f.backoffs.addTracked(g.tracked)
	if f.RateLimits != nil {
		f.RateLimits.AddTracked(g.tracked)
	}
	return g
}

// gateOpen reports whether no endpoint keeps requests away.
func (f *Forwarder) gateOpen() bool {
	return (f.RateLimits == nil || f.RateLimits.Empty()) && f.backoffs.empty()
}

// Admits reports whether an endpoint takes a request at a time, now or later.
func (g *gate) Admits(r *fleet.Runner, at time.Time) bool {
	if !g.tracked[r.Name()] {
		return true
	}
	f := g.forwarder
	e := f.process(r)
	if g.wants && f.RateLimits != nil {
		f.RateLimits.Want(e, g.now)
	}
	next, ever := f.nextAt(e, g.now)
	return ever && !next.After(at)
}

// nextAt returns when an endpoint takes the next request of this entry, now or earlier if at once, and
// false if it takes none any more.
func (f *Forwarder) nextAt(e protocol.EndpointProcess, now time.Time) (at time.Time, ever bool) {
	at, ever = f.backoffs.nextAt(e, now)
	if f.RateLimits != nil && ever {
		if limited := f.RateLimits.NextAt(e, now); limited.After(at) {
			at = limited
		}
	}
	return at, ever
}

// process returns the incarnation of an endpoint that a request is sent to.
func (f *Forwarder) process(r *fleet.Runner) protocol.EndpointProcess {
	return protocol.EndpointProcess{ID: r.Name(), Incarnation: f.Registry.Incarnation(r.Name())}
}

// pass passes the gate of every stage of a path that has none yet, and reports whether all are open.
// Before is the path that the request takes now, nil for none.
func (f *Forwarder) pass(p, before *path.Path, now time.Time) bool {
	if f.gateOpen() {
		return true
	}
	var endpoints []protocol.EndpointProcess
	for i := range p.Len() {
		if r := p.Runner(i); before == nil || !before.Contains(r) {
			endpoints = append(endpoints, f.process(r))
		}
	}
	return f.take(endpoints, now)
}

// PassProbe passes the gate of an endpoint for a probe that costs it as much as a request, and
// reports whether it is open.
func (f *Forwarder) PassProbe(endpoint string, now time.Time) bool {
	return f.gateOpen() || f.take([]protocol.EndpointProcess{{ID: endpoint, Incarnation: f.Registry.Incarnation(endpoint)}}, now)
}

// take takes one request from what each endpoint takes, if all take one now.
func (f *Forwarder) take(endpoints []protocol.EndpointProcess, now time.Time) bool {
	if !f.backoffs.takeAll(endpoints, now) {
		return false
	}
	if f.RateLimits == nil || f.RateLimits.TakeAll(endpoints, now) {
		return true
	}
	f.Counters.Add(metric.LimitWaits, 1)
	return false
}

// maintainGate lends the shares of rate limits that this entry does not use, and forgets what
// endpoints said that do not exist any more.
func (f *Forwarder) maintainGate(now time.Time) {
	if f.gateOpen() {
		return
	}
	view := f.Registry.View()
	exists := func(endpoint string) bool { return view.Runner(endpoint) != nil }
	f.backoffs.sweep(exists, now)
	if f.RateLimits != nil {
		f.RateLimits.Maintain(exists, now)
	}
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
		return noCapacity(x.spread(at))
	}
	return noPath()
}

// retryAt returns when a caller may try again a request that no endpoint took.
func (x *exchange) retryAt(now time.Time) time.Time {
	if x.service.Engine == nil {
		if at, closed := x.forwarder.nextAdmission(x.service, now); closed {
			return x.spread(at)
		}
	}
	return now.Add(capacityRetryAfter)
}

// spread returns a time soon after the given one, so that callers who were refused for the same reason
// do not all return at once.
func (x *exchange) spread(at time.Time) time.Time {
	return at.Add(time.Duration(x.rng.Int64N(int64(returnSpread))))
}

// nextAdmission returns when the first endpoint of a plain service takes a request, and whether none
// takes one now.
func (f *Forwarder) nextAdmission(s *protocol.RoutedService, now time.Time) (at time.Time, closed bool) {
	m := f.Registry.View().Model(registry.ModelName(s.Name, ""))
	if m == nil || f.gateOpen() {
		return time.Time{}, false
	}
	groups := m.Groups()
	for i := range groups {
		for _, r := range groups[i].All() {
			next, ever := f.nextAt(f.process(r), now)
			switch {
			case r.Leaving() || !ever:
			case !next.After(now):
				return time.Time{}, false
			case at.IsZero() || next.Before(at):
				at = next
			}
		}
	}
	return at, !at.IsZero()
}

// reopensAt returns when a path of engines opens, if the gate leaves none open until a time though
// there is one without it. Waiting until then would be useless.
func (x *exchange) reopensAt(until, now time.Time) (at time.Time, closed bool) {
	f := x.forwarder
	if f.gateOpen() || x.pathExists(f.gate(false, now), until) || !x.pathExists(nil, now) {
		return time.Time{}, false
	}
	var openings []time.Time
	for _, r := range f.Registry.View().Runners() {
		if next, ever := f.nextAt(f.process(r), now); ever && next.After(until) {
			openings = append(openings, next)
		}
	}
	slices.SortFunc(openings, time.Time.Compare)
	for _, opening := range openings {
		if x.pathExists(f.gate(false, now), opening) {
			return opening, true
		}
	}
	return now.Add(noPathRetryAfter), true // only endpoints that leave have the layers
}

// pathExists reports whether there is a path for the request through endpoints that a gate admits at a
// time.
func (x *exchange) pathExists(g path.Gate, at time.Time) bool {
	q := x.pathQuery(at)
	q.Gate = g
	view := x.forwarder.Registry.View()
	for _, dataCenter := range view.EngineDataCenters(x.service.Name) {
		if _, found := candidateIn(view, x.service.Name, dataCenter, &q); found {
			return true
		}
	}
	return false
}
