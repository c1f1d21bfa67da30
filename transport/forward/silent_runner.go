// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/tunnel"
)

const (
	// silentInterval is how often a silent runner is asked. A sound one that goes on is asked by some entry within a
	// part of that.
	silentInterval = 500 * time.Millisecond
	// briefQueries is how often it is asked at that interval, which doubles after that, maxSilentDoublings times:
	// one that is silent for longer is hardly about to go on.
	briefQueries       = 6
	maxSilentDoublings = 4
)

// errRestarted says that another incarnation of an endpoint answers than the one that fell silent.
var errRestarted = errors.New("another incarnation of the endpoint answers")

// silentRunners asks runners that get no new work because of a silence for a sign of life until they answer: a sound
// one may be silent for a second and go on. The zero value knows none.
type silentRunners struct {
	forwarder *Forwarder

	mutex   sync.Mutex
	watched map[*fleet.Runner]*silentRunner
}

// silentRunner is a runner that fell silent.
type silentRunner struct {
	due     time.Time // when to ask it next
	asking  bool
	heard   bool // whether something was received from it since
	queries int
	service string
}

// watch begins to ask a runner that fell silent.
func (s *silentRunners) watch(r *fleet.Runner, now time.Time) {
	f := s.forwarder
	if f == nil || f.Prober == nil {
		return
	}
	service := f.serviceOf(r)
	if service == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watched[r] != nil {
		return
	}
	if s.watched == nil {
		s.watched = make(map[*fleet.Runner]*silentRunner)
	}
	w := &silentRunner{service: service.Name}
	w.due = now.Add(s.interval(w))
	s.watched[r] = w
}

// interval returns the time until a runner is asked next. It grows with the number of entries that ask it.
func (s *silentRunners) interval(w *silentRunner) time.Duration {
	entries := s.forwarder.entriesPerDataCenter(w.service)
	interval := silentInterval << min(max(0, w.queries-briefQueries), maxSilentDoublings)
	return time.Duration((0.5 + rand.Float64()/2) * max(1, entries/fullRateEntries) * float64(interval))
}

// heardFrom asks a silent runner at once that something was received from, which it may have sent before.
func (s *silentRunners) heardFrom(r *fleet.Runner, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if w := s.watched[r]; w != nil && !w.heard {
		w.heard, w.due = true, now
	}
}

// askDue asks the runners that are due, and forgets those that are in use again or gone.
func (s *silentRunners) askDue(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for r, w := range s.watched {
		switch {
		case w.asking:
		case !r.Lost(now) && r.Usable(now) || s.forwarder.Registry.View().Runner(r.Name()) != r:
			delete(s.watched, r)
		case !now.Before(w.due):
			w.asking = true
			w.queries++
			go (&silentQuery{runners: s, runner: r}).run()
		}
	}
}

// answered ends a query.
func (s *silentRunners) answered(r *fleet.Runner, err error, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w := s.watched[r]
	if w == nil {
		return
	}
	if err == nil {
		delete(s.watched, r)
		return
	}
	w.asking, w.due = false, now.Add(s.interval(w))
}

// silentQuery asks one runner for a sign of life.
type silentQuery struct {
	runners *silentRunners
	runner  *fleet.Runner
}

func (q *silentQuery) run() {
	f, r := q.runners.forwarder, q.runner
	err := f.askSilent(r)
	now := clock.Now()
	q.runners.answered(r, err, now)
	if err != nil {
		return
	}
	lost := r.Lost(now)
	r.MarkWorking()
	r.ClearLost()
	if lost {
		f.reportObservation(r, protocol.LossAnswered, now)
	}
	f.queues.dispatchFirst(now)
}

// askSilent returns nil if a runner answers.
func (f *Forwarder) askSilent(r *fleet.Runner) error {
	if s := f.serviceOf(r); s == nil || s.Engine == nil {
		return f.probe(r, f.connect)
	}
	report, err := f.queryReport(r)
	if err == nil && f.Registry.Incarnation(r.Name()).Before(report.Incarnation) {
		return errRestarted
	}
	return err
}

// isSilence reports whether an error is that of an endpoint that did nothing in time.
func isSilence(cause error) bool {
	var failed *tunnel.DialError
	if errors.As(cause, &failed) {
		return failed.Silent()
	}
	observation, _ := observationOf(cause)
	return observation == protocol.LossSilent
}
