// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
)

// ejectFaulty ejects the runner at an address. If the address is empty and the path has several
// runners, it looks for the faulty one instead.
func (x *exchange) ejectFaulty(a *attempt, address string, reason metric.Ejection, now time.Time) {
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
		until := r.Failed(now)
		x.avoid = append(x.avoid, r)
		x.forwarder.Counters.CountEjection(reason)
		x.forwarder.log(event.RunnerEjected, slog.String("runner", r.Name()), slog.String("reason", string(reason)), x.requestAttr(),
			slog.Int64("till_ms", until.Sub(now).Milliseconds()))
	}
}

// avoidRefusing ejects for a moment the runner that did not run a request: the one that the
// response names, or else the first of the path.
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

// isAtFault reports whether a response says that a stage of the attempt's path did not run the
// request: the stage at the address that it names, or the first stage if it names none.
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
