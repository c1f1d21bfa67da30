// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Report is what an entry, the observer, reports about the rate limit of an endpoint.
type Report struct {
	message protocol.RateReport
	at      time.Time
}

// NewReport returns the report of a message, with the time of its observation by the clock of the
// entry that holds it.
func NewReport(message protocol.RateReport, at time.Time) Report {
	return Report{message: message, at: at}
}

// Message returns the report as the message that is sent to other entries at a time.
func (r Report) Message(now time.Time) protocol.RateReport {
	m := r.message
	m.AgoMS = max(0, float64(now.Sub(r.at))/float64(time.Millisecond))
	return m
}

// Endpoint returns the ID of the endpoint.
func (r Report) Endpoint() string { return r.message.Endpoint }

// Observer returns the name of the entry that made the report.
func (r Report) Observer() string { return r.message.Observer }

// Observation returns what was observed.
func (r Report) Observation() protocol.RateObservation { return r.message.Observation }

// At returns the time of the observation, by the clock of the entry that holds the report.
func (r Report) At() time.Time { return r.at }

// Change is what a report changes: LimitChanged, SharesChanged or NoChange.
type Change interface{ change() }

// LimitChanged means that another limit holds now.
type LimitChanged struct{ before, limit float64 }

// Before returns the limit until now in requests a second, 0 for none.
func (c LimitChanged) Before() float64 { return c.before }

// Limit returns the limit from now on in requests a second, 0 for none.
func (c LimitChanged) Limit() float64 { return c.limit }

// SharesChanged means that the limit stays, and that the report says something new about it or about
// its shares.
type SharesChanged struct{}

// NoChange means that the report says nothing new.
type NoChange struct{}

func (LimitChanged) change()  {}
func (SharesChanged) change() {}
func (NoChange) change()      {}
