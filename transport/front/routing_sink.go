// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
)

// routingSink puts the operator's routing tables in force. A watcher and a confirmer call it from
// two goroutines.
type routingSink struct {
	front *Front

	mutex  sync.Mutex
	latest protocol.Revision // latest revision applied; the object is read more often than it changes
	held   uint64            // version of the platform's table at that revision, 0 if none can be used
	value  []byte            // the object of the table in force
}

// Listed applies the table from a list.
func (s *routingSink) Listed(l protocol.Listing, _ time.Time) {
	s.front.platformAnswered()
	found := false
	for _, o := range l.Objects {
		if o.Name == s.front.Dependencies.RoutingName {
			s.apply(o)
			found = true
		}
	}
	if !found {
		s.noteMissing(l.Revision)
	}
}

// noteMissing notes that the platform held no table at a revision.
func (s *routingSink) noteMissing(at protocol.Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.latest.Before(at) {
		s.setHeld(at, 0)
	}
}

// setHeld notes which version the platform holds at a revision. A later one that is known here is passed
// on to the peers until the platform holds it again. The mutex is held.
func (s *routingSink) setHeld(at protocol.Revision, version uint64) {
	s.latest, s.held = at, version
	s.front.source.WithdrawTable(version)
	if inForce := s.versionInForce(); version < inForce && at.Era > 0 {
		s.front.source.ReportTable(inForce, s.value)
	}
}

// applyLost puts a table in force that peers know and the platform lost, and reports whether it is later
// than the one in force. The platform does not hold it, so nothing confirms it until it does.
func (s *routingSink) applyLost(version uint64, value []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.front
	if version <= s.versionInForce() {
		return false
	}
	installed, err := s.install(protocol.Object{Name: f.Dependencies.RoutingName, Value: value})
	if err != nil || installed != version {
		event.ConfigIgnored.Log(f.Logger, slog.Uint64("version", version), slog.String("cause", "a peer reported a table that can't be used"))
		return false
	}
	return true
}

// Changed applies a changed table.
func (s *routingSink) Changed(c protocol.Change, _ time.Time) {
	switch {
	case c.Object.Name != s.front.Dependencies.RoutingName:
	case c.Deleted:
		s.noteMissing(c.Object.Version)
	default:
		s.apply(c.Object)
	}
}

// Confirmed notes that no later table than the one applied last was accepted, if that one is in force.
// A table that can't be used confirms nothing, because it may revoke keys. Neither does an older one: a
// platform that came back from a copy may have lost more tables than the one that is known here, so peers
// are asked first.
func (s *routingSink) Confirmed(at time.Time) {
	s.front.platformAnswered()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held == s.versionInForce() && s.front.source.TableChecked() {
		s.front.routing.Confirm(at)
		s.front.endStartupWaitIfReady()
	}
}

// inForce returns the version and the object of the table in force, 0 for none.
func (s *routingSink) inForce() (version uint64, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.versionInForce(), s.value
}

// versionInForce returns the version of the table in force, 0 for none.
func (s *routingSink) versionInForce() uint64 {
	if t := s.front.routing.Current(); t != nil {
		return t.Version()
	}
	return 0
}

// Failed notes that the platform did not answer.
func (s *routingSink) Failed(err error, now time.Time) { s.front.watchFailed("routing", err, now) }

// apply puts a table in force unless its revision was applied before.
func (s *routingSink) apply(o protocol.Object) {
	f := s.front
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.latest.Before(o.Version) {
		return
	}
	version, err := s.install(o)
	s.setHeld(o.Version, version)
	f.endStartupWaitIfReady()
	if err != nil {
		f.Counters.Add(metric.ConfigIgnored, 1)
		event.ConfigIgnored.Log(f.Logger, o.Version.LogAttr(), slog.String("cause", err.Error()))
	}
}

// install puts a table in force unless the one in force is as new, and returns its version.
func (s *routingSink) install(o protocol.Object) (uint64, error) {
	f := s.front
	decoded, err := f.Dependencies.Decoder.Routing(o)
	if err != nil {
		return 0, err
	}
	t, err := routing.Build(decoded)
	if err != nil {
		return 0, err
	}
	if c := f.routing.Current(); c != nil && t.Version() <= c.Version() {
		s.logPassedOver(o, t, c)
		return t.Version(), nil
	}
	// The services of the table are set first: from the moment the table is in force, requests look
	// for their endpoints.
	f.endpoints.SetServices(t.Services())
	if at := f.routing.ConfirmedAt(); !at.IsZero() {
		f.Counters.RecordDuration(metric.ConfigAge, clock.Since(at))
	}
	f.routing.Offer(t)
	s.value = o.Value
	f.Counters.Add(metric.ConfigAccepted, 1)
	event.ConfigInForce.Log(f.Logger, slog.Uint64("version", t.Version()), o.Version.LogAttr(),
		slog.Int("routes", len(decoded.Routes)), slog.Int("teams", len(decoded.Teams)))
	return t.Version(), nil
}

// logPassedOver logs that the platform holds an older table than the one in force.
func (s *routingSink) logPassedOver(o protocol.Object, t, inForce *routing.Table) {
	if t.Version() == inForce.Version() {
		return
	}
	s.front.Counters.Add(metric.ConfigPassedOver, 1)
	event.ConfigPassedOver.Log(s.front.Logger, slog.Uint64("version", t.Version()), slog.Uint64("in_force", inForce.Version()), o.Version.LogAttr())
}
