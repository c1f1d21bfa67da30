// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Report is what an entry, the observer, observed about some work at an endpoint.
type Report struct {
	content     Content
	observation protocol.WorkObservation
	endpoint    string
	incarnation protocol.Incarnation
	observer    string
	at          time.Time
	unresolved  bool // it may become known soon whether the endpoint crashed
}

// NewReport returns the report of an observer. The time is by the clock of the entry that holds the
// report.
func NewReport(message protocol.WorkReport, at time.Time) Report {
	return Report{content: NewContent(message.Work, message.Parts), observation: message.Observation, endpoint: message.Endpoint, incarnation: message.Incarnation, observer: message.Observer, at: at}
}

// AsUnresolved returns a copy of the report for work that failed at an endpoint that may or may not
// have crashed. Whether it did may become known soon.
func (r Report) AsUnresolved() Report { //nolint:gocritic // the result is a copy
	r.unresolved = true
	return r
}

// Message returns the report as the message that is sent to other entries at a time.
func (r *Report) Message(now time.Time) protocol.WorkReport {
	const perMS = float64(time.Millisecond)
	return protocol.WorkReport{
		Work: r.content.whole, Parts: r.content.parts, Observation: r.observation, Endpoint: r.endpoint, Incarnation: r.incarnation, Observer: r.observer,
		AgoMS: max(0, float64(now.Sub(r.at))/perMS),
	}
}

// Content returns what the request may have in common with others.
func (r *Report) Content() *Content { return &r.content }

// Observation returns what the observer observed.
func (r *Report) Observation() protocol.WorkObservation { return r.observation }

// Endpoint returns the ID of the endpoint.
func (r *Report) Endpoint() string { return r.endpoint }

// Incarnation returns the incarnation of the endpoint, 0 if it is not known.
func (r *Report) Incarnation() protocol.Incarnation { return r.incarnation }

// Observer returns the name of the entry that made the observation.
func (r *Report) Observer() string { return r.observer }

// At returns the time of the observation.
func (r *Report) At() time.Time { return r.at }

// crashID identifies a crash of an endpoint. Each incarnation crashes at most once.
type crashID struct {
	endpoint    string
	incarnation protocol.Incarnation
}

func (r *Report) crashID() crashID { return crashID{endpoint: r.endpoint, incarnation: r.incarnation} }
