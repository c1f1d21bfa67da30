// SPDX-License-Identifier: Apache-2.0

package loss

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// occupantReportInterval is how long the same report of an address is not passed on again. Every
// request in flight to the address makes the same observation.
const occupantReportInterval = time.Second

// AddressOwnerObserved means that a process answered at the endpoint's address: the endpoint itself,
// another one, or a process without the layers of the endpoint's record. One observer suffices,
// because the observation is an answer. The number of such endpoints is not limited as that of
// losses is: an entry that is cut off gets no answers, so it cannot make such reports.
type AddressOwnerObserved struct{}

func (AddressOwnerObserved) change() {}

// occupantReport is the latest report of the process at an endpoint's address.
type occupantReport struct {
	observation protocol.LossObservation
	occupant    string
	at          time.Time
}

// reportsOccupant reports whether a report says which process answers at the endpoint's address.
func (r *Report) reportsOccupant() bool {
	return r.observation == protocol.LossMismatch || r.observation == protocol.LossAnswered && r.occupant != ""
}

// applyOccupant applies a report of the process at an endpoint's address.
func (t *Tracker) applyOccupant(r Report, s *endpointState, now time.Time) Change {
	if s == nil {
		s = t.addState(&r)
	}
	report := occupantReport{observation: r.observation, occupant: r.occupant, at: r.at}
	if !s.occupant.isUpdate(&report) {
		return NoChange{}
	}
	s.occupant = report
	if expires := now.Add(ReportTTL); expires.After(s.expires) {
		s.expires = expires
	}
	return AddressOwnerObserved{}
}

// isUpdate reports whether a later report says something new.
func (o *occupantReport) isUpdate(report *occupantReport) bool {
	if o.observation == report.observation && o.occupant == report.occupant {
		return report.at.After(o.at.Add(occupantReportInterval))
	}
	return report.at.After(o.at)
}
