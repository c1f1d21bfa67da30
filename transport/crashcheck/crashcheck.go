// SPDX-License-Identifier: Apache-2.0

// Package crashcheck finds out whether an incarnation of an endpoint has crashed after one of its
// responses was aborted, by probing the endpoint repeatedly. A port that accepts connections does
// not prove that the endpoint is running: another process may have the port, or the host may hold
// it while the process restarts.
//
//	checker.Begin(&crashcheck.Suspect{Endpoint: name, Incarnation: incarnation, Prober: prober, Recorder: recorder}, now)
package crashcheck

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

// probeInterval is the pause between two probes of an endpoint while it is unclear whether it has
// crashed.
const probeInterval = 50 * time.Millisecond

// Recorder receives the results of probes.
type Recorder interface {
	// ReportUnresolved reports that it is still unclear whether an incarnation of an endpoint has
	// crashed.
	ReportUnresolved(endpoint string, incarnation protocol.Incarnation)
	// RecordCrash records that the incarnation has crashed, as a probe sent at a time showed.
	RecordCrash(endpoint string, incarnation protocol.Incarnation, at time.Time)
	// RecordAnswer records that the endpoint answered a probe that was sent at a time, and whether
	// its answer named the same incarnation.
	RecordAnswer(endpoint string, incarnation protocol.Incarnation, same bool, sentAt time.Time)
}

// Prober probes one endpoint.
type Prober interface {
	// Probe probes the endpoint once.
	Probe() quarantine.ProbeResult
}

// Suspect is an incarnation of an endpoint that may have crashed.
type Suspect struct {
	Endpoint    string
	Incarnation protocol.Incarnation
	Prober      Prober
	Recorder    Recorder
	Logger      *slog.Logger // nil for none
}

// Checker checks suspects, with one check at a time for each endpoint. The zero value runs no
// check.
type Checker struct {
	done    lifecycle.Done
	mutex   sync.Mutex
	running map[string]*check // by the endpoint's name
}

// Close stops every check.
func (c *Checker) Close() { c.done.Close() }

// Begin starts a check of a suspect, or extends the one that is running, until UnresolvedTimeout
// from now at the latest.
func (c *Checker) Begin(suspect *Suspect, now time.Time) {
	deadline := now.Add(quarantine.UnresolvedTimeout)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.running[suspect.Endpoint]; known != nil && known.suspect.Incarnation == suspect.Incarnation {
		known.deadline, known.probeAgain = deadline, true
		return
	}
	if c.running == nil {
		c.running = make(map[string]*check)
	}
	k := &check{checker: c, suspect: *suspect, deadline: deadline}
	c.running[suspect.Endpoint] = k
	go k.run()
}

// Open returns the number of endpoints that are being checked.
func (c *Checker) Open() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.running)
}

// shouldContinue reports whether a check probes again, and removes the check otherwise.
func (c *Checker) shouldContinue(k *check, result quarantine.ProbeResult, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Before(k.deadline) && result != quarantine.ProbeCrashed && (result == quarantine.ProbeInconclusive || k.probeAgain) {
		k.probeAgain = false
		return true
	}
	if c.running[k.suspect.Endpoint] == k {
		delete(c.running, k.suspect.Endpoint)
	}
	return false
}

// check checks one suspect.
type check struct {
	checker    *Checker
	suspect    Suspect
	deadline   time.Time // guarded by the mutex of checker, as probeAgain is
	probeAgain bool      // another response was aborted since the last probe
}

func (k *check) run() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	startedAt, previous := clock.Now(), quarantine.ProbeCrashed // a conclusive first result is not logged
	for {
		sentAt := clock.Now()
		result := k.suspect.Prober.Probe()
		if result != previous && (result == quarantine.ProbeInconclusive || previous == quarantine.ProbeInconclusive) {
			event.CrashUnresolved.Log(k.suspect.Logger, slog.String("endpoint", k.suspect.Endpoint), slog.Int64("lifetime", int64(k.suspect.Incarnation)),
				slog.String("state", result.String()), slog.Int64("after_ms", clock.Since(startedAt).Milliseconds()))
		}
		previous = result
		k.record(result, sentAt)
		if !k.checker.shouldContinue(k, result, clock.Now()) {
			return
		}
		select {
		case <-ticker.C:
		case <-k.checker.done.Done():
			return
		}
	}
}

// record records the result of a probe that was sent at a time.
func (k *check) record(result quarantine.ProbeResult, sentAt time.Time) {
	switch result {
	case quarantine.ProbeCrashed:
		k.suspect.Recorder.RecordCrash(k.suspect.Endpoint, k.suspect.Incarnation, sentAt)
	case quarantine.ProbeAnswered, quarantine.ProbeSameIncarnation:
		k.suspect.Recorder.RecordAnswer(k.suspect.Endpoint, k.suspect.Incarnation, result == quarantine.ProbeSameIncarnation, sentAt)
	case quarantine.ProbeInconclusive:
		k.suspect.Recorder.ReportUnresolved(k.suspect.Endpoint, k.suspect.Incarnation)
	}
}
