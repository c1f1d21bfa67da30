// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// drainSlack is how long after drainBound a leaving endpoint may still receive requests that
// were in flight.
const drainSlack = 300 * time.Millisecond

// recovery checks, after the fault injection, the guarantees with time bounds.
type recovery struct {
	testbed *testbed
	calls   []*call
	seq     int

	crashWorkRuns int // how often crashWork ran during recovery
}

func (rec *recovery) run() {
	tb := rec.testbed
	if !rec.within(recoveryBound, "every entry serves again", rec.allServe) {
		return
	}
	time.Sleep(settleTime)
	rec.checkTable()
	rec.checkDrain()
	rec.checkCrashWork()
	rec.checkStop()
	tb.checkAnswers(rec.calls)
}

// within waits for a condition and reports a problem if it isn't met within a bound.
func (rec *recovery) within(bound time.Duration, what string, met func() bool) bool {
	for end := time.Now().Add(bound + schedulingSlack); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if met() {
			return true
		}
	}
	rec.testbed.reportProblem("not within %v: %s", bound, what)
	return false
}

func (rec *recovery) sendRequest(e *entry, kind, key string) *call {
	return rec.sendWork(e, kind, key, "")
}

// sendWork sends a request for shared work, or for work unique to it if work is "".
func (rec *recovery) sendWork(e *entry, kind, key, work string) *call {
	rec.seq++
	q := &call{id: fmt.Sprint("calm-", rec.seq), work: work, kind: kind, key: key, entry: e, sent: time.Now()}
	t := &http.Transport{DisableKeepAlives: true}
	do(&http.Client{Transport: t}, q, deadline)
	rec.calls = append(rec.calls, q)
	return q
}

func answered(q *call) bool { return q.status == http.StatusOK && q.err == nil }

func (rec *recovery) allServe() bool {
	for _, e := range rec.testbed.entries {
		for _, kind := range kinds {
			if !e.isReady() || !answered(rec.sendRequest(e, kind, permanentKey)) {
				return false
			}
		}
	}
	return true
}

// checkTable changes the table and waits until every entry applies it. After that no entry may
// apply an older one.
func (rec *recovery) checkTable() {
	allReturn := func(status int) func() bool {
		return func() bool {
			for _, e := range rec.testbed.entries {
				if rec.sendRequest(e, idempotent, spareKey).status != status {
					return false
				}
			}
			return true
		}
	}
	rec.testbed.changeTable(permanentKey, spareKey)
	rec.within(configBound, "every entry accepts a granted key", allReturn(http.StatusOK))
	rec.testbed.changeTable(permanentKey)
	if !rec.within(configBound, "every entry refuses a revoked key", allReturn(http.StatusUnauthorized)) {
		return
	}
	for range 5 {
		if !allReturn(http.StatusUnauthorized)() {
			rec.testbed.reportProblem("an entry applied an older table again")
			return
		}
	}
}

// checkDrain drains an endpoint of each service and checks that no request reaches it after
// the bound, while all requests are answered.
func (rec *recovery) checkDrain() {
	tb := rec.testbed
	for _, engine := range []bool{false, true} {
		live := tb.live(engine)
		old := live[0]
		tb.addEndpoint(engine, old.dataCenter)
		tb.markLeaving(old)
		drainEnd := old.leaving.Add(drainBound + drainSlack)
		time.Sleep(time.Until(drainEnd))
		for _, e := range tb.entries {
			for range 3 {
				for _, kind := range kinds {
					if q := rec.sendRequest(e, kind, permanentKey); !answered(q) {
						tb.reportProblem("%s %s failed without faults: %d %v %q", kind, q.id, q.status, q.err, q.body)
					}
				}
			}
		}
		for _, r := range old.Received() {
			if r.At.After(drainEnd) {
				tb.reportProblem("%s reached %s %v after it announced that it is leaving", r.ID, old.ID, r.At.Sub(old.leaving))
			}
		}
		tb.remove(old)
	}
}

// streamRequest is a request for a stream that runs in parallel with the checks.
type streamRequest struct {
	recovery *recovery
	entry    *entry
	done     chan *call
}

func (a *streamRequest) run() { a.done <- a.recovery.sendRequest(a.entry, stream, permanentKey) }

// checkStop stops an entry while a stream is open and checks that the stream completes.
func (rec *recovery) checkStop() {
	tb := rec.testbed
	e := tb.entries[0]
	running := func() (n int) {
		for _, p := range tb.live(true) {
			n += len(p.Started())
		}
		return n
	}
	for _, p := range tb.live(true) {
		p.Fail(platformtest.Pauses, 3)
	}
	before := running()
	done := make(chan *call, 1)
	go (&streamRequest{recovery: rec, entry: e, done: done}).run()
	rec.within(settleTime, "a stream has started", func() bool { return running() > before })
	exited := e.expectExit()
	e.signal(syscall.SIGTERM)
	rec.within(settleTime, "a stopping entry is not ready", func() bool { return !e.isReady() })
	for _, p := range tb.live(true) {
		p.Fail(platformtest.None, 0)
	}
	if q := <-done; !answered(q) || !strings.HasSuffix(q.body, platformtest.Event(platformtest.StreamEvents)) {
		tb.reportProblem("stopping an entry truncated a stream: %d %v %q", q.status, q.err, q.body)
	}
	select {
	case <-exited:
	case <-time.After(stopWithin + schedulingSlack):
		tb.reportProblem("%s did not stop in time", e.name)
	}
}
