// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/crashcheck"
	"pinerun.example/pinerun/transport/relay"
)

const (
	// newsAgain is how often recent reports are told again: a frame to a peer may be lost.
	newsAgain = time.Second
	// newsFresh is how old a report may be to be told again; a peer that is met later is told all.
	newsFresh = 5 * time.Second
	// keptMost bounds the reports that are kept for peers to come, and those of runners that are
	// not known yet, some 100 bytes each.
	keptMost = 1024
)

// suspects knows which work may end the runners that it runs on, from this entry and its peers.
// What a request has met outlasts its try: forgotten with it, one request with its repeats ended 25
// lives of two runners, and 50 of four, in ten tries at two entries; 3 or 4 of four since (64 turns).
type suspects struct {
	entry *Entry
	book  relay.Quarantine

	told    uint64    // number of the last report that peers were told
	againAt time.Time // when they were last told again

	done    part.Done
	endings crashcheck.Checker
	mutex   sync.Mutex
	heard   []heardEnd // that are not asked after yet
	kept    []keptNews // for peers to come
}

// run tells peers what is proven here, and notes what is refused.
func (s *suspects) run() {
	t := time.NewTicker(quarantine.IsolationPollInterval)
	defer t.Stop()
	for {
		met, ticks := s.book.Changed(), t.C
		if s.book.Empty() {
			ticks = nil // there is nothing to look for
		}
		select {
		case <-s.done.Done():
			return
		case <-met:
		case <-ticks:
		}
		now := clock.Now()
		s.checkHeard(now)
		s.review()
		s.tell(now)
	}
}

// close ends it, and what it asks.
func (s *suspects) close() {
	s.done.Close()
	s.endings.Close()
}

// review counts and logs the work that is refused from now on.
func (s *suspects) review() {
	newly := s.book.NewRefusals(clock.Now(), time.Now())
	for i := range newly {
		r := &newly[i]
		s.entry.counters.Add(metric.WorkRefused, 1)
		event.WorkRefused.Log(s.entry.Logger, slog.String("fingerprint", r.Work().String()), slog.Int("ends", len(r.Crashes())),
			slog.Int64("till_ms", clock.Until(r.Until()).Milliseconds()))
	}
}

// tell tells every peer what is new, and each newsAgain the ends of a moment ago again.
func (s *suspects) tell(now time.Time) {
	news, last := s.book.ReportsSince(s.told, now)
	s.told = last
	s.keep(news, now)
	if now.Sub(s.againAt) >= newsAgain {
		s.againAt = now
		news = append(news, s.since(now.Add(-newsFresh), now)...)
	}
	if len(news) > 0 {
		s.entry.mesh.Broadcast(protocol.PeerFrame{Work: news})
	}
}

// keep keeps what a peer has to be told that is met later. Trials are over by then, and there may be
// so many of them that the ends before are not passed on any more.
func (s *suspects) keep(news []protocol.RelayWork, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, n := range news {
		if n.Observation.Broke() || n.Observation == protocol.WorkRan {
			s.kept = append(s.kept, keptNews{news: n, at: n.At(now)})
		}
	}
	s.kept = s.kept[max(0, len(s.kept)-keptMost):]
}

// keptNews is a report for peers to come, and when its witness met what it tells.
type keptNews struct {
	news protocol.RelayWork
	at   time.Time
}

// all returns what a peer has to be told that has just been met.
func (s *suspects) all() []protocol.RelayWork {
	now := clock.Now()
	return s.since(now.Add(-quarantine.Retention), now)
}

// since returns what was kept that was met after a time, as it is told now.
func (s *suspects) since(oldest, now time.Time) []protocol.RelayWork {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []protocol.RelayWork
	for _, k := range s.kept {
		if k.at.After(oldest) {
			k.news.AgoMS = float64(now.Sub(k.at)) / float64(time.Millisecond)
			all = append(all, k.news)
		}
	}
	return all
}

// hear takes a peer's reports. Whether a runner has ended is found out here: a peer's word alone
// refuses nobody.
func (s *suspects) hear(all []protocol.RelayWork, from string) {
	s.book.Receive(all, from)
	now := clock.Now()
	s.mutex.Lock()
	for _, n := range all {
		if n.Observation.Broke() {
			s.heard = append(s.heard, heardEnd{runner: n.Endpoint, life: n.Incarnation, at: n.At(now)})
		}
	}
	s.mutex.Unlock()
	s.checkHeard(now)
}

// heardEnd is a life of a runner of which a peer told that it may have ended at a time.
type heardEnd struct {
	runner string
	life   protocol.Incarnation
	at     time.Time
}

// checkHeard has it found out whether runners have ended of which peers told. An entry that has just
// started hears of them before it has a configuration that names them.
func (s *suspects) checkHeard(now time.Time) {
	s.mutex.Lock()
	heard := s.heard
	s.heard = nil
	s.mutex.Unlock()
	var left []heardEnd
	for _, h := range heard {
		r := s.runner(h.runner)
		switch {
		case r != nil:
			s.check(r, h.life, time.Now().Add(-now.Sub(h.at)))
		case now.Sub(h.at) < quarantine.UnconfirmedRetention:
			left = append(left, h)
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard = append(s.heard, left...)
	s.heard = s.heard[max(0, len(s.heard)-keptMost):]
}

func (s *suspects) runner(name string) *fleet.Runner {
	if v := s.entry.view.Load(); v != nil {
		return v.Runner(name)
	}
	return nil
}

// check begins to find out whether a life of a runner has ended under what was there at a time of
// day, unless that is being found out.
func (s *suspects) check(r *fleet.Runner, life protocol.Incarnation, at time.Time) {
	s.endings.Begin(&crashcheck.Suspect{
		Endpoint: r.Name(), Incarnation: life, Recorder: &s.book, Logger: s.entry.Logger, Prober: &endCheck{runner: r, life: life, at: at},
	}, clock.Now())
}
