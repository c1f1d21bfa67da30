// SPDX-License-Identifier: Apache-2.0

// Package loss combines the reports of entries about lost endpoints.
//
// The platform's list drops an endpoint three heartbeats after its death. In these four seconds or
// so, requests of each entry would fail at the dead endpoint. So entries report to each other what
// they observe, and a Tracker decides what the reports change:
//
//	switch c := tracker.Apply(report, known, now).(type) {
//	case loss.Lost:             // send it no work until c.Until(); pass the report on
//	case loss.Suspected:        // send it no work for a moment; pass the report on
//	case loss.Recovered:        // it works after all; pass the report on
//	case loss.AddressOwnerObserved: // which process answers at its address; pass the report on
//	case loss.NoChange:         // already known, or not credible
//	}
package loss

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// ReportTTL is how long a report counts. A dead endpoint leaves the platform's list after three
	// heartbeats of 1.2 s, and that change takes a moment to arrive.
	ReportTTL = 4 * time.Second
	// minObservers is how many entries must have found an endpoint silent before it counts as lost.
	// A single entry may be cut off from it.
	minObservers = 2
	// maxLostShare is the largest share of all endpoints that may be lost by reports at the same
	// time. Losses of a fifth of the endpoints at once do occur. A few entries that cannot reach
	// any endpoint must not empty the lists of all others.
	maxLostShare = 0.34
	// minLostLimit is the limit for fleets of few endpoints.
	minLostLimit = 2
)

// Report is what an entry, the observer, observed at an endpoint.
type Report struct {
	endpoint     string
	observer     string
	observation  protocol.LossObservation
	at           time.Time
	incarnation  protocol.Incarnation
	addressOwner string
}

// NewReport returns the report of an observer.
func NewReport(endpoint, observer string, observation protocol.LossObservation, at time.Time) Report {
	return Report{endpoint: endpoint, observer: observer, observation: observation, at: at}
}

// Endpoint returns the ID of the endpoint.
func (r Report) Endpoint() string { return r.endpoint }

// Observer returns the name of the entry that made the observation.
func (r Report) Observer() string { return r.observer }

// Observation returns what the observer observed.
func (r Report) Observation() protocol.LossObservation { return r.observation }

// At returns the time of the observation, by the clock of the entry that holds the report.
func (r Report) At() time.Time { return r.at }

// WithIncarnation returns the report with the incarnation of the endpoint that was observed.
func (r Report) WithIncarnation(incarnation protocol.Incarnation) Report {
	r.incarnation = incarnation
	return r
}

// WithAddressOwner returns the report with the ID of the process that answers at the endpoint's
// address.
func (r Report) WithAddressOwner(owner string) Report {
	r.addressOwner = owner
	return r
}

// Incarnation returns the incarnation of the endpoint that was observed, 0 if it is not known.
func (r Report) Incarnation() protocol.Incarnation { return r.incarnation }

// AddressOwner returns the ID of the process that answers at the endpoint's address, "" if it is not
// known.
func (r Report) AddressOwner() string { return r.addressOwner }

// Change is what a report changes: Lost, Suspected, Recovered, AddressOwnerObserved or NoChange.
type Change interface{ change() }

// Lost means that the endpoint is lost.
type Lost struct {
	at, until time.Time
	refused   bool
}

// At returns the time of the observation. Later messages from the endpoint disprove the loss.
func (l Lost) At() time.Time { return l.at }

// Refused reports whether the endpoint refused a connection. One that is only silent may go on.
func (l Lost) Refused() bool { return l.refused }

// Until returns until when the reports count.
func (l Lost) Until() time.Time { return l.until }

// Suspected means that one entry found the endpoint silent.
type Suspected struct{}

// Recovered means that a suspected or lost endpoint works.
type Recovered struct{}

// NoChange means that the report changes nothing.
type NoChange struct{}

func (Lost) change()      {}
func (Suspected) change() {}
func (Recovered) change() {}
func (NoChange) change()  {}

// Tracker tracks the reports that count. The zero value is empty.
type Tracker struct {
	endpoints map[string]*endpointState // by endpoint ID
}

// endpointState is what is reported about one endpoint.
type endpointState struct {
	lost        bool
	refused     bool            // it refused a connection
	silentTo    map[string]bool // observers that found it silent
	lastFailure time.Time       // time of the latest failure
	lastAnswer  time.Time       // when it last answered; disproves earlier failures
	expires     time.Time
	incarnation protocol.Incarnation // incarnation of the reports, 0 if it is not known
	lastOwner   ownerReport
}

// suspected reports whether the endpoint is suspected or lost.
func (s *endpointState) suspected() bool { return s.lost || len(s.silentTo) > 0 }

// Apply applies a report and returns what it changes. Known is the number of known endpoints.
func (t *Tracker) Apply(r Report, known int, now time.Time) Change {
	t.expire(now)
	if now.Sub(r.at) > ReportTTL || r.at.After(now) {
		return NoChange{}
	}
	s := t.stateFor(&r)
	if s != nil && r.incarnation.Before(s.incarnation) {
		return NoChange{} // the report is about an earlier incarnation
	}
	if r.reportsOwner() {
		return t.applyOwner(r, s, now)
	}
	if r.observation == protocol.LossAnswered {
		return s.applyAnswer(r, now)
	}
	if (s == nil || !s.suspected()) && t.limitReached(known) {
		return NoChange{}
	}
	if s == nil {
		s = t.addState(&r)
	}
	return s.applyFailure(r, now)
}

// stateFor returns the state of the incarnation that a report is about, or nil. It drops the state
// of an earlier incarnation.
func (t *Tracker) stateFor(r *Report) *endpointState {
	s := t.endpoints[r.endpoint]
	if s != nil && s.incarnation.Before(r.incarnation) {
		delete(t.endpoints, r.endpoint)
		return nil
	}
	return s
}

// limitReached reports whether the number of suspected and lost endpoints has reached the limit.
func (t *Tracker) limitReached(known int) bool {
	suspected := 0
	for _, s := range t.endpoints {
		if s.suspected() {
			suspected++
		}
	}
	return float64(suspected) >= max(minLostLimit, maxLostShare*float64(known))
}

// applyAnswer applies a report that an endpoint answered. For most endpoints there is no state.
func (s *endpointState) applyAnswer(r Report, now time.Time) Change {
	if s == nil || !s.suspected() || !r.at.After(s.lastFailure) {
		return NoChange{}
	}
	s.lost, s.refused = false, false
	clear(s.silentTo)
	s.lastAnswer = r.at
	s.expires = now.Add(ReportTTL)
	return Recovered{}
}

func (t *Tracker) addState(r *Report) *endpointState {
	if t.endpoints == nil {
		t.endpoints = make(map[string]*endpointState)
	}
	s := &endpointState{silentTo: make(map[string]bool), incarnation: r.incarnation}
	t.endpoints[r.endpoint] = s
	return s
}

func (t *Tracker) expire(now time.Time) {
	for id, s := range t.endpoints {
		if now.After(s.expires) {
			delete(t.endpoints, id)
		}
	}
}

func (s *endpointState) applyFailure(r Report, now time.Time) Change {
	refused := r.observation == protocol.LossRefused
	if s.lost && (s.refused || !refused) || !refused && s.silentTo[r.observer] || !r.at.After(s.lastAnswer) {
		return NoChange{}
	}
	if r.at.After(s.lastFailure) {
		s.lastFailure = r.at
	}
	s.expires = now.Add(ReportTTL)
	if !refused {
		s.silentTo[r.observer] = true
	}
	if refused || len(s.silentTo) >= minObservers {
		s.lost, s.refused = true, refused
		return Lost{at: s.lastFailure, until: s.expires, refused: refused}
	}
	return Suspected{}
}
