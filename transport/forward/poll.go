// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
)

const (
	// pollInterval is how often an engine is queried for its report while it runs requests of this
	// entry and has little capacity left.
	pollInterval = 500 * time.Millisecond
	// fullRateEntries is how many entries of a data center poll at that interval. If there are
	// more, each polls less often, so that an engine is queried no more than about ten times a
	// second.
	fullRateEntries = 5.0
	// pollCheckInterval is how often the poller checks which engines are due.
	pollCheckInterval = 50 * time.Millisecond
	// pollUtilization is the known utilization of an engine from which it is polled.
	pollUtilization = 0.5
)

// poller queries the engines that run requests of this entry for their utilization while they are
// near their capacity: the load from other entries is not known otherwise.
type poller struct {
	forwarder *Forwarder
	throttle  queryThrottle
}

// pollDue queries the engines that are due.
func (p *poller) pollDue(now time.Time) {
	f := p.forwarder
	table := f.Routing.Current()
	if table == nil {
		return
	}
	view := f.Registry.View()
	services := table.Services()
	for i := range services {
		if services[i].Engine == nil {
			continue
		}
		for _, dataCenter := range view.EngineDataCenters(services[i].Name) {
			p.pollModel(view.Model(registry.ModelName(services[i].Name, dataCenter)), services[i].Name, now)
		}
	}
}

// pollModel queries the engines of one model in one data center that are due.
func (p *poller) pollModel(m *fleet.Model, service string, now time.Time) {
	groups := m.Groups()
	for i := range groups {
		for _, r := range groups[i].Runners() {
			if r.Outstanding() > 0 && p.nearCapacity(r, service, now) && p.due(r, p.forwarder.entriesPerDataCenter(service), now) {
				go (&poll{forwarder: p.forwarder, runner: r}).run()
			}
		}
	}
}

// nearCapacity reports whether an engine may be short of capacity.
func (p *poller) nearCapacity(r *fleet.Runner, service string, now time.Time) bool {
	utilization := r.Utilization(now, 0)
	if !now.Before(r.UtilizationUntil()) {
		utilization *= p.forwarder.entriesPerDataCenter(service)
	}
	return utilization > pollUtilization
}

// due reports whether an engine may be queried again, and if so records a query now.
func (p *poller) due(r *fleet.Runner, entries float64, now time.Time) bool {
	interval := time.Duration(max(1, entries/fullRateEntries) * float64(pollInterval))
	return p.throttle.allow(r.Name(), interval, now)
}

// queryReport queries an engine for its report.
func (f *Forwarder) queryReport(r *fleet.Runner) (protocol.EngineReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	f.Counters.Add(metric.ReportRequests, 1)
	queriedAt := clock.Now()
	report, err := f.Reporter.Report(ctx, r.Spec().Address)
	if err == nil {
		f.slowdowns.reportSlowdown(r, &report, queriedAt)
	}
	return report, err
}

// poll is one query to an engine for its utilization.
type poll struct {
	forwarder *Forwarder
	runner    *fleet.Runner
}

func (p *poll) run() {
	f := p.forwarder
	queriedAt := clock.Now()
	report, err := f.queryReport(p.runner)
	if err != nil {
		f.reportError(p.runner, err, queriedAt, clock.Now())
		f.log(event.ReportIgnored, slog.String("runner", p.runner.Name()), slog.String("cause", err.Error()))
		return
	}
	if !report.CapacityKnown {
		return // an engine of unknown capacity never counts as full
	}
	p.runner.ReportUtilization(report.CapacityUsed, clock.Now())
}
