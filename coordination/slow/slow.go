// SPDX-License-Identifier: Apache-2.0

// Package slow combines the reports of entries about slow endpoints.
//
// Slowness is a state of one incarnation of an endpoint, not a mild form of loss: the endpoint
// answers, and does the work sent to it, only later. So its work is given a higher cost, and the
// endpoint is never excluded. A Tracker combines what endpoints report about themselves with the
// response times that this entry and others measure:
//
//	switch c := tracker.Apply(report, now).(type) {
//	case slow.Slow:      // its work costs c.Slowdown() times as much until c.Until(); pass the report on
//	case slow.Suspected: // one response was late; pass the report on
//	case slow.Recovered: // it works at normal speed after all; pass the report on
//	case slow.NoChange:  // already known, or not credible
//	}
package slow

import (
	"math"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// ReportTTL is how long a report counts. Its observer probes the endpoint again several times
	// within that. If it cannot, the endpoint gets work again, which shows how slow it is.
	ReportTTL = 3 * time.Second
	// renewInterval is the age of a report from which one that only confirms it is passed on. Two
	// such reports may be lost before the first one expires.
	renewInterval = time.Second
	// minSlowTime is the least time for which an endpoint is slow. It limits how often all entries
	// at once stop and resume using an endpoint.
	minSlowTime = time.Second
	// reportedSlowThreshold and reportedNormalThreshold are the slowdowns reported by the endpoint
	// itself from which it becomes slow and below which it becomes normal. A slowdown between them
	// changes nothing, so that one near a threshold does not switch the state back and forth.
	reportedSlowThreshold   = 1.5
	reportedNormalThreshold = 1.2
	// measuredSlowThreshold and measuredNormalThreshold are the same for slowdowns measured from
	// response times. These vary more: a call waits behind others, and the endpoints of a service
	// differ.
	measuredSlowThreshold   = 3.0
	measuredNormalThreshold = 1.5
	// minLateResponses is how many responses must have been late. A single one may be lost.
	minLateResponses = 2
	// slowdownChangeFactor is the factor by which a slowdown must change to be passed on.
	slowdownChangeFactor = 1.5
	// maxEndpoints limits the endpoints with a state. It is a few times the size of a large fleet.
	maxEndpoints = 4096
)

// Report is what an entry, the observer, observed about the slowdown of an endpoint.
type Report struct {
	endpoint    string
	incarnation protocol.Incarnation
	observer    string
	number      uint64
	observation protocol.SlownessObservation
	slowdown    float64
	at          time.Time
}

// NewReport returns the report of an observer. The time is by the clock of the entry that holds the
// report; AgoMS of the message is not used.
func NewReport(message protocol.SlownessReport, at time.Time) Report {
	return Report{
		endpoint: message.Endpoint, incarnation: message.Incarnation, observer: message.Observer, number: message.Number, observation: message.Observation,
		slowdown: min(message.Slowdown, protocol.MaxSlowdown), at: at,
	}
}

// Message returns the report as the message that is sent to other entries at a time.
func (r Report) Message(now time.Time) protocol.SlownessReport {
	return protocol.SlownessReport{
		Endpoint: r.endpoint, Incarnation: r.incarnation, Observer: r.observer, Number: r.number, Observation: r.observation, Slowdown: r.slowdown,
		AgoMS: max(0, float64(now.Sub(r.at))/float64(time.Millisecond)),
	}
}

// Endpoint returns the ID of the endpoint.
func (r Report) Endpoint() string { return r.endpoint }

// Observer returns the name of the entry that made the observation.
func (r Report) Observer() string { return r.observer }

// Observation returns how the slowdown was observed.
func (r Report) Observation() protocol.SlownessObservation { return r.observation }

// At returns the time of the observation, by the clock of the entry that holds the report.
func (r Report) At() time.Time { return r.at }

// isSlow reports whether the report makes an endpoint slow.
func (r *Report) isSlow() bool {
	if r.observation == protocol.SlowMeasured {
		return r.slowdown >= measuredSlowThreshold
	}
	return r.slowdown >= reportedSlowThreshold
}

// isNormal reports whether the report makes an endpoint normal.
func (r *Report) isNormal() bool {
	if r.observation == protocol.SlowMeasured {
		return r.slowdown <= measuredNormalThreshold
	}
	return r.slowdown < reportedNormalThreshold
}

// Change is what a report changes: Slow, Suspected, Recovered or NoChange.
type Change interface{ change() }

// Slow means that the endpoint is slow.
type Slow struct {
	slowdown     float64
	since, until time.Time
}

// Slowdown returns how many times longer than typical its work takes.
func (s Slow) Slowdown() float64 { return s.slowdown }

// Since returns when the endpoint became slow.
func (s Slow) Since() time.Time { return s.since }

// Until returns until when the report counts.
func (s Slow) Until() time.Time { return s.until }

// Suspected means that one response of the endpoint was late.
type Suspected struct{}

// Recovered means that a slow or suspected endpoint works at normal speed.
type Recovered struct{}

// NoChange means that the report changes nothing.
type NoChange struct{}

func (Slow) change()      {}
func (Suspected) change() {}
func (Recovered) change() {}
func (NoChange) change()  {}

// Tracker tracks the reports that count. The zero value is empty.
type Tracker struct {
	endpoints map[string]*endpointState // by endpoint ID
}

// endpointState is what is known about one endpoint.
type endpointState struct {
	incarnation   protocol.Incarnation
	slowdown      float64   // 0 unless it is slow
	since         time.Time // when it became slow
	lastReport    time.Time // time of the latest applied observation
	expires       time.Time
	lateResponses int               // late responses while it is not slow
	lastNumber    map[string]uint64 // number of the last report of each observer
}

// Apply applies a report and returns what it changes.
func (t *Tracker) Apply(r Report, now time.Time) Change {
	t.expire(now)
	if now.Sub(r.at) >= ReportTTL || r.at.After(now) || math.IsNaN(r.slowdown) || r.slowdown <= 0 {
		return NoChange{}
	}
	s := t.endpoints[r.endpoint]
	if s == nil {
		if !r.isSlow() || len(t.endpoints) >= maxEndpoints {
			return NoChange{}
		}
		s = t.addState(r.endpoint)
	}
	return s.apply(&r, now)
}

// expire removes the endpoints whose reports no longer count.
func (t *Tracker) expire(now time.Time) {
	for id, s := range t.endpoints {
		if !now.Before(s.expires) {
			delete(t.endpoints, id)
		}
	}
}

// addState adds the state of an endpoint.
func (t *Tracker) addState(endpoint string) *endpointState {
	if t.endpoints == nil {
		t.endpoints = make(map[string]*endpointState)
	}
	s := &endpointState{lastNumber: make(map[string]uint64)}
	t.endpoints[endpoint] = s
	return s
}

// apply applies a report, unless it is about an earlier incarnation or older than what is known.
func (s *endpointState) apply(r *Report, now time.Time) Change {
	if r.incarnation.Before(s.incarnation) || r.number <= s.lastNumber[r.observer] {
		return NoChange{}
	}
	s.lastNumber[r.observer] = r.number
	if s.incarnation.Before(r.incarnation) && s.slowdown > 0 {
		return s.applyNewIncarnation(r, now)
	}
	if r.at.Before(s.lastReport) {
		return NoChange{}
	}
	s.incarnation = max(s.incarnation, r.incarnation)
	switch {
	case s.slowdown > 0:
		return s.applyWhileSlow(r, now)
	case !r.isSlow():
		return s.clearSuspicion(r)
	case r.observation == protocol.SlowMeasured:
		return s.countLateResponse(r)
	default:
		return s.markSlow(r)
	}
}

// applyNewIncarnation applies a report about a later incarnation than the one that was slow.
func (s *endpointState) applyNewIncarnation(r *Report, now time.Time) Change {
	s.incarnation = r.incarnation
	if r.isSlow() {
		return s.markSlow(r)
	}
	return s.markRecovered(r, now)
}

// countLateResponse counts a late response.
func (s *endpointState) countLateResponse(r *Report) Change {
	s.lateResponses++
	if s.lateResponses >= minLateResponses {
		return s.markSlow(r)
	}
	s.lastReport = r.at
	s.expires = r.at.Add(ReportTTL)
	return Suspected{}
}

// clearSuspicion applies a report of an endpoint that is not slow. A timely response ends the
// suspicion at all entries: an endpoint that loses some responses sends others in between.
func (s *endpointState) clearSuspicion(r *Report) Change {
	if s.lateResponses == 0 || !r.isNormal() {
		return NoChange{}
	}
	s.lateResponses = 0
	s.lastReport = r.at
	return Recovered{}
}

// markSlow records that the endpoint is slow from the time of the report.
func (s *endpointState) markSlow(r *Report) Change {
	s.since = r.at
	s.slowdown, s.lateResponses = 0, 0
	return s.update(r)
}

// update records that the endpoint is as slow as the report says. A pending response only gives a
// lower bound of the slowdown.
func (s *endpointState) update(r *Report) Change {
	if r.observation == protocol.SlowReported || r.slowdown > s.slowdown {
		s.slowdown = max(r.slowdown, reportedSlowThreshold)
	}
	s.lastReport = r.at
	s.expires = r.at.Add(ReportTTL)
	return Slow{slowdown: s.slowdown, since: s.since, until: s.expires}
}

// applyWhileSlow applies a report about a slow endpoint.
func (s *endpointState) applyWhileSlow(r *Report, now time.Time) Change {
	switch {
	case r.isNormal():
		if now.Sub(s.since) < minSlowTime {
			return NoChange{}
		}
		return s.markRecovered(r, now)
	case r.observation == protocol.SlowMeasured && !r.isSlow():
		return NoChange{}
	case r.at.Sub(s.lastReport) >= renewInterval, r.slowdown > s.slowdown*slowdownChangeFactor, r.observation == protocol.SlowReported && r.slowdown < s.slowdown/slowdownChangeFactor:
		return s.update(r)
	default:
		return NoChange{}
	}
}

// markRecovered records that the endpoint works at normal speed. Its state stays for a while, so
// that older reports that arrive late change nothing.
func (s *endpointState) markRecovered(r *Report, now time.Time) Change {
	s.slowdown, s.lateResponses = 0, 0
	s.lastReport = r.at
	s.expires = now.Add(ReportTTL)
	return Recovered{}
}
