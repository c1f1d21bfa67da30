// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// reportTTL is the age from which a load report is ignored.
	reportTTL = 5 * time.Second
	// maxReportSkew is how far the clock of a report may run ahead.
	maxReportSkew = 2 * time.Second
)

// ReportFault is the reason why a load report was ignored.
type ReportFault uint8

// The results of checking a load report.
const (
	ReportAccepted ReportFault = iota
	ReportWrongRunner
	ReportInvalid
	ReportFromFuture
	ReportExpired
)

// Report applies a load report, or returns why it was ignored.
func (r *Runner) Report(report protocol.LoadReport, now time.Time) ReportFault {
	at := time.UnixMilli(report.UnixMS)
	switch {
	case report.Runner != r.spec.Name:
		return ReportWrongRunner
	case report.Queued < 0 || report.Streams < 0 || report.From != r.spec.From || report.To != r.spec.To:
		return ReportInvalid
	case at.After(now.Add(maxReportSkew)):
		return ReportFromFuture
	case now.Sub(at) > reportTTL:
		return ReportExpired
	}
	r.queued.Store(report.Queued)
	r.sentSince.Store(0)
	r.reportedAt.Store(min(at.UnixNano(), now.UnixNano()))
	if report.Leaving {
		r.MarkLeaving()
	}
	return ReportAccepted
}

// ReportedQueue returns the layer passes queued at the runner by its last report, without
// correction for the time since.
func (r *Runner) ReportedQueue() float64 { return float64(r.queued.Load()) }
