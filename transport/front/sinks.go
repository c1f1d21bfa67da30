// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
)

// routingSink puts the operator's routing tables in force. Two goroutines tell it
// of them, a watcher and a confirmer.
type routingSink struct {
	front *Front

	mutex sync.Mutex
	seen  uint64 // highest revision taken; the object is read more often than it changes
	wrong bool   // the table of that revision can't be used
}

// Listed takes the table out of a list.
func (s *routingSink) Listed(objects []protocol.Object, _ time.Time) {
	s.front.platformAnswered()
	for _, o := range objects {
		s.take(o)
	}
}

// Changed takes a changed table.
func (s *routingSink) Changed(c protocol.Change, _ time.Time) {
	if !c.Gone {
		s.take(c.Object)
	}
}

// Confirmed notes that no table was accepted after the one that was taken last.
// One that can't be used confirms nothing: it may take keys away.
func (s *routingSink) Confirmed(at time.Time) {
	s.front.platformAnswered()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.wrong {
		s.front.routing.Confirm(at)
	}
}

// Failed notes that the platform did not answer.
func (s *routingSink) Failed(err error, _ time.Time) { s.front.platformFailed("routing", err) }

// take puts a table in force that was not taken before.
func (s *routingSink) take(o protocol.Object) {
	f := s.front
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o.Name != f.Outside.RoutingName || o.Version <= s.seen {
		return
	}
	s.seen = o.Version
	err := s.use(o)
	s.wrong = err != nil
	if err != nil {
		f.Counters.Add(metric.ConfigIgnored, 1)
		event.ConfigIgnored.Log(f.Logger, slog.Uint64("revision", o.Version), slog.String("cause", err.Error()))
	}
}

func (s *routingSink) use(o protocol.Object) error {
	f := s.front
	decoded, err := f.Outside.Decoder.Routing(o)
	if err != nil {
		return err
	}
	t, err := routing.Build(decoded)
	if err != nil {
		return err
	}
	if !f.routing.Offer(t) {
		return nil
	}
	f.roster.Services(t.Services())
	f.Counters.Add(metric.ConfigAccepted, 1)
	event.ConfigInForce.Log(f.Logger, slog.Uint64("version", t.Version()), slog.Uint64("revision", o.Version),
		slog.Int("routes", len(decoded.Routes)), slog.Int("teams", len(decoded.Teams)))
	return nil
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
	s.front.platformFailed("endpoints", err)
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
func (f *Front) platformFailed(what string, err error) {
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
