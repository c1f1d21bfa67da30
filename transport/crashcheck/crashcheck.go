// SPDX-License-Identifier: Apache-2.0

// Package crashcheck finds out whether lives of endpoints have ended whose answers broke off, by asking
// them again and again. A port that takes connections is no proof that its endpoint lives: it may be
// passed on, or held by the host while the process starts again.
//
//	checks.Begin(&ending.Case{Endpoint: name, Life: life, Asker: asker, Book: book}, now)
package crashcheck

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
)

// checkEvery is the pause between two questions to an endpoint of which it is not clear whether it
// has ended.
const checkEvery = 50 * time.Millisecond

// Recorder takes what turns out.
type Recorder interface {
	// ReportUnresolved is told that it is not clear yet whether a life of an endpoint has ended.
	ReportUnresolved(endpoint string, life protocol.Incarnation)
	// RecordCrash and Lives note what has turned out: Lives that an endpoint answered a question that
	// was asked at a time, in the same life as far as it told.
	RecordCrash(endpoint string, life protocol.Incarnation, at time.Time)
	RecordAnswer(endpoint string, life protocol.Incarnation, same bool, asked time.Time)
}

// Prober asks an endpoint once how it stands.
type Prober interface {
	Probe() quarantine.ProbeResult
}

// Suspect is a life of an endpoint that may have ended.
type Suspect struct {
	Endpoint    string
	Incarnation protocol.Incarnation
	Prober      Prober
	Recorder    Recorder
	Logger      *slog.Logger // nil for none
}

// Checker finds out about endpoints, one check at a time for each. The zero value has none under way.
type Checker struct {
	done  part.Done
	mutex sync.Mutex
	open  map[string]*check // by the endpoint's name
}

// Close ends every check.
func (c *Checker) Close() { c.done.Close() }

// Begin sees to it that an endpoint is asked after what broke there, for a while from now on.
func (c *Checker) Begin(k *Suspect, now time.Time) {
	till := now.Add(quarantine.UnresolvedTimeout)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if open := c.open[k.Endpoint]; open != nil && open.is.Incarnation == k.Incarnation {
		open.till, open.again = till, true
		return
	}
	if c.open == nil {
		c.open = make(map[string]*check)
	}
	begun := &check{checks: c, is: *k, till: till}
	c.open[k.Endpoint] = begun
	go begun.run()
}

// Open returns how many endpoints are asked.
func (c *Checker) Open() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

// goesOn reports whether a check asks again, and forgets it otherwise.
func (c *Checker) goesOn(k *check, found quarantine.ProbeResult, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Before(k.till) && found != quarantine.ProbeCrashed && (found == quarantine.ProbeInconclusive || k.again) {
		k.again = false
		return true
	}
	if c.open[k.is.Endpoint] == k {
		delete(c.open, k.is.Endpoint)
	}
	return false
}

// check finds out about one case.
type check struct {
	checks *Checker
	is     Suspect
	till   time.Time // guarded by the mutex of checks, as again is
	again  bool      // more broke there since the last question
}

func (k *check) run() {
	pause := time.NewTicker(checkEvery)
	defer pause.Stop()
	begun, before := clock.Now(), quarantine.ProbeCrashed // what is clear at once is not logged
	for {
		asked := clock.Now()
		found := k.is.Prober.Probe()
		if found != before && (found == quarantine.ProbeInconclusive || before == quarantine.ProbeInconclusive) {
			event.EndInDoubt.Log(k.is.Logger, slog.String("endpoint", k.is.Endpoint), slog.Int64("lifetime", int64(k.is.Incarnation)),
				slog.String("state", found.String()), slog.Int64("after_ms", clock.Since(begun).Milliseconds()))
		}
		before = found
		k.note(found, asked)
		if !k.checks.goesOn(k, found, clock.Now()) {
			return
		}
		select {
		case <-pause.C:
		case <-k.checks.done.Done():
			return
		}
	}
}

// note writes down what a question asked at a time found.
func (k *check) note(found quarantine.ProbeResult, asked time.Time) {
	switch found {
	case quarantine.ProbeCrashed:
		k.is.Recorder.RecordCrash(k.is.Endpoint, k.is.Incarnation, asked)
	case quarantine.ProbeAnswered, quarantine.ProbeSameIncarnation:
		k.is.Recorder.RecordAnswer(k.is.Endpoint, k.is.Incarnation, found == quarantine.ProbeSameIncarnation, asked)
	case quarantine.ProbeInconclusive:
		k.is.Recorder.ReportUnresolved(k.is.Endpoint, k.is.Incarnation)
	}
}
