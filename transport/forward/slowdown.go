// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// onTimeFactor is how many times its expected time an event may take and still show that all
	// engines of its path work at their usual speed.
	onTimeFactor = 1.4
	// lateFactor is the multiple of the expected time from which an event is late, so that an
	// engine of its path may be slow. One of ten engines that is slow by a factor of twelve doubles
	// the time of an event.
	lateFactor = 1.8
	// minLateEvents is how many events in a row must be late: the prefill of other prompts delays
	// single events.
	minLateEvents = 2
	// maxStageQueries is how many engines of one path are queried at once to find the slow one.
	maxStageQueries = 4
	// queriesPerSecond bounds how many engines an entry queries because they may be slow: in an
	// overloaded fleet everything is late, and each query takes an engine's time.
	queriesPerSecond = 10.0
	// slowdownQueryInterval is the least time between two slowdown queries to one engine. A reply
	// is some tenths of a second old, so the first one may describe the time before the engine
	// became slow.
	slowdownQueryInterval = 120 * time.Millisecond
	// slowRecheckInterval is how often a slow engine is queried whether it still is: several times
	// before the report that it is slow expires.
	slowRecheckInterval = 500 * time.Millisecond
)

// slowdownMonitor finds out which endpoints are slow. It queries the engines of paths whose events
// are late, compares the response times of plain services with a baseline, and queries slow engines
// until they are as fast as before.
type slowdownMonitor struct {
	forwarder *Forwarder
	throttle  queryThrottle

	mutex      sync.Mutex
	tokens     float64                  // queries allowed now, refilled at queriesPerSecond
	refilledAt time.Time                // when tokens was refilled
	slowUntil  map[string]time.Time     // slow endpoints, and when that expires
	nextQuery  map[string]time.Time     // slow endpoints that this entry queries, and when next
	baselines  map[string]time.Duration // response time of a plain service, by route
}

// checkSlowdown compares the time that an event took with the time that its engines should take.
func (x *exchange) checkSlowdown(a *attempt, pause time.Duration, now time.Time) {
	expected := float64(expectedEventTime(&a.path, x.service))
	switch {
	case expected <= 0:
	case float64(pause) <= onTimeFactor*expected:
		x.lateEvents = 0
		for i := range a.path.Len() {
			a.path.Runner(i).OnTime(now)
		}
	case float64(pause) >= lateFactor*expected:
		if x.lateEvents == 0 {
			x.lateSince = now.Add(-pause)
		}
		x.lateEvents++
		if x.lateEvents >= minLateEvents {
			x.forwarder.slowdowns.queryStages(&a.path, x.lateSince, now)
		}
	}
}

// queryStages queries the slowdown of some engines of a path that has been late since a time. It
// skips engines that have passed an event on time since then, on any path, and engines known to be
// slow.
func (m *slowdownMonitor) queryStages(late *path.Path, since, now time.Time) {
	first := rand.IntN(max(1, late.Len()))
	queries := 0
	for i := range late.Len() {
		r := late.Runner((first + i) % late.Len())
		if r.OnTimeAt().After(since) || r.IsSlow(now) || !m.throttle.allow(r.Name(), slowdownQueryInterval, now) {
			continue
		}
		if queries >= maxStageQueries || !m.takeToken(now) {
			return
		}
		queries++
		go (&poll{forwarder: m.forwarder, runner: r}).run()
	}
}

// takeToken takes one query from the rate limit, and reports whether one was left.
func (m *slowdownMonitor) takeToken(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tokens = min(queriesPerSecond, m.tokens+queriesPerSecond*now.Sub(m.refilledAt).Seconds())
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// reportSlowdown reports to the other entries the slowdown that an engine returned when it was
// queried.
func (m *slowdownMonitor) reportSlowdown(r *fleet.Runner, report *protocol.EngineReport, queriedAt time.Time) {
	f := m.forwarder
	if report.Slowdown <= 0 || f.ReportSlowdown == nil {
		return
	}
	f.ReportSlowdown(protocol.SlownessReport{
		Endpoint: r.Name(), Incarnation: report.Incarnation, Observation: protocol.SlowReported, Slowdown: report.Slowdown,
	}, queriedAt.Add(-f.maxReportDelay()))
}

// maxReportDelay returns how old the content of an engine's report may be.
func (f *Forwarder) maxReportDelay() time.Duration {
	table := f.Routing.Current()
	if table == nil {
		return 0
	}
	longest := 0.0
	services := table.Services()
	for i := range services {
		if e := services[i].Engine; e != nil {
			longest = max(longest, e.ReportDelayMS)
		}
	}
	return time.Duration(longest * float64(time.Millisecond))
}

// ApplySlownessReport applies the change that a slowness report makes, and reports whether the
// director may need to act on it.
func (f *Forwarder) ApplySlownessReport(report slow.Report, change slow.Change) bool {
	r := f.Registry.View().Runner(report.Endpoint())
	if r == nil {
		return false
	}
	now := clock.Now()
	f.Counters.Add(metric.SlownessReports, 1)
	switch v := change.(type) {
	case slow.Slow:
		wasSlow := r.IsSlow(now)
		r.MarkSlow(v.Slowdown(), v.Since(), v.Until())
		f.slowdowns.track(r.Name(), report, v.Until(), now)
		if !wasSlow {
			f.log(event.EndpointSlow, slog.String("runner", r.Name()), slog.String("witness", report.Observer()),
				slog.String("sign", report.Observation().String()), slog.Float64("pace", v.Slowdown()),
				slog.Int64("age_ms", now.Sub(report.At()).Milliseconds()))
		}
		return !wasSlow
	case slow.Recovered:
		since := r.SlowSince(now)
		if since.IsZero() {
			return false // it was not considered slow
		}
		r.ClearSlow()
		f.slowdowns.untrack(r.Name())
		f.log(event.EndpointRecovered, slog.String("runner", r.Name()), slog.String("witness", report.Observer()),
			slog.Int64("slow_ms", now.Sub(since).Milliseconds()))
		return true
	default:
		return false
	}
}

// track records that an endpoint is slow. Only the entry whose report was the last queries it
// again, so that all entries together query an engine once.
func (m *slowdownMonitor) track(endpoint string, report slow.Report, until, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.slowUntil == nil {
		m.slowUntil = make(map[string]time.Time)
		m.nextQuery = make(map[string]time.Time)
	}
	if _, tracked := m.slowUntil[endpoint]; !tracked {
		m.forwarder.Counters.Add(metric.EndpointsSlow, 1)
	}
	m.slowUntil[endpoint] = until
	if report.Observer() != m.forwarder.Entry.Name || report.Observation() != protocol.SlowReported {
		delete(m.nextQuery, endpoint)
		return
	}
	if _, scheduled := m.nextQuery[endpoint]; !scheduled {
		m.nextQuery[endpoint] = now.Add(slowRecheckInterval)
	}
}

// untrack records that an endpoint is no longer slow.
func (m *slowdownMonitor) untrack(endpoint string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.untrackLocked(endpoint)
}

// untrackLocked does the work of untrack. The caller holds the mutex.
func (m *slowdownMonitor) untrackLocked(endpoint string) {
	if _, known := m.slowUntil[endpoint]; known {
		m.forwarder.Counters.Add(metric.EndpointsSlow, -1)
	}
	delete(m.slowUntil, endpoint)
	delete(m.nextQuery, endpoint)
}

// queryDue queries the slow engines that are due.
func (m *slowdownMonitor) queryDue(now time.Time) {
	for _, endpoint := range m.due(now) {
		if r := m.forwarder.Registry.View().Runner(endpoint); r != nil {
			go (&poll{forwarder: m.forwarder, runner: r}).run()
		}
	}
}

// due returns the slow engines to query again, and removes those whose report has expired.
func (m *slowdownMonitor) due(now time.Time) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var due []string
	for endpoint, until := range m.slowUntil {
		if !now.Before(until) {
			m.untrackLocked(endpoint)
			continue
		}
		if at, scheduled := m.nextQuery[endpoint]; scheduled && !now.Before(at) {
			m.nextQuery[endpoint] = now.Add(slowRecheckInterval)
			due = append(due, endpoint)
		}
	}
	return due
}
