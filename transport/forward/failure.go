// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/tunnel"
)

// reportError reports to the other entries what a failed connection or query to a runner, begun at
// the time since, says about it. Without such reports each entry finds out for itself: one lost
// engine of 85 caused 120 failed connections at 47 entries in 3.7 s (logs of 73 entries over 48 s).
//
// It is reported only if another entry finds the runner at fault too: this one may be cut off, and all others
// would believe it.
func (f *Forwarder) reportError(r *fleet.Runner, cause error, since, now time.Time) {
	observation, certain := observationOf(cause)
	if observation == 0 {
		return
	}
	var failed *tunnel.DialError
	switch dialed := errors.As(cause, &failed); {
	case dialed && failed.Verdict() == tunnel.EndpointFailed:
	case dialed && failed.Verdict() == tunnel.NoPath:
		return
	case !dialed && f.asksPeers():
		go (&silenceCheck{forwarder: f, runner: r}).run()
		return
	case f.asksPeers() || !certain:
		if !f.reachesOthers(r, since) {
			return // this entry, or its network path to the runner, may be at fault
		}
	}
	f.reportObservation(r, observation, now)
}

// observationOf returns what an error says about the endpoint, 0 for nothing, and whether that is
// certain regardless of what else this entry has heard.
func observationOf(cause error) (observation protocol.LossObservation, certain bool) {
	var n net.Error
	switch {
	case errors.Is(cause, syscall.ECONNREFUSED):
		return protocol.LossRefused, true
	case errors.Is(cause, context.DeadlineExceeded), errors.As(cause, &n) && n.Timeout():
		return protocol.LossSilent, false
	default:
		return 0, false
	}
}

// isEndpointsFault reports whether another entry found the endpoint of a failed connection at fault too, or
// there is none that could tell.
func (f *Forwarder) isEndpointsFault(cause error) bool {
	var failed *tunnel.DialError
	if !errors.As(cause, &failed) || !f.asksPeers() {
		return true
	}
	return failed.Verdict() == tunnel.EndpointFailed
}

// reachesNone reports whether a connection failed because neither this entry nor any other that was asked
// reaches endpoints.
func reachesNone(cause error) bool {
	var failed *tunnel.DialError
	return errors.As(cause, &failed) && failed.Verdict() == tunnel.NoPath
}

// reachesOthers reports whether this entry has heard from other endpoints since a time, but not
// from this one.
func (f *Forwarder) reachesOthers(r *fleet.Runner, since time.Time) bool {
	return f.lastHeard.Load() > since.UnixNano() && !r.HeardAt().After(since)
}

// recordWorking records that something was received from a runner, and reports that to the other
// entries if the runner was considered lost.
func (f *Forwarder) recordWorking(r *fleet.Runner, now time.Time) {
	f.lastHeard.Store(now.UnixNano())
	r.Heard(now)
	r.MarkWorking()
	switch {
	case r.ClearLostIfHeard(now):
		f.reportObservation(r, protocol.LossAnswered, now)
	case r.Lost(now):
		f.silentRunners.heardFrom(r, now)
	}
}

func (f *Forwarder) reportObservation(r *fleet.Runner, observation protocol.LossObservation, now time.Time) {
	if observation != protocol.LossAnswered {
		f.logLossObserved(r, observation, now)
	}
	if f.ReportLoss != nil {
		f.ReportLoss(r.Name(), observation, now)
	}
}

// reachedWindow is how recently an endpoint must have been reached to count as reached in a log line.
const reachedWindow = time.Second

// logLossObserved logs a failure at a runner together with what this entry reached besides.
func (f *Forwarder) logLossObserved(r *fleet.Runner, observation protocol.LossObservation, now time.Time) {
	reached, sinceMS := 0, int64(-1)
	for _, other := range f.Registry.View().Runners() {
		at := other.ReachedAt()
		if at.IsZero() {
			continue
		}
		if ms := now.Sub(at).Milliseconds(); sinceMS < 0 || ms < sinceMS {
			sinceMS = ms
		}
		if other != r && now.Sub(at) <= reachedWindow {
			reached++
		}
	}
	f.log(event.LossObserved, slog.String("runner", r.Name()), slog.String("sign", observation.String()),
		slog.Int("reached", reached), slog.Int64("reached_ms", sinceMS))
}

// ApplyLossReport applies the change that a loss report or an address owner report makes, and
// reports whether the director may need to act on it.
func (f *Forwarder) ApplyLossReport(report loss.Report, change loss.Change) bool {
	if _, ok := change.(loss.AddressOwnerObserved); ok {
		return f.applyOwner(&report)
	}
	r := f.Registry.View().Runner(report.Endpoint())
	if r == nil {
		return false
	}
	now := clock.Now()
	switch v := change.(type) {
	case loss.Lost:
		r.MarkLost(v.At(), v.Until())
		if v.Refused() {
			r.MarkRefused()
		}
		f.Counters.CountEjection(metric.EjectedLost)
		f.losses.Broadcast()
		if report.Observation() == protocol.LossSilent {
			f.silentRunners.watch(r, now)
		}
	case loss.Suspected:
		r.Suspect(now.Add(suspectDuration))
	case loss.Recovered:
		r.ClearLost()
	default:
		return false
	}
	f.log(event.LossReported, slog.String("runner", r.Name()), slog.String("witness", report.Observer()),
		slog.String("sign", report.Observation().String()), slog.Int64("age_ms", now.Sub(report.At()).Milliseconds()),
		slog.Bool("lost", r.Lost(now)))
	return true
}
