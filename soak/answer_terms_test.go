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
