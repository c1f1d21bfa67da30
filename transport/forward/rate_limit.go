// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"net/http"
	"time"

	"pinerun.example/pinerun/coordination/ratelimit"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// RateLimits holds the rate limits that endpoints name in their answers, and this entry's shares of
// them.
type RateLimits interface {
	// Empty reports whether no endpoint has a limit.
	Empty() bool
	// AddTracked adds the IDs of the endpoints that have a limit to a set.
	AddTracked(ids map[string]bool)
	// Limit returns the limit of an endpoint in requests a second, 0 for none.
	Limit(target protocol.EndpointProcess) float64
	// RecordAnswer records the limit that an answer names, 0 for none. Its request was sent at sentAt.
	RecordAnswer(target protocol.EndpointProcess, limit float64, sentAt time.Time)
	// Want notes that this entry has a request for an endpoint with a limit.
	Want(target protocol.EndpointProcess, now time.Time)
	// NextAt returns when this entry may send the next request, now or earlier if it may at once.
	NextAt(target protocol.EndpointProcess, now time.Time) time.Time
	// TakeAll takes one request from the share of each endpoint, if all shares allow it.
	TakeAll(targets []protocol.EndpointProcess, now time.Time) bool
	// Maintain lends the shares that this entry does not use, and forgets endpoints that do not exist
	// any more.
	Maintain(exists func(endpoint string) bool, now time.Time)
}

// recordRateLimit records the rate limit that an answer names. An answer of another process at the
// endpoint's address says nothing about the endpoint.
func (a *attempt) recordRateLimit(status int, terms *protocol.AnswerTerms) {
	f := a.forwarder
	if f.RateLimits == nil || status == http.StatusMisdirectedRequest || terms.BadRateLimit {
		return
	}
	f.RateLimits.RecordAnswer(a.process(), terms.RateLimit, a.sentAt)
}

// rateLimit returns the rate limit of an endpoint as this entry knows it, 0 for none.
func (f *Forwarder) rateLimit(endpoint string) float64 {
	if f.RateLimits == nil {
		return 0
	}
	return f.RateLimits.Limit(protocol.EndpointProcess{ID: endpoint})
}

// ApplyRateLimitChange logs and counts a change of an endpoint's rate limit.
func (f *Forwarder) ApplyRateLimitChange(r ratelimit.Report, change ratelimit.LimitChanged) {
	switch {
	case change.Before() == 0:
		f.Counters.Add(metric.EndpointsLimited, 1)
	case change.Limit() == 0:
		f.Counters.Add(metric.EndpointsLimited, -1)
	}
	f.log(event.RateLimitChanged, slog.String("endpoint", r.Endpoint()), slog.String("witness", r.Observer()), slog.String("sign", r.Observation().String()),
		slog.Float64("per_second", change.Limit()), slog.Float64("before", change.Before()))
}
