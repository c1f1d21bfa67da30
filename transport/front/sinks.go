// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
)

// routingSink puts the operator's routing tables in force.
type routingSink struct{ front *Front }

// Listed takes the table out of a list.
func (s *routingSink) Listed(objects []protocol.Object, now time.Time) {
	s.front.platformAnswered()
	for _, o := range objects {
		s.take(o, now)
	}
}

// Changed takes a changed table.
func (s *routingSink) Changed(c protocol.Change, now time.Time) {
	if !c.Gone {
		s.take(c.Object, now)
	}
}

// Confirmed notes that the table in force is the highest.
func (s *routingSink) Confirmed(at time.Time) {
	s.front.platformAnswered()
	s.front.routing.Confirm(at)
}

// Failed notes that the platform did not answer.
func (s *routingSink) Failed(err error, now time.Time) { s.front.platformFailed("routing", err, now) }

func (s *routingSink) take(o protocol.Object, _ time.Time) {
	f := s.front
	if o.Name != f.Outside.RoutingName {
		return
	}
	decoded, err := f.Outside.Decoder.Routing(o)
	if err == nil {
		var t *routing.Table
		if t, err = routing.Build(decoded); err == nil && f.routing.Offer(t) {
			f.roster.Services(t.Services())
			f.Counters.Add(metric.ConfigAccepted, 1)
			event.ConfigInForce.Log(f.Logger, slog.Uint64("version", t.Version()), slog.Uint64("revision", o.Version),
				slog.Int("routes", len(decoded.Routes)), slog.Int("teams", len(decoded.Teams)))
		}
	}
	if err != nil {
		f.Counters.Add(metric.ConfigIgnored, 1)
		event.ConfigIgnored.Log(f.Logger, slog.Uint64("revision", o.Version), slog.String("cause", err.Error()))
	}
}

// endpointSink keeps the roster of endpoints.
type endpointSink struct{ front *Front }

// Listed takes a whole list of endpoints.
func (s *endpointSink) Listed(objects []protocol.Object, now time.Time) {
	f := s.front
	f.platformAnswered()
	known := make(map[string]bool)
	for _, e := range f.roster.Endpoints() {
		known[e.ID] = true
	}
	list := make([]protocol.Endpoint, 0, len(objects))
	for _, o := range objects {
		e, ok := s.decode(o)
		if !ok {
			continue
		}
		list = append(list, e)
		if !known[e.ID] {
			s.joined(e, o.Version)
		}
	}
	for _, e := range f.roster.Replace(list, now) {
		event.EndpointGone.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("reason", "not in the list"))
	}
}

// Changed takes one endpoint that came, changed or went.
func (s *endpointSink) Changed(c protocol.Change, now time.Time) {
	f := s.front
	if c.Gone {
		if f.roster.Remove(c.Object.Name, now) {
			event.EndpointGone.Log(f.Logger, slog.String("endpoint", c.Object.Name), slog.String("reason", "record gone"),
				slog.Uint64("revision", c.Object.Version))
		}
		return
	}
	e, ok := s.decode(c.Object)
	if !ok {
		return
	}
	if f.roster.Put(e) {
		s.joined(e, c.Object.Version)
		return
	}
	if e.Leaving {
		event.EndpointLeaving.Log(f.Logger, slog.String("endpoint", e.ID), slog.Uint64("revision", c.Object.Version))
		return
	}
	event.LayersChanged.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("layers", e.Layers.String()),
		slog.Uint64("revision", c.Object.Version))
}

func (s *endpointSink) joined(e protocol.Endpoint, revision uint64) {
	event.EndpointJoined.Log(s.front.Logger, slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("address", e.Address), slog.String("data_center", e.DataCenter), slog.String("accelerator", e.Accelerator),
		slog.String("layers", e.Layers.String()), slog.Bool("leaving", e.Leaving), slog.Uint64("revision", revision))
}

// Confirmed has no use for endpoints: each record tells its own state.
func (s *endpointSink) Confirmed(time.Time) {}

// Failed notes that the platform did not answer.
func (s *endpointSink) Failed(err error, now time.Time) {
	s.front.roster.Outage(now)
	s.front.platformFailed("endpoints", err, now)
}

func (s *endpointSink) decode(o protocol.Object) (protocol.Endpoint, bool) {
	e, err := s.front.Outside.Decoder.Endpoint(o)
	if err != nil {
		event.EndpointIgnored.Log(s.front.Logger, slog.String("endpoint", o.Name), slog.String("cause", err.Error()))
		return protocol.Endpoint{}, false
	}
	return e, true
}

// platformFailed tells once that the platform does not answer.
func (f *Front) platformFailed(what string, err error, _ time.Time) {
	f.Counters.Add(metric.PlatformFaults, 1)
	if f.reached.Swap(false) {
		event.PlatformUnreached.Log(f.Logger, slog.String("for", what), slog.String("cause", err.Error()))
	}
}

// platformAnswered tells once that the platform answers again.
func (f *Front) platformAnswered() {
	if !f.reached.Swap(true) {
		event.PlatformBack.Log(f.Logger)
	}
}
