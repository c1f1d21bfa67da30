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
		s.front.learned()
	}
}

// Failed notes that the platform did not answer.
func (s *routingSink) Failed(err error, now time.Time) { s.front.watchFailed("routing", err, now) }

// take puts a table in force that was not taken before.
func (s *routingSink) take(o protocol.Object) {
	f := s.front
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o.Name != f.Dependencies.RoutingName || o.Version <= s.seen {
		return
	}
	s.seen = o.Version
	err := s.use(o)
	s.wrong = err != nil
	f.learned()
	if err != nil {
		f.Counters.Add(metric.ConfigIgnored, 1)
		event.ConfigIgnored.Log(f.Logger, slog.Uint64("revision", o.Version), slog.String("cause", err.Error()))
	}
}

// use puts a table in force unless it is older than the one that is.
func (s *routingSink) use(o protocol.Object) error {
	f := s.front
	decoded, err := f.Dependencies.Decoder.Routing(o)
	if err != nil {
		return err
	}
	t, err := routing.Build(decoded)
	if err != nil {
		return err
	}
	if c := f.routing.Current(); c != nil && t.Version() <= c.Version() {
		return nil
	}
	// The endpoints of its services come first: from the moment at which the table is
	// in force, requests look for them.
	f.roster.SetServices(t.Services())
	f.routing.Offer(t)
	f.Counters.Add(metric.ConfigAccepted, 1)
	event.ConfigInForce.Log(f.Logger, slog.Uint64("version", t.Version()), slog.Uint64("revision", o.Version),
		slog.Int("routes", len(decoded.Routes)), slog.Int("teams", len(decoded.Teams)))
	return nil
}
