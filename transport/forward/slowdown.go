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
	// onTimeFactor is how many times its expected time an event may take and still show that
	// all engines of its path work as usual.
	onTimeFactor = 1.4
	// lateFactor is the multiple of the expected time from which one of them may be slow. One of ten engines that is
	// slow by a factor of twelve doubles the time of an event.
	lateFactor = 1.8
	// minLateEvents is how many events in a row must be late: reading the prompts of others holds
	// single ones up.
	minLateEvents = 2
	// maxStageQueries is how many engines of one path are asked at once which of them is slow.
	maxStageQueries = 4
	// queriesPerSecond bounds how many engines an entry asks because they may be slow: in a
	// crowded fleet everything is late, and each question takes an engine's time.
	queriesPerSecond = 10.0
	// slowdownQueryInterval is the least time between two questions to one engine for its pace. An
	// answer is some tenths of a second old, so the first one may describe the time before
	// the engine became slow.
	slowdownQueryInterval = 120 * time.Millisecond
	// slowRecheckInterval is how often an engine that is slow is asked whether it still is: several
	// times before the report that it is slow lapses.
	slowRecheckInterval = 500 * time.Millisecond
)

// slowdownMonitor finds out which endpoints are slow. It asks the engines of paths whose events come
// late, compares the time of plain services' answers with the usual one, and asks slow
// engines again until they are as fast as before.
type slowdownMonitor struct {
	forwarder *Forwarder
	throttle  queryThrottle

	mutex      sync.Mutex
	tokens     float64                  // questions that may be asked now, refilled by questionsPerSecond
	refilledAt time.Time                // when left was refilled
	slowUntil  map[string]time.Time     // slow endpoints, and when that lapses
	nextQuery  map[string]time.Time     // the slow endpoints that this entry asks, and when next
	baselines  map[string]time.Duration // time of an answer of a plain service, by route
}

// checkSlowdown compares the time that an event took with what its engines should take.
func (x *exchange) checkSlowdown(a *attempt, pause time.Duration, now time.Time) {
	usual := float64(expectedEventTime(&a.path, x.service))
	switch {
	case usual <= 0:
	case float64(pause) <= onTimeFactor*usual:
		x.lateEvents = 0
		for i := range a.path.Len() {
			a.path.Runner(i).OnTime(now)
		}
	case float64(pause) >= lateFactor*usual:
		if x.lateEvents == 0 {
			x.lateSince = now.Add(-pause)
		}
		x.lateEvents++
		if x.lateEvents >= minLateEvents {
			x.forwarder.slowdowns.queryStages(&a.path, x.lateSince, now)
		}
	}
}

// queryStages asks some engines of a path that has been late since a time for their pace. It
// leaves out those that have passed an event on time since then, on any path, and those
// known to be slow.
func (p *slowdownMonitor) queryStages(late *path.Path, since, now time.Time) {
	first := rand.IntN(max(1, late.Len()))
	asks := 0
	for i := range late.Len() {
		r := late.Runner((first + i) % late.Len())
		if r.OnTimeAt().After(since) || r.IsSlow(now) || !p.throttle.allow(r.Name(), slowdownQueryInterval, now) {
			continue
		}
		if asks >= maxStageQueries || !p.takeToken(now) {
			return
		}
		asks++
		go (&poll{forwarder: p.forwarder, runner: r}).run()
	}
}

// takeToken takes one question from the bound on them, and reports whether one was left.
func (p *slowdownMonitor) takeToken(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tokens = min(queriesPerSecond, p.tokens+queriesPerSecond*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// told tells the other entries the pace that an engine reported when it was asked.
func (p *slowdownMonitor) reportSlowdown(r *fleet.Runner, report *protocol.EngineReport, asked time.Time) {
	f := p.forwarder
	if report.Pace <= 0 || f.ReportSlowdown == nil {
		return
	}
	f.ReportSlowdown(protocol.RelaySlow{
		Endpoint: r.Name(), Incarnation: report.Incarnation, Observation: protocol.SlowTold, Pace: report.Pace,
	}, asked.Add(-f.maxReportDelay()))
}

// maxReportDelay returns how old what an engine reports may be.
func (f *Forwarder) maxReportDelay() time.Duration {
	table := f.Routing.Current()
	if table == nil {
		return 0
	}
	most := 0.0
	services := table.Services()
	for i := range services {
		if e := services[i].Engine; e != nil {
			most = max(most, e.ReportDelayMS)
		}
	}
	return time.Duration(most * float64(time.Millisecond))
}

// ApplySlownessReport takes what a report of an endpoint's pace changes, and reports whether it may
// matter to who gives orders.
func (f *Forwarder) ApplySlownessReport(report slow.Report, v slow.Change) bool {
	r := f.Registry.View().Runner(report.Endpoint())
	if r == nil {
		return false
	}
	now := clock.Now()
	f.Counters.Add(metric.SlowNews, 1)
	switch v := v.(type) {
	case slow.Slow:
		before := r.IsSlow(now)
		r.MarkSlow(v.Slowdown(), v.Since(), v.Until())
		f.slowdowns.track(r.Name(), report, v.Until(), now)
		if !before {
			f.log(event.EndpointSlow, slog.String("runner", r.Name()), slog.String("witness", report.Observer()),
				slog.String("sign", report.Observation().String()), slog.Float64("pace", v.Slowdown()),
				slog.Int64("age_ms", now.Sub(report.At()).Milliseconds()))
		}
		return !before
	case slow.Recovered:
		since := r.SlowSince(now)
		if since.IsZero() {
			return false // it was only doubted
		}
		r.ClearSlow()
		f.slowdowns.untrack(r.Name())
		f.log(event.EndpointFast, slog.String("runner", r.Name()), slog.String("witness", report.Observer()),
			slog.Int64("slow_ms", now.Sub(since).Milliseconds()))
		return true
	default:
		return false
	}
}

// track notes that an endpoint is slow. Only the entry whose report was the last asks it
// again, so that all entries together ask an engine once.
func (p *slowdownMonitor) track(endpoint string, report slow.Report, till, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.slowUntil == nil {
		p.slowUntil = make(map[string]time.Time)
		p.nextQuery = make(map[string]time.Time)
	}
	if _, known := p.slowUntil[endpoint]; !known {
		p.forwarder.Counters.Add(metric.EndpointsSlow, 1)
	}
	p.slowUntil[endpoint] = till
	if report.Observer() != p.forwarder.Home.Name || report.Observation() != protocol.SlowTold {
		delete(p.nextQuery, endpoint)
		return
	}
	if _, asks := p.nextQuery[endpoint]; !asks {
		p.nextQuery[endpoint] = now.Add(slowRecheckInterval)
	}
}

// untrack notes that an endpoint is slow no longer.
func (p *slowdownMonitor) untrack(endpoint string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.untrackLocked(endpoint)
}

// untrackLocked drops an endpoint. The mutex is held.
func (p *slowdownMonitor) untrackLocked(endpoint string) {
	if _, known := p.slowUntil[endpoint]; known {
		p.forwarder.Counters.Add(metric.EndpointsSlow, -1)
	}
	delete(p.slowUntil, endpoint)
	delete(p.nextQuery, endpoint)
}

// queryDue asks the slow engines that are due.
func (p *slowdownMonitor) queryDue(now time.Time) {
	for _, endpoint := range p.due(now) {
		if r := p.forwarder.Registry.View().Runner(endpoint); r != nil {
			go (&poll{forwarder: p.forwarder, runner: r}).run()
		}
	}
}

// due returns which slow engines are to be asked again, and drops those of which the news
// count no longer.
func (p *slowdownMonitor) due(now time.Time) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var due []string
	for endpoint, till := range p.slowUntil {
		if !now.Before(till) {
			p.untrackLocked(endpoint)
			continue
		}
		if at, asks := p.nextQuery[endpoint]; asks && !now.Before(at) {
			p.nextQuery[endpoint] = now.Add(slowRecheckInterval)
			due = append(due, endpoint)
		}
	}
	return due
}
