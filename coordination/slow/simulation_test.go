// SPDX-License-Identifier: Apache-2.0

package slow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	simStages, replicasPerStage = 8, 3
	stageTime                   = 12 * time.Millisecond // of one request at one engine
	reportDelay                 = 200 * time.Millisecond
	targetLatency               = 500 * time.Millisecond
	simSlowdown                 = 12
)

// simulation is a fleet in virtual time. Its engines serve one request after the other.
type simulation struct {
	view       *fleet.View
	idleAt     map[string]time.Time // when an engine has finished all requests sent to it
	slow       map[string]bool
	slowFrom   time.Time // start and end of the slowness
	slowUntil  time.Time
	tracker    slow.Tracker
	lastNumber uint64
	probes     int
	detects    bool
}

func newSimulation(detects bool) *simulation {
	sim := &simulation{idleAt: map[string]time.Time{}, slow: map[string]bool{}, slowFrom: at(2000), slowUntil: at(11_000), detects: detects}
	var runners []protocol.Runner
	for stage := range simStages {
		for replica := range replicasPerStage {
			name := fmt.Sprintf("%d-%d", stage, replica)
			runners = append(runners, protocol.Runner{Name: name, Model: "m", From: stage, To: stage + 1, Speed: 1e5, StepSeconds: stageTime.Seconds() / 100})
			sim.slow[name] = stage < 3 && replica == 0 // three of 24 engines
		}
	}
	sim.view = fleet.NewView(nil, []protocol.Model{{Name: "m", Layers: simStages}}, runners, fleet.Entry{Name: "one"})
	return sim
}

func (s *simulation) slowdown(name string, at time.Time) float64 {
	if s.slow[name] && !at.Before(s.slowFrom) && at.Before(s.slowUntil) {
		return simSlowdown
	}
	return 1
}

// serve runs a request on a chosen path and returns how long it took.
func (s *simulation) serve(now time.Time, random *rand.Rand) time.Duration {
	q := path.Query{Now: now, Positions: 1, OutputTokens: 100, Entries: 1, Rand: random}
	var chosen path.Path
	if path.ChooseSubspans(s.view.Model("m"), &q, &chosen) >= 0 {
		panic("a layer has no runner")
	}
	done := now
	for i := range chosen.Len() {
		name := chosen.Runner(i).Name()
		begin := done
		if s.idleAt[name].After(begin) {
			begin = s.idleAt[name]
		}
		done = begin.Add(time.Duration(float64(stageTime) * s.slowdown(name, now)))
		s.idleAt[name] = done
	}
	if s.detects && done.Sub(now) > 18*simStages*stageTime/10 {
		s.probePath(&chosen, now.Add(18*simStages*stageTime/10))
	}
	return done.Sub(now)
}

// probePath probes the engines of a path on which a request is late.
func (s *simulation) probePath(late *path.Path, now time.Time) {
	for i := range late.Len() {
		s.probe(late.Runner(i), now)
	}
}

func (s *simulation) probe(r *fleet.Runner, now time.Time) {
	s.probes++
	s.lastNumber++
	report := slow.NewReport(protocol.SlownessReport{
		Endpoint: r.Name(), Observer: "one", Number: s.lastNumber, Observation: protocol.SlowReported, Slowdown: s.slowdown(r.Name(), now.Add(-reportDelay)),
	}, now.Add(-reportDelay))
	switch change := s.tracker.Apply(report, now).(type) {
	case slow.Slow:
		r.MarkSlow(change.Slowdown(), change.Since(), change.Until())
	case slow.Recovered:
		r.ClearSlow()
	}
}

// probeSlow probes the engines that are slow.
func (s *simulation) probeSlow(now time.Time) {
	for _, r := range s.view.Runners() {
		if r.IsSlow(now) {
			s.probe(r, now)
		}
	}
}

// lateShare simulates 40 calls a second for 14 s. It returns the share of late calls while engines
// are slow, from a second after the slowness began, and the share after the slowness ended.
func (s *simulation) lateShare() (during, after float64) {
	random := rand.New(rand.NewPCG(1, 2))
	var late, calls [2]float64
	for ms := 0; ms < 14_000; ms += 25 {
		now := at(ms)
		if ms%500 == 0 {
			s.probeSlow(now)
		}
		took := s.serve(now, random)
		phase := 0
		switch {
		case ms >= 12_000:
			phase = 1
		case ms < 3000 || ms >= 11_000:
			continue
		}
		calls[phase]++
		if took > targetLatency {
			late[phase]++
		}
	}
	return late[0] / calls[0], late[1] / calls[1]
}

// TestCallsAvoidSlowEngines simulates three of 24 engines that are slow by a factor of twelve for
// nine seconds. Without detection, a call to one of them waits behind the others there, and more
// than half of the calls are late. With detection, no call is late from a second after the slowness
// began, it takes few probes, and the engines are used again afterwards.
func TestCallsAvoidSlowEngines(t *testing.T) {
	undetected, _ := newSimulation(false).lateShare()
	require.Greater(t, undetected, 0.5)
	sim := newSimulation(true)
	during, after := sim.lateShare()
	require.Zero(t, during)
	require.Zero(t, after)
	require.Less(t, sim.probes, 300)
	for _, r := range sim.view.Runners() {
		require.False(t, r.IsSlow(at(14_000)), r.Name())
	}
}
