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
	stages, holders = 8, 3
	stageWork       = 12 * time.Millisecond // of one request at one engine
	reportAge       = 200 * time.Millisecond
	aim             = 500 * time.Millisecond
	slowPace        = 12
)

// played is a fleet whose engines serve one request after the other, in virtual time.
type played struct {
	view    *fleet.View
	free    map[string]time.Time // when an engine is done with what was sent to it
	slow    map[string]bool
	from    time.Time // when those turn slow
	till    time.Time
	book    slow.Tracker
	number  uint64
	asked   int
	decides bool
}

func newPlayed(decides bool) *played {
	p := &played{free: map[string]time.Time{}, slow: map[string]bool{}, from: at(2000), till: at(11_000), decides: decides}
	var runners []protocol.Runner
	for s := range stages {
		for h := range holders {
			name := fmt.Sprintf("%d-%d", s, h)
			runners = append(runners, protocol.Runner{Name: name, Model: "m", From: s, To: s + 1, Speed: 1e5, Step: stageWork.Seconds() / 100})
			p.slow[name] = s < 3 && h == 0 // three of 24
		}
	}
	p.view = fleet.NewView(nil, []protocol.Model{{Name: "m", Layers: stages}}, runners, fleet.Entry{Name: "one"})
	return p
}

func (p *played) pace(name string, when time.Time) float64 {
	if p.slow[name] && !when.Before(p.from) && when.Before(p.till) {
		return slowPace
	}
	return 1
}

// serve runs a request over the path that is chosen, and returns how long it took.
func (p *played) serve(now time.Time, draw *rand.Rand) time.Duration {
	q := path.Query{Now: now, Positions: 1, OutputTokens: 100, Entries: 1, Rand: draw}
	var way path.Path
	if path.ChooseSubspans(p.view.Model("m"), &q, &way) >= 0 {
		panic("every layer has holders")
	}
	done := now
	for i := range way.Len() {
		name := way.Runner(i).Name()
		begin := done
		if p.free[name].After(begin) {
			begin = p.free[name]
		}
		done = begin.Add(time.Duration(float64(stageWork) * p.pace(name, now)))
		p.free[name] = done
	}
	if p.decides && done.Sub(now) > 18*stages*stageWork/10 {
		p.ask(&way, now.Add(18*stages*stageWork/10))
	}
	return done.Sub(now)
}

// ask asks the engines of a path that is late, and again those that are slow.
func (p *played) ask(way *path.Path, now time.Time) {
	for i := range way.Len() {
		p.take(way.Runner(i), now)
	}
}

func (p *played) take(r *fleet.Runner, now time.Time) {
	p.asked++
	p.number++
	told := slow.NewReport(protocol.RelaySlow{
		Endpoint: r.Name(), Observer: "one", Number: p.number, Observation: protocol.SlowTold, Pace: p.pace(r.Name(), now.Add(-reportAge)),
	}, now.Add(-reportAge))
	switch v := p.book.Apply(told, now).(type) {
	case slow.Slow:
		r.MarkSlow(v.Slowdown(), v.Since(), v.Until())
	case slow.Recovered:
		r.ClearSlow()
	}
}

// again asks the engines that are slow.
func (p *played) again(now time.Time) {
	for _, r := range p.view.Runners() {
		if r.IsSlow(now) {
			p.take(r, now)
		}
	}
}

// lateCallers plays 40 calls a second for 14 s and returns the part of them that is late,
// while engines are slow from a second after that began on, and after they are fast again.
func (p *played) lateCallers() (during, after float64) {
	draw := rand.New(rand.NewPCG(1, 2))
	var late, calls [2]float64
	for ms := 0; ms < 14_000; ms += 25 {
		now := at(ms)
		if ms%500 == 0 {
			p.again(now)
		}
		took := p.serve(now, draw)
		phase := 0
		switch {
		case ms >= 12_000:
			phase = 1
		case ms < 3000 || ms >= 11_000:
			continue
		}
		calls[phase]++
		if took > aim {
			late[phase]++
		}
	}
	return late[0] / calls[0], late[1] / calls[1]
}

// TestCallersOfAFleetWithSlowEnginesAreServedInTime plays three of 24 engines that are slow
// by a factor of twelve for nine seconds. With nothing known every call that runs into one
// waits behind the others there; with the decision none is late from a second after the
// slowness began on, for few questions, and the engines are used again when it is over.
func TestCallersOfAFleetWithSlowEnginesAreServedInTime(t *testing.T) {
	blind, _ := newPlayed(false).lateCallers()
	require.Greater(t, blind, 0.5)
	p := newPlayed(true)
	during, after := p.lateCallers()
	require.Zero(t, during)
	require.Zero(t, after)
	require.Less(t, p.asked, 300)
	for _, r := range p.view.Runners() {
		require.False(t, r.IsSlow(at(14_000)), r.Name())
	}
}
