// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// reportTrust is the age at which a load report counts for nothing.
	reportTrust = 5 * time.Second
	// maxReportSkew is how far ahead a report's clock may run.
	maxReportSkew = 2 * time.Second
)

// ReportFault says why a load report was not believed.
type ReportFault uint8

// The reasons to ignore a load report.
const (
	ReportAccepted ReportFault = iota
	ReportWrongRunner
	ReportInvalid
	ReportFromFuture
	ReportExpired
)

// Report takes a load report, or says why it was ignored.
func (r *Runner) Report(l protocol.LoadReport, now time.Time) ReportFault {
	at := time.UnixMilli(l.UnixMS)
	switch {
	case l.Runner != r.spec.Name:
		return ReportWrongRunner
	case l.Queued < 0 || l.Streams < 0 || l.From != r.spec.From || l.To != r.spec.To:
		return ReportInvalid
	case at.After(now.Add(maxReportSkew)):
		return ReportFromFuture
	case now.Sub(at) > reportTrust:
		return ReportExpired
	}
	r.queued.Store(l.Queued)
	r.sentSince.Store(0)
	r.reportedAt.Store(min(at.UnixNano(), now.UnixNano()))
	if l.Leaving {
		r.MarkLeaving()
	}
	return ReportAccepted
}

// ReportedQueue returns the layer passes queued at the runner by its last report,
// uncorrected.
func (r *Runner) ReportedQueue() float64 { return float64(r.queued.Load()) }
