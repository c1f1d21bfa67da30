// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/crashcheck"
)

// portProbeTime is how long a connection to a plain service must stay open to prove that a process
// accepted it: a port that is only reserved for a process resets connections at once.
const portProbeTime = 20 * time.Millisecond

// startCrashProbe starts probing an attempt's endpoint after the attempt's work was aborted there.
func (f *Forwarder) startCrashProbe(a *attempt, engine bool, now time.Time) {
	f.Quarantine.RecordUnresolved(a.endpoint.Name(), a.incarnation, now)
	f.crashProbes.Begin(&crashcheck.Suspect{
		Endpoint: a.endpoint.Name(), Incarnation: a.incarnation, Recorder: f.Quarantine, Logger: f.Logger,
		Prober: &crashProbe{forwarder: f, runner: a.endpoint, incarnation: a.incarnation, engine: engine, sentAt: time.Now().Add(-now.Sub(a.sentAt))},
	}, now)
}

// crashProbe queries an endpoint to find out whether one of its incarnations has crashed.
type crashProbe struct {
	forwarder   *Forwarder
	runner      *fleet.Runner
	incarnation protocol.Incarnation
	engine      bool
	sentAt      time.Time // when the aborted work was sent, in wall-clock time
}

// Probe queries the endpoint once.
func (p *crashProbe) Probe() quarantine.ProbeResult {
	if !p.engine {
		return p.probePort()
	}
	queriedAt := clock.Now()
	report, err := p.forwarder.queryReport(p.runner)
	switch {
	case err != nil:
		return p.classifyError(err, queriedAt)
	default:
		return quarantine.ClassifyAnswer(p.incarnation, report.Incarnation, p.sentAt)
	}
}

// probePort connects to an endpoint that makes no reports.
func (p *crashProbe) probePort() quarantine.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	queriedAt := clock.Now()
	switch err := probeConnect(ctx, p.forwarder.connect, p.runner.Spec().Address); {
	case err == nil:
		return quarantine.ProbeAnswered
	case errors.Is(err, errClosedAtOnce):
		return quarantine.ProbeInconclusive
	default:
		return p.classifyError(err, queriedAt)
	}
}

// classifyError classifies a failed query: a refused connection means that the incarnation is over, unless
// this entry may be cut off from it. Any other error leaves it unclear.
func (p *crashProbe) classifyError(cause error, queriedAt time.Time) quarantine.ProbeResult {
	p.forwarder.reportError(p.runner, cause, queriedAt, clock.Now())
	if observation, _ := observationOf(cause); observation == protocol.LossRefused && p.forwarder.isEndpointsFault(cause) {
		return quarantine.ProbeCrashed
	}
	return quarantine.ProbeInconclusive
}
