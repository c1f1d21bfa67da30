// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// checkEvery is the pause between two questions to an endpoint of which it is not clear
	// whether it has ended.
	checkEvery = 50 * time.Millisecond
	// portQuiet is how long a connection to a plain service must stay open to show that a
	// process has it: a port that is only held for one is reset at once.
	portQuiet = 20 * time.Millisecond
)

// endChecks finds out whether endpoints have ended whose answers broke off, one check at a time
// for each. A port that takes connections is no proof that its endpoint lives: it may be
// passed on, or held by the host while the process starts again.
type endChecks struct {
	forwarder *Forwarder

	mutex sync.Mutex
	open  map[string]*endCheck // by the endpoint's name
}

// endCheck finds out whether a life of an endpoint has ended.
type endCheck struct {
	checks *endChecks
	runner *fleet.Runner
	life   protocol.Lifetime
	engine bool
	sentAt time.Time // when what broke was sent there, by the time of day
	till   time.Time // guarded by the mutex of checks, as again is
	again  bool      // more broke there since the last question
}

// begin sees to it that an attempt's endpoint is asked after what broke there.
func (c *endChecks) begin(a *attempt, engine bool, now time.Time) {
	r, life := a.endpoint, a.life
	c.forwarder.Quarantine.Doubt(r.Name(), life, now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if k := c.open[r.Name()]; k != nil && k.life == life {
		k.till, k.again = now.Add(quarantine.DoubtFor), true
		return
	}
	if c.open == nil {
		c.open = make(map[string]*endCheck)
	}
	k := &endCheck{
		checks: c, runner: r, life: life, engine: engine,
		sentAt: time.Now().Add(-now.Sub(a.sentAt)), till: now.Add(quarantine.DoubtFor),
	}
	c.open[r.Name()] = k
	go k.run()
}

// goesOn reports whether a check asks again, and forgets it otherwise.
func (c *endChecks) goesOn(k *endCheck, s quarantine.Ending, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Before(k.till) && s != quarantine.EndOver && (s == quarantine.EndUnclear || k.again) {
		k.again = false
		return true
	}
	if c.open[k.runner.Name()] == k {
		delete(c.open, k.runner.Name())
	}
	return false
}

func (k *endCheck) run() {
	f := k.checks.forwarder
	pause := time.NewTicker(checkEvery)
	defer pause.Stop()
	begun, before := clock.Now(), quarantine.EndOver // what is clear at once is not logged
	for {
		asked := clock.Now()
		s := k.ask()
		if s != before && (s == quarantine.EndUnclear || before == quarantine.EndUnclear) {
			f.log(event.EndInDoubt, slog.String("endpoint", k.runner.Name()), slog.Int64("lifetime", int64(k.life)),
				slog.String("state", s.String()), slog.Int64("after_ms", clock.Since(begun).Milliseconds()))
		}
		before = s
		switch s {
		case quarantine.EndOver:
			f.Quarantine.Ended(k.runner.Name(), k.life, asked)
		case quarantine.EndAnswers, quarantine.EndLives:
			f.Quarantine.Lives(k.runner.Name(), k.life, s == quarantine.EndLives, asked)
		case quarantine.EndUnclear:
			f.Quarantine.Unclear(k.runner.Name(), k.life)
		}
		if !k.checks.goesOn(k, s, clock.Now()) {
			return
		}
		select {
		case <-pause.C:
		case <-f.done.Done():
			return
		}
	}
}

// ask asks the endpoint once.
func (k *endCheck) ask() quarantine.Ending {
	if !k.engine {
		return k.connect()
	}
	f := k.checks.forwarder
	asked := clock.Now()
	report, err := f.report(k.runner)
	switch {
	case err != nil:
		return k.missed(err, asked)
	default:
		return quarantine.EndingOf(k.life, report.Lifetime, k.sentAt)
	}
}

// connect connects to an endpoint that makes no reports.
func (k *endCheck) connect() quarantine.Ending {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	asked := clock.Now()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.runner.Spec().Address)
	if err != nil {
		return k.missed(err, asked)
	}
	defer func() { _ = c.Close() }() // nothing was asked on it
	if err := c.SetReadDeadline(time.Now().Add(portQuiet)); err != nil {
		return quarantine.EndUnclear // it is closed already
	}
	if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return quarantine.EndAnswers
	}
	return quarantine.EndUnclear
}

// missed takes a question without an answer: its port refuses connections, or it is not clear.
func (k *endCheck) missed(cause error, asked time.Time) quarantine.Ending {
	k.checks.forwarder.met(k.runner, cause, asked, clock.Now())
	if sign, _ := signOf(cause); sign == protocol.LossRefused {
		return quarantine.EndOver
	}
	return quarantine.EndUnclear
}
