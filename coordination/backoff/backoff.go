// SPDX-License-Identifier: Apache-2.0

// Package backoff decides when an entry may send to an endpoint that asked for backoff or that leaves.
//
// An endpoint that turns a request away may say for how long it wants nothing more from the entry
// that sent it. After that time its state is unknown, and all requests that waited would reach it at
// once. So a single request is tried first, and the others follow when its answer asks for no further
// backoff. An endpoint that says that it leaves gets nothing more in that incarnation.
//
//	tracker.RecordAnswer(endpoint, answer, now)
//	at, ever := tracker.NextAt(endpoint, now)  // when the endpoint takes the next request
//	if tracker.Take(endpoint, now) { /* send the request */ }
package backoff

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// trialTimeout is how long the answer to the request that is tried after a backoff is awaited before
	// another one is tried: an answer begins within some tenths of a second.
	trialTimeout = time.Second
	// trialPoll is when others should look again while a request is tried.
	trialPoll = 100 * time.Millisecond
	// retention is how long the state of an endpoint that does not exist any more is kept.
	retention = time.Minute
)

// Answer is what an answer of an endpoint says about further requests.
type Answer struct {
	RetryAt time.Time // until when the endpoint wants none from this entry, zero if it does not say so
	Leaving bool      // the endpoint wants none any more
	SentAt  time.Time // when the request was sent
}

// Tracker tracks the endpoints that want no request, or whose backoff is over and that were not tried
// yet. The zero value tracks none.
type Tracker struct {
	endpoints map[string]*endpointState // by endpoint ID
}

// endpointState is the state of one endpoint.
type endpointState struct {
	incarnation protocol.Incarnation
	retryAt     time.Time
	leaving     bool
	trialUntil  time.Time // until when the answer to a tried request is awaited, zero if none was tried
	heardAt     time.Time
}

// Empty reports whether no endpoint is tracked.
func (t *Tracker) Empty() bool { return len(t.endpoints) == 0 }

// AddTracked adds the IDs of the tracked endpoints to a set.
func (t *Tracker) AddTracked(ids map[string]bool) {
	for id := range t.endpoints {
		ids[id] = true
	}
}

// RecordAnswer records an answer, and reports whether it is the first by which the endpoint says that
// it leaves.
func (t *Tracker) RecordAnswer(endpoint protocol.EndpointProcess, a Answer, now time.Time) (leaves bool) {
	s := t.endpoints[endpoint.ID]
	if a.RetryAt.IsZero() && !a.Leaving {
		if s != nil {
			t.recordServed(s, endpoint, a.SentAt)
		}
		return false
	}
	if s != nil && endpoint.Incarnation.Before(s.incarnation) {
		return false
	}
	if s == nil || s.incarnation.Before(endpoint.Incarnation) {
		s = t.add(endpoint)
	}
	s.heardAt = now
	if a.RetryAt.After(s.retryAt) {
		s.retryAt = a.RetryAt
	}
	if !a.RetryAt.IsZero() {
		s.trialUntil = time.Time{}
	}
	leaves = a.Leaving && !s.leaving
	s.leaving = s.leaving || a.Leaving
	return leaves
}

// recordServed forgets the backoff of an endpoint that was tried after it and asked for no other.
func (t *Tracker) recordServed(s *endpointState, endpoint protocol.EndpointProcess, sentAt time.Time) {
	if !s.leaving && !sentAt.Before(s.retryAt) && !endpoint.Incarnation.Before(s.incarnation) {
		delete(t.endpoints, endpoint.ID)
	}
}

// add adds the state of an incarnation of an endpoint.
func (t *Tracker) add(endpoint protocol.EndpointProcess) *endpointState {
	if t.endpoints == nil {
		t.endpoints = make(map[string]*endpointState)
	}
	s := &endpointState{incarnation: endpoint.Incarnation}
	t.endpoints[endpoint.ID] = s
	return s
}

// NextAt returns when an endpoint takes the next request, now or earlier if at once, and false if it
// takes none any more.
func (t *Tracker) NextAt(endpoint protocol.EndpointProcess, now time.Time) (at time.Time, ever bool) {
	s := t.endpoints[endpoint.ID]
	switch {
	case s == nil || s.incarnation.Before(endpoint.Incarnation):
		return now, true
	case s.leaving:
		return time.Time{}, false
	case now.Before(s.retryAt):
		return s.retryAt, true
	case now.Before(s.trialUntil):
		return now.Add(trialPoll), true
	default:
		return now, true
	}
}

// Take reports whether an endpoint takes a request now. The first one after a backoff is a trial, whose
// answer is awaited before others are sent.
func (t *Tracker) Take(endpoint protocol.EndpointProcess, now time.Time) bool {
	if at, ever := t.NextAt(endpoint, now); !ever || at.After(now) {
		return false
	}
	if s := t.endpoints[endpoint.ID]; s != nil {
		s.trialUntil = now.Add(trialTimeout)
	}
	return true
}

// Sweep forgets endpoints that do not exist any more.
func (t *Tracker) Sweep(exists func(endpoint string) bool, now time.Time) {
	for id, s := range t.endpoints {
		if now.Sub(s.heardAt) > retention && !exists(id) {
			delete(t.endpoints, id)
		}
	}
}
