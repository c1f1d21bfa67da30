// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/state/fleet"
)

// handleMisplaced handles the answer that a request was sent where it can't run: another process
// has the address of a runner of its path, or that runner does not hold its layers. Unlike a
// refusal for want of room this lasts, so all entries are told. 15 of 98 engines that had crashed
// and started again gave twelve entries 344 such answers in 34 s while each found out for itself;
// told, all 36 entries met 7 (their logs, one run each).
func (x *exchange) handleMisplaced(m *responseReceived, now time.Time) {
	f, a, terms := x.forwarder, m.attempt, &m.terms
	x.avoidRefusing(m, now)
	for i := range a.path.Len() {
		if !a.isAtFault(i, terms.AtFault) {
			continue
		}
		r := a.path.Runner(i)
		occupant := ""
		if i == 0 && terms.EndpointID != r.Name() {
			occupant = terms.EndpointID
		}
		f.reportOwner(r, occupant, a.sentAt)
	}
}

// reportOwner tells all entries that the process which answers at a runner's address is the
// occupant, "" for one that does not hold the runner's layers. The time is that of the
// question, so that a record written later stands.
func (f *Forwarder) reportOwner(r *fleet.Runner, occupant string, at time.Time) {
	f.Counters.Add(metric.RecordsDisproved, 1)
	if f.ReportAddressOwner != nil {
		f.ReportAddressOwner(r.Name(), occupant, at)
	}
}

// applyOwner applies a report of who answers at an endpoint's address, and reports whether that
// changes which record is used or how.
func (f *Forwarder) applyOwner(report *loss.Report) bool {
	id, occupant := report.Endpoint(), report.Occupant()
	var news bool
	switch occupant {
	case "":
		news = f.Registry.LayersDenied(id, report.Incarnation(), report.At())
	case id:
		moved := f.Registry.OwnerAnswered(id, occupant, report.Incarnation(), report.At())
		news = f.Registry.LayersConfirmed(id, report.At()) || moved
	default:
		news = f.Registry.OwnerAnswered(id, occupant, report.Incarnation(), report.At())
	}
	if news {
		f.log(event.RecordDisproved, slog.String("endpoint", id), slog.String("occupant", occupant),
			slog.String("sign", report.Observation().String()), slog.String("witness", report.Observer()),
			slog.Int64("age_ms", clock.Since(report.At()).Milliseconds()))
	}
	return news
}
