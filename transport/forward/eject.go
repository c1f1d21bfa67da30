// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
)

// ejectFaulty leaves out the runner at an address, or looks for the one at fault when
// it is "" and the answer came over several.
func (x *exchange) ejectFaulty(a *attempt, address string, why metric.Ejection, now time.Time) {
	if address == "" {
		if a.path.Len() > 1 {
			x.forwarder.faultLocator.silentRunners(a, x.timing.lastEvent, now)
			return
		}
		address = a.endpoint.Spec().Address
	}
	for i := range a.path.Len() {
		r := a.path.Runner(i)
		if r.Spec().Address != address {
			continue
		}
		till := r.Failed(now)
		x.avoid = append(x.avoid, r)
		x.forwarder.Counters.Ejected(why)
		x.forwarder.log(event.RunnerEjected, slog.String("runner", r.Name()), slog.String("reason", string(why)), x.requestAttr(),
			slog.Int64("till_ms", till.Sub(now).Milliseconds()))
	}
}

// avoidRefusing leaves out for a moment the runner that did not run a request, which is
// the first of the path when it names no other.
func (x *exchange) avoidRefusing(m *responseReceived, now time.Time) {
	a, address := m.attempt, m.terms.AtFault
	x.forwarder.log(event.AttemptNotRun, x.requestAttr(), slog.Int("attempt", a.number), slog.String("endpoint", a.endpoint.Name()),
		slog.Int("status", m.head.StatusCode), slog.String("at_fault", address), slog.String("by", m.terms.EndpointID))
	for i := range a.path.Len() {
		if a.isAtFault(i, address) {
			r := a.path.Runner(i)
			r.Refused(now)
			x.avoid = append(x.avoid, r)
		}
	}
}

// isAtFault reports whether an answer blames a stage of the attempt's path for not running
// the request: the one at the address that it names, or the first if it names none.
func (a *attempt) isAtFault(stage int, address string) bool {
	return a.path.Runner(stage).Spec().Address == address || address == "" && stage == 0
}

// markFull treats the runner that did not run a request as full for a moment.
func (x *exchange) markFull(a *attempt, address string, now time.Time) {
	for i := range a.path.Len() {
		if a.isAtFault(i, address) {
			a.path.Runner(i).RefusedForCapacity(now)
		}
	}
}
