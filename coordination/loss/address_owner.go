// SPDX-License-Identifier: Apache-2.0

package loss

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// ownerReportInterval is the least time after which the same report of an address is passed on
// again. Every request in flight to the address makes the same observation.
const ownerReportInterval = time.Second

// AddressOwnerObserved means that a process answered at the endpoint's address: the endpoint
// itself, another one, or a process without the layers of the endpoint's record. One observer
// suffices, because the observation is an answer. Unlike losses, such reports are not limited in
// number: an entry that is cut off gets no answers, so it cannot make such reports.
type AddressOwnerObserved struct{}

func (AddressOwnerObserved) change() {}

// ownerReport is the latest report of the process at an endpoint's address.
type ownerReport struct {
	observation  protocol.LossObservation
	addressOwner string
	at           time.Time
}

// reportsOwner reports whether a report says which process answers at the endpoint's address.
func (r *Report) reportsOwner() bool {
	return r.observation == protocol.LossMismatch || r.observation == protocol.LossAnswered && r.addressOwner != ""
}

// applyOwner applies a report of the process at an endpoint's address.
func (t *Tracker) applyOwner(r Report, s *endpointState, now time.Time) Change {
	if s == nil {
		s = t.addState(&r)
	}
	report := ownerReport{observation: r.observation, addressOwner: r.addressOwner, at: r.at}
	if !s.lastOwner.isUpdate(&report) {
		return NoChange{}
	}
	s.lastOwner = report
	if expires := now.Add(ReportTTL); expires.After(s.expires) {
		s.expires = expires
	}
	return AddressOwnerObserved{}
}

// isUpdate reports whether a later report says something new.
func (o *ownerReport) isUpdate(report *ownerReport) bool {
	if o.observation == report.observation && o.addressOwner == report.addressOwner {
		return report.at.After(o.at.Add(ownerReportInterval))
	}
	return report.at.After(o.at)
}
