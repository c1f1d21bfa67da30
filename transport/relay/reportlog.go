// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"time"

	"pinerun.example/pinerun/internal/lifecycle"
)

// report is a report that peers pass on: a loss.Report, a slow.Report or a *quarantine.Report. Each
// log holds one kind of them.
type report interface{ At() time.Time }

// reportLog holds the reports of this entry and of its peers that are passed on along the relay
// tree, also to entries that begin to follow later. Its owner's mutex guards it. The zero value is
// an empty log.
type reportLog struct {
	items      []loggedReport // ordered by number
	lastNumber uint64
	changed    lifecycle.Signal // signaled when a report is added
}

// loggedReport is a report and the peer that sent it, "" for this entry.
type loggedReport struct {
	number uint64
	report report
	from   string
}

// add appends a report. It drops the reports observed at or before cutoff, and the oldest ones if
// the log would hold more than limit, where 0 means no limit.
func (l *reportLog) add(r report, from string, cutoff time.Time, limit int) {
	drop := 0
	if limit > 0 {
		drop = max(0, len(l.items)-limit+1)
	}
	for drop < len(l.items) && !l.items[drop].report.At().After(cutoff) {
		drop++
	}
	l.items = l.items[drop:]
	l.lastNumber++
	l.items = append(l.items, loggedReport{number: l.lastNumber, report: r, from: from})
	l.changed.Broadcast()
}

// since returns the reports after a number that must be sent to a peer, and the number of the last
// report. It omits those that came from that peer or were observed at or before cutoff.
func (l *reportLog) since(number uint64, peer string, cutoff time.Time) ([]report, uint64) {
	var reports []report
	for _, item := range l.items {
		if item.number > number && item.from != peer && item.report.At().After(cutoff) {
			reports = append(reports, item.report)
		}
	}
	return reports, l.lastNumber
}
