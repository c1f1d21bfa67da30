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
	// pollEvery is how often an engine is asked for its report while it has requests of
	// this entry and little room.
	pollEvery = 500 * time.Millisecond
	// pollSharers is how many entries of a data center ask that often; more ask in turn the
	// more seldom, so that an engine is not asked more than about ten times a second.
	pollSharers = 5.0
	// pollLook is how often it is looked which engines are due.
	pollLook = 50 * time.Millisecond
	// pollFill is the part of an engine's room, as far as known, from which it is asked.
	pollFill = 0.5
)

// poller asks the engines that run requests of this entry how much of their room is used,
// while their room matters: what the other entries have open there is not known otherwise.
type poller struct {
	forwarder *Forwarder
	asked     asked
}

// look asks the engines that are due.
func (p *poller) look(now time.Time) {
	f := p.forwarder
	table := f.Routing.Current()
	if table == nil {
		return
	}
	view := f.Roster.View()
	services := table.Services()
	for i := range services {
		if services[i].Engine == nil {
			continue
		}
		for _, center := range f.Roster.EngineDataCenters(services[i].Name) {
			p.lookAt(view.Model(registry.ModelName(services[i].Name, center)), services[i].Name, now)
		}
	}
}

// lookAt asks the engines of one model in one data center.
func (p *poller) lookAt(m *fleet.Model, service string, now time.Time) {
	groups := m.Groups()
	for i := range groups {
		for _, r := range groups[i].Runners() {
			if r.Outstanding() > 0 && p.matters(r, service, now) && p.due(r, p.forwarder.sharers(service), now) {
				go (&poll{forwarder: p.forwarder, runner: r}).run()
			}
		}
	}
}

// matters reports whether an engine's room may be short.
func (p *poller) matters(r *fleet.Runner, service string, now time.Time) bool {
	fill := r.Utilization(now, 0)
	if !now.Before(r.UtilizationUntil()) {
		fill *= p.forwarder.sharers(service)
	}
	return fill > pollFill
}

// due reports whether an engine may be asked again, and notes that it is.
func (p *poller) due(r *fleet.Runner, sharers float64, now time.Time) bool {
	every := time.Duration(max(1, sharers/pollSharers) * float64(pollEvery))
	return p.asked.may(r.Name(), every, now)
}

// report asks an engine how it stands.
func (f *Forwarder) report(r *fleet.Runner) (protocol.EngineReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	f.Counters.Add(metric.ReportsAsked, 1)
	asked := clock.Now()
	report, err := f.Reporter.Report(ctx, r.Spec().Address)
	if err == nil {
		f.paces.takeReport(r, &report, asked)
	}
	return report, err
}

// poll is one question to an engine.
type poll struct {
	forwarder *Forwarder
	runner    *fleet.Runner
}

func (p *poll) run() {
	f := p.forwarder
	asked := clock.Now()
	report, err := f.report(p.runner)
	if err != nil {
		f.met(p.runner, err, asked, clock.Now())
		f.log(event.ReportIgnored, slog.String("runner", p.runner.Name()), slog.String("cause", err.Error()))
		return
	}
	if !report.CapacityKnown {
		return // an engine whose room is unknown is never taken as full
	}
	p.runner.ReportUtilization(report.CapacityUsed, clock.Now())
}
