// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/transport/tunnel"
)

const (
	// linkCheckAfter is how long nothing must have been received from an endpoint for the path to it to
	// be checked.
	linkCheckAfter = 400 * time.Millisecond
	// linkCheckInterval is the least time between two checks of the path to one endpoint.
	linkCheckInterval = time.Second
	// linkProbeTimeout bounds the wait for an endpoint's sign of life. Endpoints answer within a few
	// milliseconds.
	linkProbeTimeout = 200 * time.Millisecond
	// maxLinkChecks bounds the checks that run at once.
	maxLinkChecks = 8
)

// Prober asks an endpoint for a sign of life.
type Prober interface {
	// Probe returns nil if the endpoint at an address answers on a new connection that dial makes. It
	// is asked at the health path of its service, or for its report if there is none.
	Probe(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address, healthPath string) error
	// ProbeMisdirected returns nil if the endpoint at an address answers a request for another endpoint, which
	// it does not run, on a new connection that dial makes.
	ProbeMisdirected(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string) error
}

// linkChecks finds out whether an endpoint is at fault or the path of this entry to it. An endpoint that
// answers another entry's connection while it doesn't answer one of this entry is sound.
type linkChecks struct {
	forwarder *Forwarder
	throttle  queryThrottle
	running   atomic.Int64
}

// begin checks the path to an endpoint, unless that is known to be cut or was checked a moment ago.
func (l *linkChecks) begin(r *fleet.Runner, now time.Time) {
	f := l.forwarder
	if f == nil || !f.asksPeers() || f.Links.Blocked(r.Spec().Address) || !l.throttle.allow(r.Name(), linkCheckInterval, now) {
		return
	}
	if l.running.Add(1) > maxLinkChecks {
		l.running.Add(-1)
		return
	}
	go (&linkCheck{checks: l, runner: r}).run()
}

// beginOthers checks the paths to some other endpoints of a service, after one was found cut: requests to them would
// hang until they are checked one by one.
func (l *linkChecks) beginOthers(r *fleet.Runner, now time.Time) {
	f := l.forwarder
	begun := 0
	for _, other := range f.Registry.View().Runners() {
		if begun == maxLinkChecks {
			return
		}
		if other != r && f.serviceOf(other) == f.serviceOf(r) {
			l.begin(other, now)
			begun++
		}
	}
}

// blocked reports whether the path of this entry to an endpoint is cut.
func (f *Forwarder) blocked(r *fleet.Runner) bool {
	return f.Links != nil && f.Links.Blocked(r.Spec().Address)
}

// asksPeers reports whether there are other entries that can tell whether an endpoint is at fault.
func (f *Forwarder) asksPeers() bool { return f.Links != nil && f.Prober != nil && f.Links.HasPeers() }

// linkCheck is one check of the path to an endpoint.
type linkCheck struct {
	checks *linkChecks
	runner *fleet.Runner
}

func (c *linkCheck) run() {
	defer c.checks.running.Add(-1)
	f, address := c.checks.forwarder, c.runner.Spec().Address
	begun := clock.Now()
	switch err := f.probe(c.runner, f.Links.DialDirect); {
	case errors.Is(err, errProbeNotAllowed):
	case err != nil:
		if f.probe(c.runner, f.Links.DialManyPeers) == nil {
			f.Links.RecordUnreachable(address, begun)
			c.checks.beginOthers(c.runner, clock.Now())
		}
	default:
		c.runner.Reached(clock.Now())
		f.Links.RecordReached(address, begun)
	}
}

// errProbeNotAllowed says that an endpoint takes no probe now.
var errProbeNotAllowed = errors.New("the endpoint keeps requests away")

// probe asks an endpoint for a sign of life over a new connection.
func (f *Forwarder) probe(r *fleet.Runner, dial func(ctx context.Context, address string) (net.Conn, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), linkProbeTimeout)
	defer cancel()
	s := f.serviceOf(r)
	switch {
	case s == nil:
		return errProbeNotAllowed
	case s.Engine != nil:
		return f.Prober.Probe(ctx, dial, r.Spec().Address, "")
	case !f.PassProbe(r.Name(), clock.Now()):
		return errProbeNotAllowed
	case s.HealthPath == "":
		return f.Prober.ProbeMisdirected(ctx, dial, r.Spec().Address)
	default:
		return f.Prober.Probe(ctx, dial, r.Spec().Address, s.HealthPath)
	}
}

// probeConnect returns nil if the endpoint accepts a connection and keeps it open.
func probeConnect(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string) error {
	c, err := dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // nothing was sent on it
	if err := c.SetReadDeadline(time.Now().Add(portProbeTime)); err != nil {
		return err
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Join(errClosedAtOnce, err)
	}
	return nil
}

// errClosedAtOnce says that an endpoint closed a connection on which nothing was sent.
var errClosedAtOnce = errors.New("the connection was closed at once")

// serviceOf returns the service of a runner, nil if the table does not have it.
func (f *Forwarder) serviceOf(r *fleet.Runner) *protocol.RoutedService {
	table := f.Routing.Current()
	if table == nil {
		return nil
	}
	return table.Service(registry.ServiceOf(r.Spec().Model))
}

// silenceCheck finds out whether an endpoint is silent to another entry as well, before it is reported.
type silenceCheck struct {
	forwarder *Forwarder
	runner    *fleet.Runner
}

func (c *silenceCheck) run() {
	f := c.forwarder
	var failed *tunnel.DialError
	err := f.probe(c.runner, f.Links.DialManyPeers)
	switch {
	case err == nil:
		f.linkChecks.begin(c.runner, clock.Now())
	case errors.Is(err, errProbeNotAllowed):
	case errors.As(err, &failed) && failed.Verdict() != tunnel.EndpointFailed:
		// no other entry could tell
	default:
		f.reportObservation(c.runner, protocol.LossSilent, clock.Now())
	}
}

// maintainLinks probes endpoints whose paths are cut by connections of this entry.
func (f *Forwarder) maintainLinks(now time.Time) {
	if f.Links == nil || !f.Links.Disturbed() {
		return
	}
	for _, address := range f.Links.TakeProbes(now) {
		go (&pathProbe{forwarder: f, address: address}).run()
	}
}

// pathProbe finds out whether a path that was cut works again.
type pathProbe struct {
	forwarder *Forwarder
	address   string
}

func (p *pathProbe) run() {
	begun := clock.Now()
	answered := p.answered()
	p.forwarder.Links.RecordProbe(p.address, answered, begun)
}

// answered reports whether the endpoint answers. While the entry is cut off from all of them, one that can only
// accept connections proves nothing if others could answer.
func (p *pathProbe) answered() bool {
	f := p.forwarder
	r := f.runnerAt(p.address)
	if r == nil {
		mayTell := !f.Links.CutOff() || len(f.Registry.View().Runners()) == 0
		return mayTell && probeAddress(f, p.address) == nil
	}
	return f.probe(r, f.Links.DialDirect) == nil
}

// probeAddress connects to an endpoint that holds no layers, and so can't be asked for anything else.
func probeAddress(f *Forwarder, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), linkProbeTimeout)
	defer cancel()
	return probeConnect(ctx, f.Links.DialDirect, address)
}

// runnerAt returns the runner at an address, nil if there is none.
func (f *Forwarder) runnerAt(address string) *fleet.Runner {
	for _, r := range f.Registry.View().Runners() {
		if r.Spec().Address == address {
			return r
		}
	}
	return nil
}

// sweepLinks forgets the paths to endpoints that do not exist any more.
func (f *Forwarder) sweepLinks() {
	if f.Links == nil || !f.Links.Disturbed() {
		return
	}
	known := make(map[string]bool)
	for _, e := range f.Registry.Endpoints() {
		known[e.Address] = true
	}
	f.Links.Sweep(func(address string) bool { return known[address] })
}

// LinksChanged is called when a path of this entry to an endpoint was found cut or works again. Failures on
// the path before say nothing about the endpoint, and requests that wait on a connection over it may
// have to be sent another way.
func (f *Forwarder) LinksChanged() {
	for _, r := range f.Registry.View().Runners() {
		if f.Links.Blocked(r.Spec().Address) {
			f.pool.closeIdle(r.Name())
			r.MarkWorking()
		}
	}
	f.losses.Broadcast()
	f.queues.dispatchFirst(clock.Now())
}

// isDirect reports whether the attempt has a connection of this entry, and not through another one.
func (a *attempt) isDirect() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.conn != nil && a.conn.peer == ""
}

// unheard reports whether an attempt has a connection of this entry to an endpoint from which nothing was
// received on any such connection for a while.
func (a *attempt) unheard(now time.Time) bool {
	since := now.Add(-linkCheckAfter)
	return !a.sentAt.After(since) && !a.endpoint.ReachedAt().After(since) && a.isDirect()
}

// reachedSince reports whether this entry has reached an attempt's endpoint since it sent the request, so
// that a missing response is not the fault of its own path. If that is not known, the path is checked.
func (x *exchange) reachedSince(a *attempt, now time.Time) bool {
	if !x.forwarder.asksPeers() || a.endpoint.ReachedAt().After(a.sentAt) {
		return true
	}
	if a.isDirect() {
		x.forwarder.linkChecks.begin(a.endpoint, now)
	}
	return false
}

// isDeaf reports whether an attempt waits on a connection of this entry to an endpoint that only others
// reach.
func (x *exchange) isDeaf(a *attempt, now time.Time) bool {
	return x.forwarder.blocked(a.endpoint) && a.unheard(now)
}

// checkLinks checks the paths to the endpoints of open attempts from which nothing is received.
func (x *exchange) checkLinks(now time.Time) {
	if x.forwarder.Links == nil || now.Before(x.linkCheckAt) {
		return
	}
	x.linkCheckAt = now.Add(linkCheckInterval)
	for _, a := range slices.Clone(x.open) {
		switch {
		case x.isDeaf(a, now):
			x.recoverAttempt(a, nil, now)
			return
		case a.unheard(now):
			x.forwarder.linkChecks.begin(a.endpoint, now)
		}
	}
}

// linkCheckDue returns when to check the paths of open attempts, if they are to be checked before a time.
func (x *exchange) linkCheckDue(before time.Time) time.Time {
	if x.forwarder.Links != nil && len(x.open) > 0 && x.linkCheckAt.Before(before) {
		return x.linkCheckAt
	}
	return before
}
