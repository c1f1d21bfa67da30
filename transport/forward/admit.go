// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
)

const (
	// unconfirmedRetryAfter is the Retry-After of an entry that can't reach the platform.
	unconfirmedRetryAfter = 300 * time.Millisecond
	// confirmationWait is how long a request waits for the confirmation of the routing table, if it
	// would be refused otherwise and the platform is not known to be down. A call to a healthy
	// platform takes some milliseconds.
	confirmationWait = unconfirmedRetryAfter
	// unconfirmedAfter is the age of the routing table's confirmation from which an unknown route
	// or key is answered with a Retry-After instead of as unknown: the table may have changed. It
	// is slightly longer than a watch takes.
	unconfirmedAfter = 4 * time.Second
)

// admit finds the route, the team and the deadline, and reads the body.
func (x *exchange) admit() *protocol.Refusal {
	f := x.forwarder
	x.terms = f.Headers.ParseRequest(x.request.Header, x.begun)
	if f.stop.refusing.Load() {
		return protocol.Refuse(protocol.Stopping, "this entry is stopping").WithRetryAt(x.begun)
	}
	refusal := x.match()
	if refusal != nil && refusal.Kind() == protocol.PlatformDown && x.awaitConfirmation() {
		refusal = x.match()
	}
	if refusal != nil {
		return refusal
	}
	x.deadline = x.route.Timeout(x.begun)
	if !x.terms.Deadline.IsZero() && x.terms.Deadline.Before(x.deadline) {
		x.deadline = x.terms.Deadline
	}
	x.service = x.table.Service(routing.PickService(x.route, rand.Float64()))
	return x.readBody(x.table.CallerLimits().BodyBytes)
}

// match finds the route and the team in the table in force.
func (x *exchange) match() *protocol.Refusal {
	f := x.forwarder
	inForce := f.Routing.InForce()
	table := inForce.Table()
	if table == nil || !f.Registry.HasList() {
		return protocol.Refuse(protocol.NoConfiguration, "no routing table was read yet").WithRetryAt(x.begun.Add(unconfirmedRetryAfter))
	}
	x.table = table
	if limit := table.CallerLimits().HeaderBytes; limit > 0 && headBytes(x.request) > limit {
		return protocol.Refuse(protocol.HeadTooLarge, "the head is longer than "+strconv.Itoa(limit)+" bytes")
	}
	unconfirmed := x.begun.Sub(inForce.ConfirmedAt()) > unconfirmedAfter
	target, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = table.Match(x.request.Host, target)
	if x.route == nil {
		if unconfirmed {
			return protocol.Refuse(protocol.PlatformDown, "the route is unknown, but the table may be old").WithRetryAt(x.begun.Add(unconfirmedRetryAfter))
		}
		return protocol.Refuse(protocol.UnknownService, "no route matches the host and path")
	}
	return x.admitTeam(inForce.ConfirmedAt(), unconfirmed)
}

// awaitConfirmation waits until the routing table is confirmed again, and reports whether it is. It does
// not wait while the platform is known not to answer. Otherwise the last confirmation is old because
// this entry was not run, or its VM was suspended: the next one is some milliseconds away, and a refusal
// would cost the caller a retry.
func (x *exchange) awaitConfirmation() bool {
	f := x.forwarder
	if f.PlatformFailedAt == nil {
		return false
	}
	if isConfirmed, waits := x.confirmation(); !waits {
		return isConfirmed
	}
	f.Counters.Add(metric.ConfirmationWaits, 1)
	t := time.NewTimer(confirmationWait)
	defer t.Stop()
	for {
		changed := f.Routing.Confirmed()
		if isConfirmed, waits := x.confirmation(); !waits {
			return isConfirmed
		}
		select {
		case <-changed:
		case <-t.C:
			return false
		case <-x.request.Context().Done():
			return false
		}
	}
}

// confirmation reports whether the routing table is confirmed, and if not, whether it is worth waiting
// for.
func (x *exchange) confirmation() (isConfirmed, waits bool) {
	confirmedAt := x.forwarder.Routing.ConfirmedAt()
	if x.begun.Sub(confirmedAt) <= unconfirmedAfter {
		return true, false
	}
	return false, !x.forwarder.PlatformFailedAt().After(confirmedAt)
}

// headBytes returns the length of a request's head as far as net/http exposes it: the request line
// and a line for each header.
func headBytes(r *http.Request) int {
	const lineEnd, separators = 2, 2
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + lineEnd
	n += len("Host: ") + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + separators + len(v) + lineEnd
		}
	}
	return n + lineEnd
}

// admitTeam finds the team of the caller's key. It accepts a key only if the platform has confirmed
// the table recently enough that the key is not withdrawn.
func (x *exchange) admitTeam(confirmedAt time.Time, unconfirmed bool) *protocol.Refusal {
	if !x.table.RequiresKey() || x.route.Public {
		return nil
	}
	f := x.forwarder
	if x.begun.After(f.KeysTrustedUntil(confirmedAt)) {
		return protocol.Refuse(protocol.PlatformDown, "keys can't be confirmed").WithRetryAt(x.begun.Add(unconfirmedRetryAfter))
	}
	team := x.table.Team(x.terms.Key)
	if team == nil {
		if unconfirmed {
			return protocol.Refuse(protocol.PlatformDown, "the key is unknown, but the table may be old").WithRetryAt(x.begun.Add(unconfirmedRetryAfter))
		}
		return protocol.Refuse(protocol.WrongKey, "the key is not known")
	}
	x.team = team
	return nil
}
