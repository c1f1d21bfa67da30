// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/state/fleet"
)

// mayReach reports whether the route allows an attempt over a path. The route bounds the number of
// distinct endpoints; an endpoint that already received the request counts once.
func (x *exchange) mayReach(p *path.Path) bool {
	if !x.mayRetry() {
		return false
	}
	return x.mayReachMore() || slices.Contains(x.reached, p.Runner(0))
}

// mayRetry reports whether the route allows any further attempt.
func (x *exchange) mayRetry() bool { return x.spentAttempts() < maxAttempts }

// spentAttempts returns how many attempts count towards maxAttempts. An engine that did not run the
// request has read none of its prompt, and gets it again only once it has capacity.
func (x *exchange) spentAttempts() int {
	spent := x.attempts - x.unsent
	if x.service.Engine != nil {
		spent -= x.notRun
	}
	return spent
}

// mayReachMore reports whether the route allows the request at an endpoint that it has not reached yet.
func (x *exchange) mayReachMore() bool { return len(x.reached) < x.route.MaxAttempts }

// admission returns the gate for the choice of a path, nil if it may lead over all endpoints.
func (x *exchange) admission(now time.Time) path.Gate {
	g := x.forwarder.gate(true, now)
	if x.service.Engine == nil || x.mayReachMore() {
		return g
	}
	return &reachedGate{next: g, reached: x.reached}
}

// reachedGate admits as the first engine of a path only those that a request has reached. Without it, a
// request that may reach no other would be offered the paths of others until its wait ends.
type reachedGate struct {
	next    path.Gate // nil admits all
	reached []*fleet.Runner
}

// Admits reports whether an engine may be on the path of the request.
func (g *reachedGate) Admits(r *fleet.Runner, at time.Time) bool {
	if r.Span().From == 0 && !slices.Contains(g.reached, r) {
		return false
	}
	return g.next == nil || g.next.Admits(r, at)
}

// setWants sets whether a choice among further endpoints wants the share of their rate limits that it
// lacks.
func (f *Forwarder) setWants(q *path.Query, wants bool) {
	next := f.gate(wants, q.Now)
	if g, ok := q.Gate.(*reachedGate); ok {
		g.next = next
		return
	}
	q.Gate = next
}
