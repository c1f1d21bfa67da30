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

// endpoint answers as it is told to, and notes what is found out of it.
type endpoint struct {
	mutex                 sync.Mutex
	answer                quarantine.ProbeResult
	asked                 int
	ended, lives, unclear int
}

func (e *endpoint) Probe() quarantine.ProbeResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.asked++
	return e.answer
}

func (e *endpoint) RecordCrash(string, protocol.Incarnation, time.Time)        { e.count(&e.ended) }
func (e *endpoint) RecordAnswer(string, protocol.Incarnation, bool, time.Time) { e.count(&e.lives) }
func (e *endpoint) ReportUnresolved(string, protocol.Incarnation)              { e.count(&e.unclear) }

func (e *endpoint) count(n *int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	*n++
}

func (e *endpoint) set(answer quarantine.ProbeResult) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.answer = answer
}

func (e *endpoint) begin(c *Checker, life protocol.Incarnation) {
	c.Begin(&Suspect{Endpoint: "e", Incarnation: life, Prober: e, Recorder: e}, time.Now())
}

// pass lets time pass, and what is due in it be done.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestAnEndpointIsAskedUntilItIsClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &endpoint{answer: quarantine.ProbeInconclusive}
		e.begin(&c, 1)
		pass(4*checkEvery + checkEvery/2)
		require.Equal(t, 5, e.asked)
		e.set(quarantine.ProbeCrashed)
		pass(time.Minute)
		require.Equal(t, 6, e.asked)
		require.Equal(t, 5, e.unclear)
		require.Equal(t, 1, e.ended)
		require.Zero(t, c.Open())
	})
}

func TestWhatStaysUnclearIsGivenUpUnlessMoreBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &endpoint{answer: quarantine.ProbeInconclusive}
		e.begin(&c, 1)
		pass(quarantine.UnresolvedTimeout / 2)
		e.begin(&c, 1)
		pass(quarantine.UnresolvedTimeout - checkEvery)
		require.Equal(t, 1, c.Open(), "one check, for as long as after the second")
		pass(2 * checkEvery)
		require.Zero(t, c.Open())
		require.Zero(t, e.ended)
	})
}

func TestAnEndpointThatAnswersIsAskedAgainOnlyIfMoreBroke(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &endpoint{answer: quarantine.ProbeSameIncarnation}
		e.begin(&c, 1)
		synctest.Wait()
		require.Equal(t, 1, e.asked)
		require.Zero(t, c.Open())
		e.set(quarantine.ProbeInconclusive)
		e.begin(&c, 1)
		synctest.Wait()
		e.set(quarantine.ProbeSameIncarnation)
		e.begin(&c, 1) // while it is asked
		pass(time.Minute)
		require.Equal(t, 3, e.lives, "once before, and once more than the answer that came first")
	})
}

func TestChecksEndWithTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Checker
		e := &endpoint{answer: quarantine.ProbeInconclusive}
		e.begin(&c, 1)
		e.begin(&c, 2) // another life is another matter
		synctest.Wait()
		c.Close()
		synctest.Wait()
		asked := e.asked
		pass(time.Minute)
		require.Equal(t, asked, e.asked)
	})
}
