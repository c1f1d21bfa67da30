// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// crashWork is work that crashes every engine that starts to run it.
	crashWork = "deadly"
	// crashWorkInterval is the time between requests for it, each to a random entry.
	crashWorkInterval = 1200 * time.Millisecond
	// crashRestartDelay is the time until a crashed engine restarts.
	crashRestartDelay = 700 * time.Millisecond
	// maxCrashWorkRuns is how often the work may run after the fault injection, besides once per
	// entry. Entries that were killed may have lost what they knew of the work, so that it takes
	// three crashes to identify it again; at that moment each entry may have dispatched it once more.
	maxCrashWorkRuns = 3
	// crashRefusal is the reason in the refusal of such work.
	crashRefusal = `"ends_endpoints"`
)

// crashCaller requests crashWork repeatedly, at random entries. It stops with the fault injection,
// because the guarantees checked afterwards don't hold while engines crash.
type crashCaller struct {
	callers *callers
	rng     *rand.Rand
	stop    chan struct{}
	done    chan struct{}
}

// startCrashCaller starts a crashCaller. It has its own random source, so that the other callers
// draw the same sequence from a seed as without it.
func startCrashCaller(cs *callers, seed uint64) *crashCaller {
	c := &crashCaller{
		callers: cs, rng: rand.New(rand.NewPCG(seed, 4)), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go c.run()
	return c
}

// close stops the caller and waits for its last answer.
func (c *crashCaller) close() {
	close(c.stop)
	<-c.done
}

func (c *crashCaller) run() {
	defer close(c.done)
	entries := c.callers.testbed.entries
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(crashWorkInterval):
		}
		q := &call{id: c.callers.id(), work: crashWork, kind: stream, key: permanentKey, entry: entries[c.rng.IntN(len(entries))], sent: time.Now()}
		if c.rng.IntN(2) == 0 {
			q.work, q.parts = "", crashingParts(q.id)
		}
		do(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, q, deadline)
		c.callers.record(q)
	}
}

// crashOnWork makes an engine crash on crashWork, and on prompts with crashPart. It restarts as a new incarnation with no layers
// loaded.
func (tb *testbed) crashOnWork(e *endpoint) {
	e.CrashOnEither(bodyOf(crashWork), crashPart, crashRestartDelay, func() {
		e.mutex.Lock()
		e.layers = [2]int{}
		if started, ok := e.Incarnation().(int64); ok {
			e.incarnation = started
		}
		e.mutex.Unlock()
		tb.updateRecord(e)
	})
}

// crashWorkRuns returns how often crashWork ran, which is the number of crashes it caused.
func (tb *testbed) crashWorkRuns() int {
	n := 0
	for _, e := range tb.allEndpoints() {
		n += e.Crashes()
	}
	return n
}

// checkCrashWork sends crashWork to every entry until all refuse it. After that it must not run
// again.
func (r *recovery) checkCrashWork() {
	tb := r.testbed
	before := tb.crashWorkRuns()
	refused := func() bool {
		all := true
		for _, e := range tb.entries {
			q := r.sendWork(e, stream, permanentKey, crashWork)
			all = all && strings.Contains(q.body, crashRefusal)
		}
		return all
	}
	if !r.within(recoveryBound, "every entry refuses work that crashes engines", refused) {
		return
	}
	ran := tb.crashWorkRuns()
	r.crashWorkRuns = ran - before
	if ran > before+maxCrashWorkRuns+len(tb.entries) {
		tb.reportProblem("work that crashes engines ran %d times after the fault injection", ran-before)
	}
	for range 3 {
		if !refused() {
			tb.reportProblem("an entry accepted refused work again")
		}
	}
	if repeated := tb.crashWorkRuns(); repeated != ran {
		tb.reportProblem("refused work ran %d more times", repeated-ran)
	}
	r.within(recoveryBound, "every entry serves again after the last crash", r.allServe)
}

// checkOtherWork checks that no other work was refused for crashing engines.
func (tb *testbed) checkOtherWork(calls []*call) {
	for _, c := range calls {
		if c.work == "" && c.parts == "" && strings.Contains(c.body, crashRefusal) {
			tb.reportProblem("%s %s was refused as if it crashed engines: %q", c.kind, c.id, c.body)
		}
	}
}

// crashSummary summarizes how often crashWork was requested, ran and was refused.
func (tb *testbed) crashSummary(calls []*call, duringRecovery int) string {
	requested, refused := 0, 0
	for _, c := range calls {
		if c.work == "" && c.parts == "" {
			continue
		}
		requested++
		if strings.Contains(c.body, crashRefusal) {
			refused++
		}
	}
	return fmt.Sprintf("crashing work was requested %d times, crashed %d engines, %d of them after the fault injection, was refused %d times", requested, tb.crashWorkRuns(), duringRecovery, refused)
}
