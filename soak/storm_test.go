// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// storm injects faults drawn from a seed, in series that overlap.
type storm struct {
	world *world
	wait  sync.WaitGroup
	till  time.Time
	mutex sync.Mutex
	story []string // what was done, for the report
	begun time.Time
}

// series is faults one after the other, beside other series.
type series struct {
	storm *storm
	draw  *rand.Rand
	// ofRecords says that its faults are those of endpoints' records. They have a series of
	// their own, so that they don't change what the others draw from a seed.
	ofRecords bool
}

// run injects faults until till, in that many series side by side and one of records'
// faults, and returns when all of them are over.
func (s *storm) run(draw *rand.Rand, beside int) {
	s.begun = time.Now()
	for i := range beside + 1 {
		s.wait.Add(1)
		go (&series{storm: s, draw: rand.New(rand.NewPCG(draw.Uint64(), 2)), ofRecords: i == beside}).run()
	}
	s.wait.Wait()
}

func (s *storm) tell(what string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.story = append(s.story, time.Since(s.begun).Round(10*time.Millisecond).String()+" "+what)
}

func (s *series) run() {
	defer s.storm.wait.Done()
	for time.Now().Before(s.storm.till) {
		s.pause(50, 900)
		s.fault()
	}
}

// pause waits for between least and most milliseconds.
func (s *series) pause(least, most int) {
	time.Sleep(time.Duration(least+s.draw.IntN(most-least)) * time.Millisecond)
}

func (s *series) entry() *entry {
	return s.storm.world.entries[s.draw.IntN(len(s.storm.world.entries))]
}

// endpoint draws a live endpoint, one of a plain service as often as an engine.
func (s *series) endpoint() *endpoint {
	live := s.storm.world.live(s.draw.IntN(2) == 0)
	return live[s.draw.IntN(len(live))]
}

// doom takes an endpoint from the live ones that is about to crash, nil where fewer
// than three of its service would be left to others.
func (s *series) doom() *endpoint {
	w := s.storm.world
	w.dooming.Lock()
	defer w.dooming.Unlock()
	live := w.live(s.draw.IntN(2) == 0)
	if len(live) < 3 {
		return nil
	}
	e := live[s.draw.IntN(len(live))]
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.gone = true
	return e
}

// last waits as long as a fault lasts: mostly shorter than what the bounds allow for,
// now and then longer.
func (s *series) last() {
	if s.draw.IntN(4) == 0 {
		s.pause(4000, 8000)
		return
	}
	s.pause(100, 4000)
}

// fault injects one fault and waits until it is over.
func (s *series) fault() {
	faults := []func(){
		s.killEntry, s.stopEntry, s.pauseEntry, s.hangUp, s.killMany,
		s.disturbStore, s.disturbStoreWay, s.disturbCallers, s.disturbEndpointWay,
		s.failEndpoint, s.replaceEndpoint, s.crashEndpoint, s.changeTable, s.withdrawUnheard,
	}
	if s.ofRecords {
		faults = []func(){s.restartEndpoint, s.writeForeign}
	}
	faults[s.draw.IntN(len(faults))]()
}
