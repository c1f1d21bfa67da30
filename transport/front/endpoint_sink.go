// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
)

// endpointSink applies the endpoint records to the endpoint registry.
type endpointSink struct {
	front *Front
	era   uint64 // latest era of the platform that was seen
	seen  bool   // whether any was
}

// Listed applies a complete list of endpoints.
func (s *endpointSink) Listed(l protocol.Listing, now time.Time) {
	f := s.front
	f.platformAnswered()
	s.noteEra(l.Revision.Era, now)
	f.records.retainListed(l.Objects)
	list := make([]protocol.Endpoint, 0, len(l.Objects))
	for _, o := range l.Objects {
		e, ok := s.decode(o)
		if !ok {
			continue
		}
		list = append(list, e)
		s.noteLeaving(&e, now)
		if !f.endpoints.Has(e.ID) {
			s.logJoined(e, o.Version)
		}
	}
	for _, e := range f.endpoints.Replace(list, now) {
		event.EndpointGone.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("reason", "not in the list"))
	}
	s.logKept(now)
	f.endStartupWaitIfReady()
}

// logKept counts and logs the endpoints that were just kept without a record.
func (s *endpointSink) logKept(now time.Time) {
	for _, k := range s.front.endpoints.TakeKept() {
		s.front.Counters.Add(metric.EndpointsKept, 1)
		event.EndpointKept.Log(s.front.Logger, slog.String("endpoint", k.ID()), slog.String("cause", string(k.Cause())),
			slog.Int64("until_ms", k.Until().Sub(now).Milliseconds()))
	}
}

// noteEra notes a restore of the platform. Endpoints whose records it lacks are kept for a moment, as after
// an outage: those that run record themselves again.
func (s *endpointSink) noteEra(era uint64, now time.Time) {
	if s.seen && s.era < era {
		s.front.endpoints.MarkOutageBy(registry.PlatformRestored, now)
	}
	s.era, s.seen = max(s.era, era), true
}

// noteLeaving notes that an endpoint's record says that it leaves, so that its end is no crash.
func (s *endpointSink) noteLeaving(e *protocol.Endpoint, now time.Time) {
	if e.Leaving {
		s.front.source.Quarantine().RecordLeaving(e.ID, e.Incarnation, now)
	}
}

// Changed applies the change or removal of one endpoint record.
func (s *endpointSink) Changed(c protocol.Change, now time.Time) {
	f := s.front
	s.noteEra(c.Object.Version.Era, now)
	if c.Deleted {
		f.records.forget(c.Object.Name)
		if !f.endpoints.IsOfEarlierEra(c.Object.Name, c.Object.Version.Era) {
			f.source.Quarantine().RecordCrash(c.Object.Name, f.endpoints.Incarnation(c.Object.Name), now)
		}
		if f.endpoints.Remove(c.Object.Name, now) {
			event.EndpointGone.Log(f.Logger, slog.String("endpoint", c.Object.Name), slog.String("reason", "record gone"),
				c.Object.Version.LogAttr())
		}
		s.logKept(now)
		return
	}
	e, ok := s.decode(c.Object)
	if !ok {
		return
	}
	result := f.endpoints.Update(e, now)
	if result != registry.Stale {
		s.noteLeaving(&e, now)
	}
	switch result {
	case registry.Joined:
		s.logJoined(e, c.Object.Version)
		return
	case registry.Restarted:
		f.recordRestart(e, c.Object.Version)
		return
	case registry.Stale:
		return
	case registry.StaleLeaving:
		event.EndpointLeaving.Log(f.Logger, slog.String("endpoint", e.ID), c.Object.Version.LogAttr())
		return
	}
	if e.Leaving {
		event.EndpointLeaving.Log(f.Logger, slog.String("endpoint", e.ID), c.Object.Version.LogAttr())
		return
	}
	event.LayersChanged.Log(f.Logger, slog.String("endpoint", e.ID), slog.String("layers", e.Layers.String()),
		c.Object.Version.LogAttr())
}

// logJoined logs an endpoint that was unknown.
func (s *endpointSink) logJoined(e protocol.Endpoint, revision protocol.Revision) {
	event.EndpointJoined.Log(s.front.Logger, slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("address", e.Address), slog.String("data_center", e.DataCenter), slog.String("accelerator", e.Accelerator),
		slog.String("layers", e.Layers.String()), slog.Bool("leaving", e.Leaving), revision.LogAttr())
}

// Confirmed does nothing: each endpoint record carries its own state.
func (s *endpointSink) Confirmed(time.Time) {}

// Failed notes that the platform did not answer.
func (s *endpointSink) Failed(err error, now time.Time) { s.front.watchFailed("endpoints", err, now) }

// decode decodes a record. If the record is unusable, the endpoint that it described before is
// discarded.
func (s *endpointSink) decode(o protocol.Object) (protocol.Endpoint, bool) {
	f := s.front
	e, err := f.Dependencies.Decoder.Endpoint(o)
	if err == nil {
		f.records.clearDecodeFault(o)
		e.Era = o.Version.Era
		return e, true
	}
	f.records.setDecodeFault(o, err)
	if f.endpoints.Discard(o.Name) {
		event.EndpointGone.Log(f.Logger, slog.String("endpoint", o.Name), slog.String("reason", "record unusable"),
			o.Version.LogAttr())
	}
	return protocol.Endpoint{}, false
}
