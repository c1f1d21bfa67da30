// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// suspectDuration is how long the runners of a silent path get no new work while it is not
	// clear which of them is at fault.
	suspectDuration = 400 * time.Millisecond
	// silenceThreshold is how long a runner must not have been heard on any stream to be suspected.
	// A runner with a few streams is heard every ten milliseconds or so; the prefill of other
	// prompts delays all of them by some tens of milliseconds.
	silenceThreshold = 70 * time.Millisecond
	// minQueryInterval is the least time between two queries to one engine.
	minQueryInterval = 250 * time.Millisecond
	// queryTimeout bounds the wait for an engine's report.
	queryTimeout = 300 * time.Millisecond
)

// faultLocator finds out which runner of a silent path is at fault. Runners that other streams have
// heard since are cleared, the rest get no new work for a moment, and the first engine is asked
// what its requests wait for.
type faultLocator struct {
	forwarder *Forwarder
	throttle  queryThrottle
}

// silentRunners handles an attempt on which nothing was received since a time. It returns the
// runners of the path that were not heard on any other stream either, which get no new work for a
// moment. A path whose runners were all heard recently is busy, not dead.
func (l *faultLocator) silentRunners(a *attempt, since, now time.Time) []*fleet.Runner {
	var silent []*fleet.Runner
	for i := range a.path.Len() {
		r := a.path.Runner(i)
		if heard := r.HeardAt(); heard.After(now.Add(-silenceThreshold)) || heard.After(a.sentAt) && heard.After(since.Add(silenceThreshold)) {
			continue
		}
		silent = append(silent, r)
		if !r.IsSlow(now) { // a slow runner responds, only later
			r.Suspect(now.Add(suspectDuration))
		}
	}
	if len(silent) > 0 && a.path.Len() > 1 && l.throttle.allow(a.endpoint.Name(), minQueryInterval, now) {
		go (&stallQuery{locator: l, path: a.path, since: since}).run()
	}
	return silent
}

// stallQuery asks the first engine of a path which engine its requests wait for.
type stallQuery struct {
	locator *faultLocator
	path    path.Path
	since   time.Time
}

func (q *stallQuery) run() {
	f := q.locator.forwarder
	first := q.path.Runner(0)
	queriedAt := clock.Now()
	report, err := f.queryReport(first)
	now := clock.Now()
	if err != nil {
		f.reportError(first, err, queriedAt, now)
		q.eject(first, metric.EjectedUnreported, err, now)
		return
	}
	found := false
	for i := range q.path.Len() {
		if r := q.path.Runner(i); stalledAt(r, report.Stalled) {
			found = true
			q.eject(r, metric.EjectedStalled, nil, now)
			go (&probe{forwarder: f, runner: r}).run()
		}
	}
	if !found {
		return
	}
	for i := range q.path.Len() {
		if r := q.path.Runner(i); !stalledAt(r, report.Stalled) {
			r.MarkWorking()
		}
	}
}

// eject ejects an engine, and logs the error of the query to it, nil for a reply.
func (q *stallQuery) eject(r *fleet.Runner, reason metric.Ejection, cause error, now time.Time) {
	f := q.locator.forwarder
	until := r.Failed(now)
	if isSilence(cause) {
		f.silentRunners.watch(r, now)
	}
	f.Counters.CountEjection(reason)
	attrs := []slog.Attr{
		slog.String("runner", r.Name()), slog.String("reason", string(reason)),
		slog.Int64("till_ms", until.Sub(now).Milliseconds()), slog.Int64("silent_ms", now.Sub(q.since).Milliseconds()),
	}
	if cause != nil {
		attrs = append(attrs, slog.String("cause", cause.Error()))
	}
	f.log(event.RunnerEjected, attrs...)
}

// probe queries an engine that others wait for. If it does not reply either, it is likely to be
// dead, which is then known within one query timeout instead of after the next request. If it
// replies, it is ejected for a moment but not considered lost.
type probe struct {
	forwarder *Forwarder
	runner    *fleet.Runner
}

func (p *probe) run() {
	f := p.forwarder
	queriedAt := clock.Now()
	_, err := f.queryReport(p.runner)
	if err == nil {
		p.runner.MarkResponsive()
		return
	}
	now := clock.Now()
	f.reportError(p.runner, err, queriedAt, now)
	until := p.runner.Failed(now)
	if isSilence(err) {
		f.silentRunners.watch(p.runner, now)
	}
	f.Counters.CountEjection(metric.EjectedUnanswered)
	f.log(event.RunnerEjected, slog.String("runner", p.runner.Name()), slog.String("reason", string(metric.EjectedUnanswered)), slog.String("cause", err.Error()),
		slog.Int64("till_ms", until.Sub(now).Milliseconds()))
}

func stalledAt(r *fleet.Runner, stalled []protocol.StalledRequest) bool {
	return slices.ContainsFunc(stalled, func(s protocol.StalledRequest) bool { return s.Address == r.Spec().Address })
}
