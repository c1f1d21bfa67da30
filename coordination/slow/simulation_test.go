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

func (sim *simulation) slowdown(name string, at time.Time) float64 {
	if sim.slow[name] && !at.Before(sim.slowFrom) && at.Before(sim.slowUntil) {
		return simSlowdown
	}
	return 1
}

// serve runs a request on a chosen path and returns how long it took.
func (sim *simulation) serve(now time.Time, random *rand.Rand) time.Duration {
	q := path.Query{Now: now, Positions: 1, OutputTokens: 100, Entries: 1, Rand: random}
	var chosen path.Path
	if path.ChooseSubspans(sim.view.Model("m"), &q, &chosen) >= 0 {
		panic("a layer has no runner")
	}
	done := now
	for i := range chosen.Len() {
		name := chosen.Runner(i).Name()
		begin := done
		if sim.idleAt[name].After(begin) {
			begin = sim.idleAt[name]
		}
		done = begin.Add(time.Duration(float64(stageTime) * sim.slowdown(name, now)))
		sim.idleAt[name] = done
	}
	if sim.detects && done.Sub(now) > 18*simStages*stageTime/10 {
		sim.probePath(&chosen, now.Add(18*simStages*stageTime/10))
	}
	return done.Sub(now)
}

// probePath probes the engines of a path on which a request is late.
func (sim *simulation) probePath(late *path.Path, now time.Time) {
	for i := range late.Len() {
		sim.probe(late.Runner(i), now)
	}
}

func (sim *simulation) probe(r *fleet.Runner, now time.Time) {
	sim.probes++
	sim.lastNumber++
	report := slow.NewReport(protocol.SlownessReport{
		Endpoint: r.Name(), Observer: "one", Number: sim.lastNumber, Observation: protocol.SlowReported, Slowdown: sim.slowdown(r.Name(), now.Add(-reportDelay)),
	}, now.Add(-reportDelay))
	switch change := sim.tracker.Apply(report, now).(type) {
	case slow.Slow:
		r.MarkSlow(change.Slowdown(), change.Since(), change.Until())
	case slow.Recovered:
		r.ClearSlow()
	}
}

// probeSlow probes the engines that are slow.
func (sim *simulation) probeSlow(now time.Time) {
	for _, r := range sim.view.Runners() {
		if r.IsSlow(now) {
			sim.probe(r, now)
		}
	}
}

// lateShare simulates 40 calls a second for 14 s. It returns the share of late calls while engines
// are slow, from a second after the slowness began, and the share after the slowness ended.
func (sim *simulation) lateShare() (during, after float64) {
	random := rand.New(rand.NewPCG(1, 2))
	var late, calls [2]float64
	for ms := 0; ms < 14_000; ms += 25 {
		now := at(ms)
		if ms%500 == 0 {
			sim.probeSlow(now)
		}
		took := sim.serve(now, random)
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
