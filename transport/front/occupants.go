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

// inquiryLimit bounds the questions to one address: two, which take some ms each.
const inquiryLimit = 600 * time.Millisecond

// lookAtRecords logs which records went out of use or came back into it, and asks the
// addresses whose occupant is unclear. The entry that follows no other asks at once; the
// others usually hear the answer from it.
func (f *Front) lookAtRecords(now time.Time) {
	for _, n := range f.roster.TakeUseChanges() {
		if !n.Used() {
			f.Counters.Add(metric.RecordsSuperseded, 1)
		}
		event.RecordSuperseded.Log(f.Logger, slog.String("endpoint", n.Endpoint()), slog.String("address", n.Address()),
			slog.String("occupant", n.Owner()), slog.Bool("used", n.Used()))
	}
	for _, e := range f.roster.TakeRestarted() {
		f.restarted(e, 0)
	}
	for _, q := range f.roster.DueProbes(f.source.Following(), now) {
		f.inquire(q)
	}
	if !f.source.Following() {
		f.probeLost(now)
	}
}

// probeLost asks the addresses of lost engines who has them: an engine that started again
// there can then be given layers before it has recorded itself.
func (f *Front) probeLost(now time.Time) {
	for id, r := range f.roster.View().Runners() {
		if !r.Lost(now) {
			continue
		}
		if q, due := f.roster.ProbeIfDue(id, now); due {
			f.inquire(q)
		}
	}
}

// misdirected handles that another process took an order to an endpoint. If its answer does
// not name it, its address is asked.
func (f *Front) misdirected(endpoint string, by *director.Misdirected) {
	if by.Owner != "" {
		f.source.ReportOwner(endpoint, by.Owner, clock.Now())
		return
	}
	if q, there := f.roster.ProbeOf(endpoint); there {
		f.inquire(q)
	}
}

// restarted notes that an endpoint started again under its ID. The revision is that of the
// record that says so, 0 if the endpoint's report or a list does.
func (f *Front) restarted(e protocol.Endpoint, revision uint64) {
	f.director.RecordRestart(e.ID)
	if e.Incarnation.Known() {
		f.source.Quarantine().RecordCrash(e.ID, e.Incarnation-1, clock.Now()) // the lives before
	}
	f.Counters.Add(metric.RestartsSeen, 1)
	event.EndpointRestarted.Log(f.Logger, slog.String("endpoint", e.ID), slog.Int64("lifetime", int64(e.Incarnation)),
		slog.String("layers", e.Layers.String()), slog.Uint64("revision", revision))
}

// inquiry asks an address who has it, and an engine whose layers are in doubt what it holds.
type inquiry struct {
	front    *Front
	question registry.Probe
}

// inquire begins to ask a question.
func (f *Front) inquire(q registry.Probe) { go (&inquiry{front: f, question: q}).run() }

func (i *inquiry) run() {
	f, q := i.front, i.question
	ctx, cancel := context.WithTimeout(context.Background(), inquiryLimit)
	defer cancel()
	asked := clock.Now()
	occupant := i.occupant(ctx)
	if occupant == "" {
		return // asked again soon
	}
	if occupant == q.Endpoint() && q.AsksLayers() && !i.holds(ctx) {
		return
	}
	f.source.ReportOwner(q.Endpoint(), occupant, asked)
}

// occupant returns who has the address, "" if that is not known.
func (i *inquiry) occupant(ctx context.Context) string {
	f, q := i.front, i.question
	table := f.routing.Current()
	if table == nil {
		return ""
	}
	s := table.Service(q.Service())
	if s == nil || s.HealthPath == "" {
		return ""
	}
	f.Counters.Add(metric.ReportsAsked, 1)
	id, err := f.Dependencies.Engines.Identify(ctx, q.Address(), s.HealthPath)
	if err != nil {
		return ""
	}
	return id
}

// holds reports whether the engine says that it holds what its record says, or tells nothing of
// layers: requests find out then, as there is nobody else to ask.
func (i *inquiry) holds(ctx context.Context) bool {
	f, q := i.front, i.question
	f.Counters.Add(metric.ReportsAsked, 1)
	report, err := f.Dependencies.Engines.Report(ctx, q.Address())
	if err != nil {
		return false
	}
	return f.roster.Report(q.Endpoint(), &report, clock.Now()) == registry.ReportMatches || !report.LayersKnown
}
