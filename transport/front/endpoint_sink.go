// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
)

// endpointSink keeps the roster of endpoints.
type endpointSink struct{ front *Front }

// Listed takes a whole list of endpoints.
func (s *endpointSink) Listed(objects []protocol.Object, now time.Time) {
	f := s.front
	f.platformAnswered()
	f.records.keepListed(objects)
	list := make([]protocol.Endpoint, 0, len(objects))
	for _, o := range objects {
		e, ok := s.decode(o)
		if !ok {
			continue
		}
		list = append(list, e)
		if !f.roster.Has(e.ID) {
			s.joined(e, o.Version)
		}
	}
	for _, e := range f.roster.Replace(list, now) {
		event.EndpointGone.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("reason", "not in the list"))
	}
	f.learned()
}

// Changed takes one endpoint that came, changed or went.
func (s *endpointSink) Changed(c protocol.Change, now time.Time) {
	f := s.front
	if c.Gone {
		f.records.gone(c.Object.Name)
		f.source.Quarantine().RecordCrash(c.Object.Name, f.roster.Incarnation(c.Object.Name), now)
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
	switch f.roster.Update(e, now) {
	case registry.Joined:
		s.joined(e, c.Object.Version)
		return
	case registry.Restarted:
		f.restarted(e, c.Object.Version)
		return
	case registry.Stale:
		return
	}
	if e.Leaving {
		event.EndpointLeaving.Log(f.Logger, slog.String("endpoint", e.ID), slog.Uint64("revision", c.Object.Version))
		return
	}
	event.LayersChanged.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("layers", e.Layers.String()),
		slog.Uint64("revision", c.Object.Version))
}

// joined tells of an endpoint that was unknown.
func (s *endpointSink) joined(e protocol.Endpoint, revision uint64) {
	event.EndpointJoined.Log(s.front.Logger, slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("address", e.Address), slog.String("data_center", e.DataCenter), slog.String("accelerator", e.Accelerator),
		slog.String("layers", e.Layers.String()), slog.Bool("leaving", e.Leaving), slog.Uint64("revision", revision))
}

// Confirmed has no use for endpoints: each record tells its own state.
func (s *endpointSink) Confirmed(time.Time) {}

// Failed notes that the platform did not answer.
func (s *endpointSink) Failed(err error, now time.Time) { s.front.watchFailed("endpoints", err, now) }

// decode reads a record. If it is unusable, the endpoint whose record it replaced goes out
// of use.
func (s *endpointSink) decode(o protocol.Object) (protocol.Endpoint, bool) {
	f := s.front
	e, err := f.Dependencies.Decoder.Endpoint(o)
	if err == nil {
		f.records.sound(o)
		return e, true
	}
	f.records.unusable(o, err)
	if f.roster.Discard(o.Name) {
		event.EndpointGone.Log(f.Logger, slog.String("endpoint", o.Name), slog.String("reason", "record unusable"),
			slog.Uint64("revision", o.Version))
	}
	return protocol.Endpoint{}, false
}
