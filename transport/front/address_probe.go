// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/transport/director"
)

// probeTimeout bounds the probe of one address: two calls, which take some milliseconds each.
const probeTimeout = 600 * time.Millisecond

// checkRecords logs which records went out of use or came back into use, and probes the addresses
// whose owner is unclear. The entry that follows no other probes at once and usually reports the
// result to the others before they probe.
func (f *Front) checkRecords(now time.Time) {
	for _, change := range f.endpoints.TakeUseChanges() {
		if !change.Used() {
			f.Counters.Add(metric.RecordsSuperseded, 1)
		}
		event.RecordSuperseded.Log(f.Logger, slog.String("endpoint", change.Endpoint()), slog.String("address", change.Address()),
			slog.String("occupant", change.Owner()), slog.Bool("used", change.Used()))
	}
	for _, e := range f.endpoints.TakeRestarted() {
		f.recordRestart(e, protocol.Revision{})
	}
	for _, p := range f.endpoints.DueProbes(f.source.Following(), now) {
		f.startProbe(p)
	}
	if !f.source.Following() {
		f.probeLostEngines(now)
	}
}

// probeLostEngines probes the addresses of lost engines. An engine that restarted there can then be
// assigned layers before it has written its record.
func (f *Front) probeLostEngines(now time.Time) {
	for id, r := range f.endpoints.View().Runners() {
		if !r.Lost(now) {
			continue
		}
		if p, due := f.endpoints.ProbeIfDue(id, now); due {
			f.startProbe(p)
		}
	}
}

// handleMisdirected handles an order for an endpoint that another process received. If the response
// does not name that process, the address is probed.
func (f *Front) handleMisdirected(endpoint string, by *director.Misdirected) {
	if by.Owner != "" {
		f.source.ReportAddressOwner(endpoint, by.Owner, clock.Now())
		return
	}
	if p, known := f.endpoints.ProbeOf(endpoint); known {
		f.startProbe(p)
	}
}

// recordRestart records that an endpoint restarted under the same ID. The revision is that of the
// record that shows the restart, 0 if the endpoint's report or a list shows it.
func (f *Front) recordRestart(e protocol.Endpoint, revision protocol.Revision) {
	f.director.RecordRestart(e.ID)
	if e.Incarnation.Known() {
		f.source.Quarantine().RecordCrash(e.ID, e.Incarnation-1, clock.Now()) // the incarnations before this one
	}
	f.Counters.Add(metric.RestartsSeen, 1)
	event.EndpointRestarted.Log(f.Logger, slog.String("endpoint", e.ID), slog.Int64("lifetime", int64(e.Incarnation)),
		slog.String("layers", e.Layers.String()), revision.LogAttr())
}

// addressProbe asks an address which endpoint owns it, and an engine whose layers are uncertain
// which layers it holds.
type addressProbe struct {
	front *Front
	probe registry.Probe
}

// startProbe probes an address in a goroutine of its own.
func (f *Front) startProbe(p registry.Probe) { go (&addressProbe{front: f, probe: p}).run() }

func (a *addressProbe) run() {
	f, p := a.front, a.probe
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sentAt := clock.Now()
	owner := a.owner(ctx)
	if owner == "" {
		return // probed again soon
	}
	if owner == p.Endpoint() && p.AsksLayers() && !a.holdsRecordedLayers(ctx) {
		return
	}
	f.source.ReportAddressOwner(p.Endpoint(), owner, sentAt)
}

// owner returns the endpoint that owns the address, "" if that is unknown.
func (a *addressProbe) owner(ctx context.Context) string {
	f, p := a.front, a.probe
	table := f.routing.Current()
	if table == nil {
		return ""
	}
	s := table.Service(p.Service())
	if s == nil || s.HealthPath == "" {
		return ""
	}
	if !f.forwarder.PassProbe(p.Endpoint(), clock.Now()) {
		return ""
	}
	f.Counters.Add(metric.ReportRequests, 1)
	id, err := f.Dependencies.Engines.Identify(ctx, p.Address(), s.HealthPath)
	if err != nil {
		return ""
	}
	return id
}

// holdsRecordedLayers reports whether the engine reports the layers of its record, or no layers at
// all. In the second case only requests can show which layers it holds.
func (a *addressProbe) holdsRecordedLayers(ctx context.Context) bool {
	f, p := a.front, a.probe
	f.Counters.Add(metric.ReportRequests, 1)
	report, err := f.Dependencies.Engines.Report(ctx, p.Address())
	if err != nil {
		return false
	}
	return f.endpoints.Report(p.Endpoint(), &report, clock.Now()) == registry.ReportMatches || !report.LayersKnown
}
