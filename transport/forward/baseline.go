// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// baselineSmoothing is the weight of a new response in the mean response time of a plain
	// service.
	baselineSmoothing = 0.1
	// maxBaselineRatio bounds how many times the baseline one response counts: a response that
	// hangs says nothing about what is typical.
	maxBaselineRatio = 2
	// slowCallRatio is how many times the baseline a call must be open for its endpoint to be
	// reported as slow.
	slowCallRatio = 3
)

// reportOpenCall reports, at most once for each call, that a plain service takes too long to
// respond, while the call is still open. Waiting for the response would be too late: at 20 calls a
// second that usually take 30 ms, a slow endpoint gets its next call long before it has answered
// the last.
func (x *exchange) reportOpenCall(a *attempt, now time.Time) {
	if x.service.Engine != nil || a.reportedSlow || a.sentAt.Before(x.resumedAt) {
		return
	}
	if x.slowdownOf(a, now) >= slowCallRatio {
		if !x.reachedSince(a, now) {
			return
		}
		a.reportedSlow = true
		x.forwarder.reportObservedSlowdown(a, slowCallRatio, now) // a lower bound, reported now because the response may never arrive
	}
}

// recordResponseTime records how long a plain service took to respond.
func (x *exchange) recordResponseTime(a *attempt, now time.Time) {
	if x.service.Engine != nil || a.sentAt.Before(x.resumedAt) || a.throughPeer() != "" {
		return
	}
	x.forwarder.reportObservedSlowdown(a, x.slowdownOf(a, now), now)
	x.forwarder.slowdowns.recordDuration(x.route.Name, now.Sub(a.sentAt), x.initialBaseline())
}

// slowdownOf returns how many times its baseline a call to a plain service has taken.
func (x *exchange) slowdownOf(a *attempt, now time.Time) float64 {
	baseline := x.forwarder.slowdowns.baseline(x.route.Name, x.initialBaseline())
	return float64(now.Sub(a.sentAt)) / float64(baseline)
}

// initialBaseline returns the baseline before any response: a third of the time from which a
// response is overdue.
func (x *exchange) initialBaseline() time.Duration {
	return max(time.Millisecond, x.timing.firstEventLimit/slowCallRatio)
}

// reportObservedSlowdown reports the slowdown that a response, or the wait for one, showed.
func (f *Forwarder) reportObservedSlowdown(a *attempt, slowdown float64, now time.Time) {
	if f.ReportSlowdown == nil || slowdown <= 0 {
		return
	}
	f.ReportSlowdown(protocol.SlownessReport{Endpoint: a.endpoint.Name(), Observation: protocol.SlowMeasured, Slowdown: min(slowdown, protocol.MaxSlowdown)}, now)
}

// baseline returns how long a response on a route to a plain service usually takes. Baselines are
// kept by route because routes to one service ask for different work: an entry that has had a few
// quick responses on one route would consider those of another slow.
func (m *slowdownMonitor) baseline(route string, initial time.Duration) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if baseline, known := m.baselines[route]; known {
		return max(time.Millisecond, baseline)
	}
	return initial
}

// recordDuration adds a response time to the baseline of its route. The first one may be that of a
// slow endpoint, so it counts as the initial baseline at most.
func (m *slowdownMonitor) recordDuration(route string, took, initial time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.baselines == nil {
		m.baselines = make(map[string]time.Duration)
	}
	baseline, known := m.baselines[route]
	if !known {
		m.baselines[route] = min(took, initial)
		return
	}
	m.baselines[route] = baseline + time.Duration(baselineSmoothing*float64(min(took, maxBaselineRatio*baseline)-baseline))
}
