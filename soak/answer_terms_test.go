// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

const (
	// contactTime is how long after an endpoint first named a limit the limit holds.
	contactTime = 4 * time.Second
	// limitWindow is the window in which limited requests are counted.
	limitWindow = 4 * time.Second
	// testedLimit is the limit in requests a second of the endpoints that are checked.
	testedLimit = 2.0
	// maxInWindow is how many requests an endpoint with that limit may get in a window: one and a half
	// times what the limit allows, and five more.
	maxInWindow = 17
	// backoffGrace is how long after an endpoint asked an entry for backoff requests may still be on their way,
	// and maxInBackoff is how many of the entry's requests may reach it in the remaining backoff.
	backoffGrace = 500 * time.Millisecond
	maxInBackoff = 2
	// longestBackoff is the longest backoff that an endpoint asks for.
	longestBackoff = 4 * time.Second
)

// nameLimit makes an endpoint name one limit after another.
func (s *series) nameLimit() {
	e := s.endpoint()
	for range 1 + s.rng.IntN(3) {
		limit := []float64{0.3, 2, 10}[s.rng.IntN(3)]
		s.injection.record(e.ID + " limits requests")
		e.SetAnswerTerms(platformtest.AnswerTerms{Limit: limit})
		s.pause(200, 3000)
	}
	e.SetAnswerTerms(platformtest.AnswerTerms{})
}

// askForBackoff makes an endpoint turn requests away and ask for backoff.
func (s *series) askForBackoff() {
	e := s.endpoint()
	backoff := time.Duration(100+s.rng.IntN(int(longestBackoff.Milliseconds())-100)) * time.Millisecond
	s.injection.record(e.ID + " asks for backoff")
	e.SetAnswerTerms(platformtest.AnswerTerms{RetryAfter: backoff})
	s.waitFaultDuration()
	e.SetAnswerTerms(platformtest.AnswerTerms{})
}

// leaveByAnswer drains an endpoint that says only in its answers that it leaves.
func (s *series) leaveByAnswer() {
	tb := s.injection.testbed
	old := s.reserveForCrash()
	if old == nil {
		return
	}
	s.injection.record(old.ID + " leaves by its answers")
	tb.addEndpoint(old.engine, old.dataCenter)
	old.SetAnswerTerms(platformtest.AnswerTerms{Leaving: true})
	time.Sleep(drainBound)
	s.pause(100, 500)
	tb.remove(old)
}

// checkBackoffs checks that endpoints got the backoff that they asked for from each entry. Entries that were
// started or paused meanwhile, and endpoints whose link was disturbed, are excused.
func (tb *testbed) checkBackoffs(calls []*call) {
	entries := make(map[string]*entry, len(calls))
	for _, c := range calls {
		entries[c.id] = c.entry
	}
	for _, e := range tb.allEndpoints() {
		received := e.Received()
		for _, asked := range received {
			by := entries[asked.ID]
			if asked.RetryAfter <= backoffGrace || by == nil || by.disturbedSince(asked.At) || e.link.changedSince(asked.At.Add(-deadline)) {
				continue
			}
			n := 0
			for _, r := range received {
				if entries[r.ID] == by && r.At.After(asked.At.Add(backoffGrace)) && r.At.Before(asked.At.Add(asked.RetryAfter)) {
					n++
				}
			}
			if n > maxInBackoff {
				tb.reportProblem("%s got %d requests of %s in the %v of backoff for which it had asked", e.ID, n, by.name, asked.RetryAfter)
			}
		}
	}
}

// disturbedSince reports whether the entry was started, paused or resumed after a time.
func (e *entry) disturbedSince(at time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastPauseChange.After(at) || e.lastStart.After(at)
}

// checkRateLimit makes an endpoint of each service name a limit, and checks the requests that all
// entries together send to it.
func (r *recovery) checkRateLimit() {
	tb := r.testbed
	limited := []*endpoint{tb.live(false)[0], tb.live(true)[0]}
	for _, e := range limited {
		e.SetAnswerTerms(platformtest.AnswerTerms{Limit: testedLimit})
	}
	from := time.Now().Add(contactTime + schedulingSlack)
	time.Sleep(time.Until(from.Add(limitWindow)))
	for _, e := range limited {
		n := 0
		for _, received := range e.Received() {
			if received.At.After(from) && received.At.Before(from.Add(limitWindow)) {
				n++
			}
		}
		if n > maxInWindow {
			tb.reportProblem("%s got %d requests in %v with a limit of %v a second", e.ID, n, limitWindow, testedLimit)
		}
		e.SetAnswerTerms(platformtest.AnswerTerms{})
	}
}
