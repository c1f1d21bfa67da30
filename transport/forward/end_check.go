// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/crashcheck"
)

// portQuiet is how long a connection to a plain service must stay open to show that a process has
// it: a port that is only held for one is reset at once.
const portQuiet = 20 * time.Millisecond

// checkEnd sees to it that an attempt's endpoint is asked after what broke there.
func (f *Forwarder) checkEnd(a *attempt, engine bool, now time.Time) {
	f.Quarantine.RecordUnresolved(a.endpoint.Name(), a.life, now)
	f.endings.Begin(&crashcheck.Suspect{
		Endpoint: a.endpoint.Name(), Incarnation: a.life, Recorder: f.Quarantine, Logger: f.Logger,
		Prober: &endCheck{forwarder: f, runner: a.endpoint, life: a.life, engine: engine, sentAt: time.Now().Add(-now.Sub(a.sentAt))},
	}, now)
}

// endCheck asks an endpoint whether a life of it has ended.
type endCheck struct {
	forwarder *Forwarder
	runner    *fleet.Runner
	life      protocol.Incarnation
	engine    bool
	sentAt    time.Time // when what broke was sent there, by the time of day
}

// Probe asks the endpoint once.
func (k *endCheck) Probe() quarantine.ProbeResult {
	if !k.engine {
		return k.connect()
	}
	asked := clock.Now()
	report, err := k.forwarder.report(k.runner)
	switch {
	case err != nil:
		return k.missed(err, asked)
	default:
		return quarantine.ClassifyAnswer(k.life, report.Incarnation, k.sentAt)
	}
}

// connect connects to an endpoint that makes no reports.
func (k *endCheck) connect() quarantine.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	asked := clock.Now()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.runner.Spec().Address)
	if err != nil {
		return k.missed(err, asked)
	}
	defer func() { _ = c.Close() }() // nothing was asked on it
	if err := c.SetReadDeadline(time.Now().Add(portQuiet)); err != nil {
		return quarantine.ProbeInconclusive // it is closed already
	}
	if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return quarantine.ProbeAnswered
	}
	return quarantine.ProbeInconclusive
}

// missed takes a question without an answer: its port refuses connections, or it is not clear.
func (k *endCheck) missed(cause error, asked time.Time) quarantine.ProbeResult {
	k.forwarder.met(k.runner, cause, asked, clock.Now())
	if sign, _ := signOf(cause); sign == protocol.LossRefused {
		return quarantine.ProbeCrashed
	}
	return quarantine.ProbeInconclusive
}
