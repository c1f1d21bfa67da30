// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"net/http"
	"sync"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
)

// namedRateLimits holds the rate limit that each endpoint named in its last answer, by endpoint ID.
// The zero value has none.
type namedRateLimits struct {
	mutex      sync.Mutex
	byEndpoint map[string]float64 // requests a second
}

// replace sets the limit of an endpoint, 0 for none, and returns the one before.
func (l *namedRateLimits) replace(endpoint string, limit float64) (before float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before = l.byEndpoint[endpoint]
	switch {
	case limit == 0:
		delete(l.byEndpoint, endpoint)
	case l.byEndpoint == nil:
		l.byEndpoint = map[string]float64{endpoint: limit}
	default:
		l.byEndpoint[endpoint] = limit
	}
	return before
}

// of returns the limit of an endpoint, 0 for none.
func (l *namedRateLimits) of(endpoint string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.byEndpoint[endpoint]
}

// recordRateLimit records the rate limit that an answer names, and logs a change. An answer of
// another process at the endpoint's address says nothing about the endpoint.
func (a *attempt) recordRateLimit(status int, terms *protocol.AnswerTerms) {
	if status == http.StatusMisdirectedRequest || terms.BadRateLimit {
		return
	}
	f := a.forwarder
	if before := f.rateLimits.replace(a.endpoint.Name(), terms.RateLimit); before != terms.RateLimit {
		f.log(event.RateLimitChanged, slog.String("endpoint", a.endpoint.Name()), slog.Float64("per_second", terms.RateLimit), slog.Float64("before", before))
	}
}
