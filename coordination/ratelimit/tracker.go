// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// Retention is how long reports are kept for entries that start.
	Retention = time.Minute
	// confirmInterval is the age of the last report of a limit from which an answer that names the
	// same limit is reported, for entries that missed the first.
	confirmInterval = 5 * time.Second
	// spareRequests is how many requests more than the limit of one second all entries together may
	// send at once.
	spareRequests = 3.0
	// maxEndpoints bounds the endpoints that are tracked. It is a few times the size of a large fleet.
	maxEndpoints = 8192
)

// Tracker tracks the limits that one entry knows. The zero value knows no limit and no entry.
type Tracker struct {
	endpoints  map[string]*endpointState // by endpoint ID
	members    members
	lastNumber uint64 // of this entry's reports
}

// endpointState is what is known of the limit of one endpoint.
type endpointState struct {
	endpoint    string
	incarnation protocol.Incarnation
	limit       float64   // requests a second, 0 for none
	namedAt     time.Time // when an answer last named a limit
	endedAt     time.Time // when the request was sent whose answer named none
	reportedAt  time.Time // when the limit was last reported
	usedAt      time.Time // when the endpoint last named a limit, or a request was to be sent to it under one
	bucket      bucket
	used        usage // requests sent
	share       ownShare
	peers       map[string]*peer // other entries that reported anything, by name
	droppedAt   time.Time        // when old peers were last dropped
	wantedAt    time.Time        // when this entry last had a request for the endpoint
	announcedAt time.Time        // when this entry last reported that it wants more
}

// peer is another entry that reported something about an endpoint.
type peer struct {
	lastNumber uint64 // of its last report
	heardAt    time.Time
	wantsUntil time.Time // when its report that it wants more expires, zero for none
	loan       loan      // its share, if it has lent that
}

// SetMembers sets the name of this entry and those of all entries. It has no share of any limit as
// long as it is not among them.
func (t *Tracker) SetMembers(self string, names []string) { t.members.set(self, names) }

// Empty reports whether no endpoint is known to have or to have had a limit.
func (t *Tracker) Empty() bool { return len(t.endpoints) == 0 }

// Limit returns the limit of an endpoint in requests a second, 0 for none.
func (t *Tracker) Limit(target protocol.EndpointProcess) float64 {
	if s := t.limited(target); s != nil {
		return s.limit
	}
	return 0
}

// AddTracked adds the IDs of the endpoints that have a limit to a set.
func (t *Tracker) AddTracked(ids map[string]bool) {
	for id, s := range t.endpoints {
		if s.limit > 0 {
			ids[id] = true
		}
	}
}

// limited returns the state of an endpoint that has a limit, nil if it has none.
func (t *Tracker) limited(target protocol.EndpointProcess) *endpointState {
	s := t.endpoints[target.ID]
	if s == nil || s.limit == 0 || s.incarnation.Before(target.Incarnation) {
		return nil
	}
	return s
}

// RecordAnswer records the limit that an answer of an endpoint names, 0 for none. The answer's
// request was sent at sentAt. It returns what that changes, and the report to pass on if it is not
// NoChange.
func (t *Tracker) RecordAnswer(target protocol.EndpointProcess, limit float64, sentAt, now time.Time) (Report, Change) {
	if limit == 0 && t.endpoints[target.ID] == nil {
		return Report{}, NoChange{}
	}
	r := t.newReport(target, protocol.RateLimitNamed, limit, now)
	if limit == 0 {
		r.message.Observation, r.at = protocol.RateLimitEnded, sentAt
	}
	s := t.stateOf(&r, now)
	if s == nil {
		return r, NoChange{}
	}
	return r, s.applyAnswer(&r, now)
}

// newReport returns a report of this entry.
func (t *Tracker) newReport(target protocol.EndpointProcess, o protocol.RateObservation, limit float64, now time.Time) Report {
	// The number is at least the current time, so that the reports of a restarted entry have higher
	// numbers than those before.
	t.lastNumber = max(t.lastNumber+1, uint64(max(0, now.UnixNano())))
	return Report{at: now, message: protocol.RateReport{
		Endpoint: target.ID, Incarnation: target.Incarnation, Observer: t.members.self, Number: t.lastNumber, Observation: o, Limit: limit,
	}}
}

// Apply applies a report of another entry.
func (t *Tracker) Apply(r Report, now time.Time) Change {
	if r.Observer() == t.members.self || r.at.After(now) || now.Sub(r.at) > Retention {
		return NoChange{}
	}
	s := t.stateOf(&r, now)
	if s == nil || s.ignoresWant(&r, now) || !s.advance(&r, now) {
		return NoChange{}
	}
	switch r.Observation() {
	case protocol.RateLimitNamed, protocol.RateLimitEnded:
		return s.applyAnswer(&r, now)
	default:
		return t.applyShares(s, &r, now)
	}
}

// applyAnswer applies a report of an answer.
func (s *endpointState) applyAnswer(r *Report, now time.Time) Change {
	if r.message.Incarnation.Before(s.incarnation) {
		return NoChange{}
	}
	before := s.limit
	s.advanceTo(r.message.Incarnation)
	if r.Observation() == protocol.RateLimitEnded {
		s.applyEnd(r)
		return changeOf(before, s.limit, false)
	}
	return changeOf(before, s.limit, s.applyNamed(r, now))
}

// applyEnd applies an answer without a limit. It proves nothing if its request was sent before an
// answer named one.
func (s *endpointState) applyEnd(r *Report) {
	if s.namedAt.Before(r.at) && s.endedAt.Before(r.at) {
		s.endedAt = r.at
		s.limit = 0
	}
}

// applyNamed applies an answer that names a limit, and reports whether the other entries should be
// told of it again.
func (s *endpointState) applyNamed(r *Report, now time.Time) bool {
	if !s.namedAt.Before(r.at) || r.at.Before(s.endedAt) {
		return false
	}
	s.namedAt, s.usedAt = r.at, now
	s.setLimit(r.message.Limit, now)
	if r.at.Sub(s.reportedAt) < confirmInterval {
		return false
	}
	s.reportedAt = r.at
	return true
}

// setLimit sets the limit. After a time without one all buckets are empty.
func (s *endpointState) setLimit(limit float64, now time.Time) {
	s.refill(now)
	if s.limit == 0 {
		s.bucket = bucket{filledAt: now}
	}
	s.limit = limit
}

// changeOf returns what a report changed, if it should be passed on.
func changeOf(before, limit float64, passOn bool) Change {
	switch {
	case before != limit:
		return LimitChanged{before: before, limit: limit}
	case passOn:
		return SharesChanged{}
	default:
		return NoChange{}
	}
}

// applyShares applies a report that another entry wants more, or lends its share. An entry that does
// not know the limit learns it from the report.
func (t *Tracker) applyShares(s *endpointState, r *Report, now time.Time) Change {
	if r.message.Incarnation.Before(s.incarnation) {
		return NoChange{}
	}
	before := s.limit
	s.advanceTo(r.message.Incarnation)
	if s.limit == 0 {
		if !s.endedAt.Before(r.at) {
			return NoChange{}
		}
		s.namedAt, s.reportedAt = r.at, r.at
		s.setLimit(r.message.Limit, now)
	}
	s.usedAt = now
	if r.Observation() == protocol.RateLimitLent {
		return changeOf(before, s.limit, t.applyLoan(s, r, now))
	}
	return changeOf(before, s.limit, s.applyWant(r, now))
}

// advance records a report of another entry, and reports whether it is a new one.
func (s *endpointState) advance(r *Report, now time.Time) bool {
	s.dropOldPeers(now)
	p := s.peers[r.Observer()]
	if p == nil {
		p = &peer{}
		s.peers[r.Observer()] = p
	}
	if r.message.Number <= p.lastNumber {
		return false
	}
	p.lastNumber, p.heardAt = r.message.Number, now
	return true
}

// dropOldPeers forgets the entries whose reports are all so old that none of them can come again.
func (s *endpointState) dropOldPeers(now time.Time) {
	if now.Sub(s.droppedAt) < Retention {
		return
	}
	s.droppedAt = now
	for name, p := range s.peers {
		if now.Sub(p.heardAt) > Retention {
			delete(s.peers, name)
		}
	}
}

// stateOf returns the state of a report's endpoint, and adds it if there is none. It returns nil if
// there are too many.
func (t *Tracker) stateOf(r *Report, now time.Time) *endpointState {
	if s := t.endpoints[r.Endpoint()]; s != nil {
		return s
	}
	if len(t.endpoints) >= maxEndpoints {
		return nil
	}
	if t.endpoints == nil {
		t.endpoints = make(map[string]*endpointState)
	}
	s := &endpointState{endpoint: r.Endpoint(), incarnation: r.message.Incarnation, peers: make(map[string]*peer), usedAt: now}
	t.endpoints[r.Endpoint()] = s
	return s
}

// advanceTo forgets everything about earlier incarnations than the given one.
func (s *endpointState) advanceTo(incarnation protocol.Incarnation) {
	if !s.incarnation.Before(incarnation) {
		return
	}
	for _, p := range s.peers {
		p.wantsUntil, p.loan = time.Time{}, loan{}
	}
	*s = endpointState{endpoint: s.endpoint, incarnation: incarnation, peers: s.peers, droppedAt: s.droppedAt, usedAt: s.usedAt}
}

// Sweep forgets the endpoints whose limit has ended, or that do not exist any more, and that were not
// used for Retention.
func (t *Tracker) Sweep(exists func(endpoint string) bool, now time.Time) {
	for id, s := range t.endpoints {
		if now.Sub(s.usedAt) > Retention && (s.limit == 0 || !exists(id)) {
			delete(t.endpoints, id)
		}
	}
}

// maxShares returns into how many shares a limit may be divided: each may have one request on its way
// at any time, however small it is.
func maxShares(limit float64) int { return int(math.Floor(limit + spareRequests)) }
