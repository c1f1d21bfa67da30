// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// baselineSmoothing is the weight of a new answer in the mean of a plain service's times.
	baselineSmoothing = 0.1
	// maxBaselineRatio is how many times the usual time an answer counts at most: one that hangs says
	// nothing of what is usual.
	maxBaselineRatio = 2
	// slowCallRatio is how many times the usual time a call must be open for its endpoint to be
	// told as slow.
	slowCallRatio = 3
)

// reportOpenCall tells, once a call and before it ends, that a plain service takes too long to
// answer. Waiting for the answer would be too late: at 20 calls a second that usually take
// 30 ms, a slow endpoint gets its next call long before it has answered the last.
func (x *exchange) reportOpenCall(a *attempt, now time.Time) {
	if x.service.Engine != nil || a.reportedSlow || a.sentAt.Before(x.resumedAt) {
		return
	}
	if x.slowdownOf(a, now) >= slowCallRatio {
		a.reportedSlow = true
		x.forwarder.reportObservedSlowdown(a, slowCallRatio, now) // a lower bound, told now since the answer may never come
	}
}

// recordResponseTime learns from the time that a plain service took for an answer.
func (x *exchange) recordResponseTime(a *attempt, now time.Time) {
	if x.service.Engine != nil || a.sentAt.Before(x.resumedAt) {
		return
	}
	x.forwarder.reportObservedSlowdown(a, x.slowdownOf(a, now), now)
	x.forwarder.slowdowns.recordDuration(x.route.Name, now.Sub(a.sentAt), x.initialBaseline())
}

// slowdownOf returns how many times as long as usual a call to a plain service has taken.
func (x *exchange) slowdownOf(a *attempt, now time.Time) float64 {
	usual := x.forwarder.slowdowns.baseline(x.route.Name, x.initialBaseline())
	return float64(now.Sub(a.sentAt)) / float64(usual)
}

// initialBaseline returns what is taken as usual before any answer came: a third of the time from
// which an answer is overdue.
func (x *exchange) initialBaseline() time.Duration {
	return max(time.Millisecond, x.timing.firstEventLimit/slowCallRatio)
}

// reportObservedSlowdown tells the pace that an answer, or the wait for one, showed.
func (f *Forwarder) reportObservedSlowdown(a *attempt, pace float64, now time.Time) {
	if f.ReportSlowdown == nil || pace <= 0 {
		return
	}
	f.ReportSlowdown(protocol.RelaySlow{Endpoint: a.endpoint.Name(), Observation: protocol.SlowSeen, Pace: min(pace, protocol.MaxPace)}, now)
}

// baseline returns how long an answer on a route to a plain service usually takes. Routes to one service
// ask for different work: an entry that has had a few quick answers on one would take those of another
// for slow.
func (p *slowdownMonitor) baseline(route string, guess time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if usual, known := p.baselines[route]; known {
		return max(time.Millisecond, usual)
	}
	return guess
}

// recordDuration takes the time of an answer into the usual time of its route. The first may
// be that of a slow endpoint, so it counts as what was guessed at most.
func (p *slowdownMonitor) recordDuration(route string, took, guess time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.baselines == nil {
		p.baselines = make(map[string]time.Duration)
	}
	usual, known := p.baselines[route]
	if !known {
		p.baselines[route] = min(took, guess)
		return
	}
	p.baselines[route] = usual + time.Duration(baselineSmoothing*float64(min(took, maxBaselineRatio*usual)-usual))
}
