// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// The simulated load repeats one under which work crashed engines: 60 streams a second of four
// seconds each at four first engines. All entries prefer the same engine, so failed requests are
// sent again together.
const (
	simEntries         = 7
	simEngines         = 4
	simDuration        = 30 * time.Second
	simArrivalInterval = time.Second / 60
	simStreamDuration  = 4 * time.Second
	simMaxAttempts     = 3
	// poisonInterval is how often the caller of each poison request repeats it, at any entry.
	poisonInterval = 1800 * time.Millisecond
	// simRestartTime is how long an engine is down after a crash.
	simRestartTime = 3 * time.Second
	// maxLearningTime is when every entry has to know what crashed five engines.
	maxLearningTime = 3 * time.Second
	// simWaitTimeout is how long a request waits for its isolated run.
	simWaitTimeout = 1600 * time.Millisecond
)

// simulation is a fleet in virtual time.
type simulation struct {
	rand    *rand.Rand
	now     time.Time
	events  eventQueue
	entries []*simEntry
	engines []*simEngine

	entryCount     int           // 0 for simEntries
	engineCount    int           // 0 for simEngines
	reportDelay    time.Duration // the most that a report takes to another entry, 0 for 20 ms
	repeatReports  bool          // whether each report arrives twice
	poisonAttempts int           // of poison requests

	crashesBy map[protocol.Fingerprint]int       // by the bad part
	fifthAt   map[protocol.Fingerprint]time.Time // of the crashes by a bad part
	lateBy    map[protocol.Fingerprint]int       // requests sent later than maxLearningTime after that
	onRefused func(*simRequest, quarantine.Refused)
	crashes   int // of engines that ran poison requests
	refused   int // attempts of other requests that were refused
	failed    int // other requests without a response
	served    int
}

// simEntry is an entry and its tracker.
type simEntry struct {
	name    string
	tracker quarantine.Tracker
	history quarantine.History // of the parts that ran well
}

// simEngine is an engine and the requests that it runs.
type simEngine struct {
	id          string
	incarnation protocol.Incarnation
	up          bool
	running     []*simRequest // in order of arrival
}

// simRequest is one request of a caller, with all attempts of its entry.
type simRequest struct {
	work         protocol.Fingerprint
	parts        []protocol.Fingerprint // that other requests may share
	poison       bool
	badPart      protocol.Fingerprint // the part that makes it a poison request, zero for the whole work
	retries      int                  // how often its caller will still retry
	entry        *simEntry
	engine       *simEngine // where it runs, nil if it does not run
	attempts     int
	arrivedAt    time.Time
	firstEventAt time.Time
	isolated     bool
	waitsSince   time.Time // from when no other isolated run was in the way
}

// eventQueue holds the future events in order of time.
type eventQueue []event

type event struct {
	at     time.Time
	order  int
	action func()
}

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, action func()) {
	heap.Push(&s.events, event{at: s.now.Add(d), order: len(s.events), action: action})
}

// between returns a random duration between low and high.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(max(1, int64(high-low))))
}

// run simulates the load with a number of poison requests.
func (s *simulation) run(poison int) {
	s.deploy()
	for i := range int(simDuration / simArrivalInterval) {
		s.after(time.Duration(i)*simArrivalInterval, func() { s.arrive(&simRequest{work: fingerprint(1000 + i), retries: 1}) })
	}
	for d := range poison {
		for at := 5*time.Second + time.Duration(d)*300*time.Millisecond; at < simDuration; at += poisonInterval {
			s.after(at, func() { s.arrive(&simRequest{work: fingerprint(d), poison: true}) })
		}
	}
	s.play()
}

// deploy adds the entries and engines.
func (s *simulation) deploy() {
	s.crashesBy = make(map[protocol.Fingerprint]int)
	s.fifthAt = make(map[protocol.Fingerprint]time.Time)
	s.lateBy = make(map[protocol.Fingerprint]int)
	for i := range cmp.Or(s.entryCount, simEntries) {
		s.entries = append(s.entries, &simEntry{name: fmt.Sprint("entry-", i)})
	}
	for i := range cmp.Or(s.engineCount, simEngines) {
		s.engines = append(s.engines, &simEngine{id: fmt.Sprint("engine-", i), incarnation: 1, up: true})
	}
}

// play lets everything happen until all requests have ended.
func (s *simulation) play() {
	end := s.now.Add(simDuration + simStreamDuration)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
}

// arrive brings a request of a caller to an entry.
func (s *simulation) arrive(r *simRequest) {
	r.entry = s.entries[s.rand.IntN(len(s.entries))]
	r.arrivedAt = s.now
	s.dispatch(r)
}

// dispatch handles a request by the status that its entry knows.
func (s *simulation) dispatch(r *simRequest) {
	switch status := r.entry.tracker.Status(content(r.work, r.parts...), s.now).(type) {
	case quarantine.Refused:
		if !r.poison {
			if s.onRefused != nil {
				s.onRefused(r, status)
			}
			s.refused++
		}
		return
	case quarantine.Waiting:
		r.waitsSince = time.Time{}
		s.retryLater(r)
		return
	case quarantine.RequireIsolation:
		if r.waitsSince.IsZero() {
			r.waitsSince = s.now
		}
		contention := quarantine.Contention{Entries: 1, Since: r.waitsSince, Sample: s.rand.Float64()}
		if status.Shared() {
			contention.Entries = len(s.entries)
		}
		if e := s.choose(r, true); e != nil && r.entry.tracker.MayStartIsolatedRun(s.now, contention) {
			s.start(r, e)
			return
		}
		s.retryLater(r)
		return
	}
	if e := s.choose(r, false); e != nil {
		s.start(r, e)
		return
	}
	s.retryLater(r)
}

// retryLater lets a request wait for the next check, until its timeout.
func (s *simulation) retryLater(r *simRequest) {
	if s.now.Sub(r.arrivedAt) > simWaitTimeout {
		s.fail(r)
		return
	}
	s.after(quarantine.IsolationPollInterval, func() { s.dispatch(r) })
}

// choose returns the first engine that is up, for suspected work one that is not reserved.
func (s *simulation) choose(r *simRequest, isolated bool) *simEngine {
	reserved := map[string]bool{}
	for _, id := range r.entry.tracker.ReservedEndpoints(content(r.work, r.parts...), s.now) {
		reserved[id] = true
	}
	var fallback *simEngine
	for _, e := range s.engines {
		if !e.up {
			continue
		}
		if !reserved[e.id] {
			return e
		}
		fallback = e
	}
	if isolated {
		return nil
	}
	return fallback
}

func (s *simulation) start(r *simRequest, e *simEngine) {
	r.engine, r.firstEventAt = e, time.Time{}
	r.attempts++
	e.running = append(e.running, r)
	switch r.entry.tracker.Status(content(r.work, r.parts...), s.now).(type) {
	case quarantine.PreferIsolation, quarantine.RequireIsolation:
		r.isolated = true
		s.broadcast(r, protocol.WorkIsolatedRun)
	}
	incarnation, attempts := e.incarnation, r.attempts
	running := func() bool { return r.engine == e && e.incarnation == incarnation && r.attempts == attempts }
	if r.poison {
		if at := s.fifthAt[r.badPart]; !at.IsZero() && s.now.Sub(at) > maxLearningTime {
			s.lateBy[r.badPart]++
		}
		s.after(s.between(80*time.Millisecond, 250*time.Millisecond), func() {
			if running() {
				s.crashes++
				if s.crashesBy[r.badPart]++; s.crashesBy[r.badPart] == 5 {
					s.fifthAt[r.badPart] = s.now
				}
				s.crash(e)
			}
		})
		return
	}
	s.after(s.between(80*time.Millisecond, 250*time.Millisecond), func() {
		if !running() {
			return
		}
		r.firstEventAt = s.now
		s.after(quarantine.SafeAfter, func() {
			if !running() {
				return
			}
			s.endIsolatedRun(r)
			for _, part := range r.parts {
				r.entry.history.Record(part, s.now)
			}
			if r.entry.tracker.IsSuspected(content(r.work, r.parts...)) {
				s.broadcast(r, protocol.WorkRan)
			}
		})
		s.after(simStreamDuration, func() {
			if running() {
				s.served++
				e.running = slices.DeleteFunc(e.running, func(other *simRequest) bool { return other == r })
			}
		})
	})
}

// crash crashes an engine with all its requests, and restarts it later.
func (s *simulation) crash(e *simEngine) {
	incarnation := e.incarnation
	at := s.now
	e.up = false
	for _, entry := range s.entries {
		s.after(s.between(time.Millisecond, 15*time.Millisecond), func() { entry.tracker.RecordCrash(e.id, incarnation, at) })
	}
	failed := e.running
	e.running = nil
	for _, r := range failed {
		if r.firstEventAt.IsZero() || s.now.Sub(r.firstEventAt) <= quarantine.SafeAfter {
			s.broadcast(r, protocol.WorkBroke)
		}
		s.endIsolatedRun(r)
		r.engine, r.arrivedAt = nil, s.now
		if r.attempts >= simMaxAttempts || r.poison && s.poisonAttempts > 0 && r.attempts >= s.poisonAttempts {
			s.fail(r)
			continue
		}
		s.after(s.between(time.Millisecond, 5*time.Millisecond), func() { s.dispatch(r) })
	}
	s.after(simRestartTime, func() { e.incarnation, e.up = incarnation+1, true })
}

// fail ends a request; its caller may retry.
func (s *simulation) fail(r *simRequest) {
	switch {
	case r.poison:
	case r.retries > 0:
		s.after(s.between(200*time.Millisecond, 1500*time.Millisecond), func() {
			s.arrive(&simRequest{work: r.work, parts: r.parts, retries: r.retries - 1})
		})
	default:
		s.failed++
	}
}

func (s *simulation) endIsolatedRun(r *simRequest) {
	if r.isolated {
		r.isolated = false
		s.broadcast(r, protocol.WorkIsolatedRunOver)
	}
}

func (s *simulation) report(r *simRequest, observation protocol.WorkObservation) quarantine.Report {
	return quarantine.NewReport(protocol.WorkReport{
		Work: r.work, Parts: r.parts, Endpoint: r.engine.id, Incarnation: r.engine.incarnation, Observer: r.entry.name, Observation: observation,
	}, s.now)
}

// broadcast applies an observation at its entry and sends it to the others, which takes some
// milliseconds.
func (s *simulation) broadcast(r *simRequest, observation protocol.WorkObservation) {
	report := s.report(r, observation)
	r.entry.apply(&report, s.now)
	for _, entry := range s.entries {
		if entry == r.entry {
			continue
		}
		deliver := func() { entry.apply(&report, s.now) }
		s.after(s.between(time.Millisecond, cmp.Or(s.reportDelay, 20*time.Millisecond)), deliver)
		if s.repeatReports {
			s.after(s.between(time.Millisecond, cmp.Or(s.reportDelay, 20*time.Millisecond)), deliver)
		}
	}
}

// apply applies a report, and what this entry knows of its parts.
func (e *simEntry) apply(r *quarantine.Report, now time.Time) {
	e.tracker.Apply(*r, now)
	if !r.Observation().Broke() {
		return
	}
	for _, part := range r.Content().Parts() {
		if ran := e.history.Runs(part).Last(); !ran.IsZero() {
			e.tracker.Apply(quarantine.NewReport(protocol.WorkReport{
				Work: part, Parts: []protocol.Fingerprint{part}, Endpoint: r.Endpoint(), Observer: e.name, Observation: protocol.WorkRan,
			}, ran), now)
		}
	}
}

// TestSimulatedPoisonRequests simulates the load with one and two poison requests and checks the
// effect on other callers. Without a tracker each try crashes up to three engines, at 14 tries for
// each poison request. The simulations with the seeds from 29 on once refused other work, for two
// reasons: a mere count of three crashes, although one of the two poison requests was involved in
// each of them; and isolated runs of two pieces of work that started together again and again. With
// the seed 29 one try is still refused: the other poison request arrives for the first time at the
// endpoint of the isolated run.
func TestSimulatedPoisonRequests(t *testing.T) {
	seeds := []uint64{0, 1, 2, 3, 4, 5, 9, 29, 47, 50, 56, 57}
	for poison := 1; poison <= 2; poison++ {
		var crashes, maxCrashes, failed, served, refused int
		for _, seed := range seeds {
			sim := &simulation{rand: rand.New(rand.NewPCG(seed, 7)), now: startTime}
			sim.run(poison)
			require.LessOrEqual(t, sim.crashes, 5*poison, "seed %d: crashed engines", seed)
			crashes, maxCrashes, failed, served, refused = crashes+sim.crashes, max(maxCrashes, sim.crashes), failed+sim.failed, served+sim.served, refused+sim.refused
		}
		t.Logf("%d poison requests: %.1f crashes, %d at most; of other work %.1f in 1,000 failed and %d tries were refused", poison,
			float64(crashes)/float64(len(seeds)), maxCrashes, 1000*float64(failed)/float64(failed+served), refused)
		require.LessOrEqual(t, refused, poison-1, "refused tries of other work")
	}
}
