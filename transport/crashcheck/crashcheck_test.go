// SPDX-License-Identifier: Apache-2.0

package crashcheck

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// fakeEndpoint returns a configured probe result, and counts the probes and what is recorded.
type fakeEndpoint struct {
	mutex                        sync.Mutex
	result                       quarantine.ProbeResult
	probes                       int
	crashes, answers, unresolved int
}

func (e *fakeEndpoint) Probe() quarantine.ProbeResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.probes++
	return e.result
}

func (e *fakeEndpoint) RecordCrash(string, protocol.Incarnation, time.Time) { e.count(&e.crashes) }

func (e *fakeEndpoint) RecordAnswer(string, protocol.Incarnation, bool, time.Time) {
	e.count(&e.answers)
}

func (e *fakeEndpoint) ReportUnresolved(string, protocol.Incarnation) { e.count(&e.unresolved) }

func (e *fakeEndpoint) count(n *int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	*n++
}

func (e *fakeEndpoint) setResult(result quarantine.ProbeResult) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.result = result
}

func (e *fakeEndpoint) begin(c *Checker, incarnation protocol.Incarnation) {
	c.Begin(&Suspect{Endpoint: "e", Incarnation: incarnation, Prober: e, Recorder: e}, time.Now())
}

// advance lets time pass, and waits until everything that is due has run.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// TestProbesUntilConclusive probes an endpoint whose results are inconclusive until one shows a
// crash.
func TestProbesUntilConclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &fakeEndpoint{result: quarantine.ProbeInconclusive}
		e.begin(&c, 1)
		advance(4*probeInterval + probeInterval/2)
		require.Equal(t, 5, e.probes)
		e.setResult(quarantine.ProbeCrashed)
		advance(time.Minute)
		require.Equal(t, 6, e.probes)
		require.Equal(t, 5, e.unresolved)
		require.Equal(t, 1, e.crashes)
		require.Zero(t, c.Open())
	})
}

// TestInconclusiveCheckEndsAtDeadline begins a check twice: it ends the timeout after the second
// call.
func TestInconclusiveCheckEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &fakeEndpoint{result: quarantine.ProbeInconclusive}
		e.begin(&c, 1)
		advance(quarantine.UnresolvedTimeout / 2)
		e.begin(&c, 1)
		advance(quarantine.UnresolvedTimeout - probeInterval)
		require.Equal(t, 1, c.Open(), "one check, which lasts until the timeout after the second call")
		advance(2 * probeInterval)
		require.Zero(t, c.Open())
		require.Zero(t, e.crashes)
	})
}

// TestAnsweringEndpointIsProbedAgainAfterNewFailure begins a check while an endpoint is being
// probed: it is probed once more after it has answered.
func TestAnsweringEndpointIsProbedAgainAfterNewFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &fakeEndpoint{result: quarantine.ProbeSameIncarnation}
		e.begin(&c, 1)
		synctest.Wait()
		require.Equal(t, 1, e.probes)
		require.Zero(t, c.Open())
		e.setResult(quarantine.ProbeInconclusive)
		e.begin(&c, 1)
		synctest.Wait()
		e.setResult(quarantine.ProbeSameIncarnation)
		e.begin(&c, 1)
		advance(time.Minute)
		require.Equal(t, 3, e.answers, "one answer in the first check; in the second, one more probe after the first answer")
	})
}

// TestCloseStopsChecks checks two incarnations of an endpoint and closes the checker.
func TestCloseStopsChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &fakeEndpoint{result: quarantine.ProbeInconclusive}
		e.begin(&c, 1)
		e.begin(&c, 2) // another incarnation needs its own check
		synctest.Wait()
		c.Close()
		synctest.Wait()
		probes := e.probes
		advance(time.Minute)
		require.Equal(t, probes, e.probes)
	})
}
