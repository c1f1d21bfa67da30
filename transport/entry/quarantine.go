// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/crashcheck"
	"pinerun.example/pinerun/transport/relay"
)

const (
	// resendInterval is how often recent reports are sent again, because a frame to a peer may be
	// lost.
	resendInterval = time.Second
	// resendMaxAge is the maximum age of a report that is sent again. A peer that connects later
	// gets all retained reports.
	resendMaxAge = 5 * time.Second
	// maxRetainedReports is the maximum number of reports retained for peers that connect later, and of
	// reports about runners that are not known yet. Each takes about 100 bytes.
	maxRetainedReports = 1024
)

// workQuarantine tracks which work may crash the runners that it runs on, from reports of this entry
// and its peers. Reports outlast the attempt they come from. When they did not, one request and its
// repeats, ten in all at two entries, crashed two runners 25 times, and four runners 50 times. With
// retained reports, four runners crashed 3 or 4 times in each of 64 runs.
type workQuarantine struct {
	entry   *Entry
	tracker relay.Quarantine

	lastReported uint64    // number of the last report sent to peers
	resentAt     time.Time // when recent reports were last sent again

	done        lifecycle.Done
	crashChecks crashcheck.Checker
	mutex       sync.Mutex
	pending     []suspectedCrash // not probed yet
	retained    []retainedReport // for peers that connect later
}

// run sends new reports to peers and logs new refusals until the quarantine is closed.
func (q *workQuarantine) run() {
	t := time.NewTicker(quarantine.IsolationPollInterval)
	defer t.Stop()
	for {
		changed, ticks := q.tracker.Changed(), t.C
		if q.tracker.Empty() {
			ticks = nil // no work is suspected, so there is nothing to poll
		}
		select {
		case <-q.done.Done():
			return
		case <-changed:
		case <-ticks:
		}
		now := clock.Now()
		q.checkPending(now)
		q.logNewRefusals()
		q.broadcast(now)
	}
}

// close stops run and all probes.
func (q *workQuarantine) close() {
	q.done.Close()
	q.crashChecks.Close()
}

// logNewRefusals counts and logs the work that is newly refused.
func (q *workQuarantine) logNewRefusals() {
	refusals := q.tracker.NewRefusals(clock.Now(), time.Now())
	for i := range refusals {
		r := &refusals[i]
		q.entry.counters.Add(metric.WorkRefused, 1)
		event.WorkRefused.Log(q.entry.Logger, slog.String("fingerprint", r.Suspect().String()), slog.Int("ends", len(r.Crashes())),
			slog.String("crashes", r.CrashesText(time.Now())), slog.Int64("till_ms", clock.Until(r.Until()).Milliseconds()))
	}
}

// broadcast sends new reports to every peer, and repeats recent ones every resendInterval.
func (q *workQuarantine) broadcast(now time.Time) {
	reports, last := q.tracker.ReportsSince(q.lastReported, now)
	q.lastReported = last
	q.retain(reports, now)
	if now.Sub(q.resentAt) >= resendInterval {
		q.resentAt = now
		reports = append(reports, q.reportsSince(now.Add(-resendMaxAge), now)...)
	}
	if len(reports) > 0 {
		q.entry.mesh.Broadcast(protocol.PeerFrame{Work: reports})
	}
}

// retain stores reports for peers that connect later. It skips reports of isolated runs, which are
// over by then and may be so numerous that they would displace the reports of crashes.
func (q *workQuarantine) retain(reports []protocol.WorkReport, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, r := range reports {
		if r.Observation.Broke() || r.Observation == protocol.WorkRan {
			q.retained = append(q.retained, retainedReport{report: r, at: r.At(now)})
		}
	}
	q.retained = q.retained[max(0, len(q.retained)-maxRetainedReports):]
}

// retainedReport is a report for peers that connect later, and the time of its observation.
type retainedReport struct {
	report protocol.WorkReport
	at     time.Time
}

// reports returns the reports to send to a peer that has just connected.
func (q *workQuarantine) reports() []protocol.WorkReport {
	now := clock.Now()
	return q.reportsSince(now.Add(-quarantine.Retention), now)
}

// reportsSince returns the retained reports of observations after a time, with their current age.
func (q *workQuarantine) reportsSince(oldest, now time.Time) []protocol.WorkReport {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var reports []protocol.WorkReport
	for _, kept := range q.retained {
		if kept.at.After(oldest) {
			kept.report.AgoMS = float64(now.Sub(kept.at)) / float64(time.Millisecond)
			reports = append(reports, kept.report)
		}
	}
	return reports
}

// receive applies a peer's reports. This entry probes by itself whether a runner has crashed: a
// peer's report alone refuses no work.
func (q *workQuarantine) receive(reports []protocol.WorkReport, from string) {
	q.tracker.Receive(reports, from)
	now := clock.Now()
	q.mutex.Lock()
	for _, r := range reports {
		if r.Observation.Broke() {
			q.pending = append(q.pending, suspectedCrash{runner: r.Endpoint, incarnation: r.Incarnation, at: r.At(now)})
		}
	}
	q.mutex.Unlock()
	q.checkPending(now)
}

// suspectedCrash is an incarnation of a runner that may have crashed at a time, as a peer reports.
type suspectedCrash struct {
	runner      string
	incarnation protocol.Incarnation
	at          time.Time
}

// checkPending starts probes of the crashes that peers reported. An entry that has just started
// receives reports before it has a configuration that names the runners. It keeps those until the
// runner is known or the report expires.
func (q *workQuarantine) checkPending(now time.Time) {
	q.mutex.Lock()
	pending := q.pending
	q.pending = nil
	q.mutex.Unlock()
	var remaining []suspectedCrash
	for _, crash := range pending {
		r := q.runner(crash.runner)
		switch {
		case r != nil:
			q.checkCrash(r, crash.incarnation, time.Now().Add(-now.Sub(crash.at)))
		case now.Sub(crash.at) < quarantine.UnconfirmedRetention:
			remaining = append(remaining, crash)
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pending = append(q.pending, remaining...)
	q.pending = q.pending[max(0, len(q.pending)-maxRetainedReports):]
}

// runner returns the runner of that name, or nil if the configuration does not name it.
func (q *workQuarantine) runner(name string) *fleet.Runner {
	if view := q.entry.view.Load(); view != nil {
		return view.Runner(name)
	}
	return nil
}

// checkCrash starts probing whether an incarnation of a runner has crashed under a step sent at a
// time of day, unless such a probe is already running.
func (q *workQuarantine) checkCrash(r *fleet.Runner, incarnation protocol.Incarnation, sentAt time.Time) {
	q.crashChecks.Begin(&crashcheck.Suspect{
		Endpoint: r.Name(), Incarnation: incarnation, Recorder: &q.tracker, Logger: q.entry.Logger,
		Prober: &crashProbe{runner: r, incarnation: incarnation, sentAt: sentAt},
	}, clock.Now())
}
