// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// maxSlownessReports bounds the slowness reports that are kept for later followers. The oldest are
// dropped first, since a report is repeated as long as its endpoint is slow.
const maxSlownessReports = 1024

// slownessReports holds the slowness reports that this entry made or received, and passes them on
// along the relay tree as lossReports does: it sends each report that changes something once, and
// not back to the peer that it came from. The zero value is empty.
type slownessReports struct {
	mutex      sync.Mutex
	tracker    slow.Tracker
	log        reportLog
	lastNumber uint64 // number of the last report of this entry
}

// ReportSlowdown passes on an observation of an endpoint's slowdown by this entry. It fills in the
// observer and the number.
func (s *Source) ReportSlowdown(report protocol.SlownessReport, at time.Time) {
	report.Observer = s.Self.Name
	report.Number = s.slowness.nextNumber()
	s.applySlowness(slow.NewReport(report, at), "")
}

// applySlowness applies a report and passes it on if it changes anything.
func (s *Source) applySlowness(r slow.Report, from string) {
	change := s.slowness.apply(r, from, clock.Now())
	if _, nothing := change.(slow.NoChange); nothing || s.OnSlownessChange == nil {
		return
	}
	s.OnSlownessChange(r, change)
}

// receiveSlowness applies the reports that a peer sent.
func (s *Source) receiveSlowness(messages []protocol.SlownessReport, from string) {
	now := clock.Now()
	for _, m := range messages {
		at := now.Add(-time.Duration(m.AgoMS * float64(time.Millisecond)))
		s.applySlowness(slow.NewReport(m, at), from)
	}
}

// nextNumber returns the number of this entry's next report. It is at least the current time in
// nanoseconds, so that the reports of a restarted entry have higher numbers than those before.
func (s *slownessReports) nextNumber() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastNumber = max(s.lastNumber+1, uint64(time.Now().UnixNano()))
	return s.lastNumber
}

// apply applies a report, and keeps it to be passed on if it changes something.
func (s *slownessReports) apply(r slow.Report, from string, now time.Time) slow.Change {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change := s.tracker.Apply(r, now)
	if _, nothing := change.(slow.NoChange); nothing {
		return change
	}
	s.log.add(r, from, now.Add(-slow.ReportTTL), maxSlownessReports)
	return change
}

// since returns the reports after a number that must be sent to a peer, and the number of the last
// report.
func (s *slownessReports) since(number uint64, peer string, now time.Time) ([]protocol.SlownessReport, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reports, last := s.log.since(number, peer, now.Add(-slow.ReportTTL))
	var messages []protocol.SlownessReport
	for _, r := range reports {
		messages = append(messages, r.(slow.Report).Message(now))
	}
	return messages, last
}
