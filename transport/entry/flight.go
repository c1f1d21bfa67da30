// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/detect"
	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/stream"
	"pinerun.example/pinerun/state/fleet"
)

// flight is a step in flight at a runner.
type flight struct {
	runner *fleet.Runner
	step   detect.Step
	look   time.Time // when to judge it next
}

func (m *modelRun) send(s stream.Dispatch) {
	now := time.Now()
	r := s.Runner()
	f := flight{runner: r, step: detect.Step{SentAt: now, ExpectedSeconds: r.ExpectedLatency(now, s.Step().Count)}}
	f.look = detect.ReplyDeadline(r, f.step)
	m.flights = append(m.flights, f)
	m.setSilence()
	m.entry.pool.Client(r).Send(&s, f.step.ExpectedSeconds, m.mailbox)
}

// landed removes a runner's step from those in flight and returns it.
func (m *modelRun) landed(r *fleet.Runner) (flight, bool) {
	for i, f := range m.flights {
		if f.runner == r {
			m.flights = slices.Delete(m.flights, i, i+1)
			m.setSilence()
			return f, true
		}
	}
	return flight{}, false
}

// setSilence wakes the run when the next step in flight is to be judged.
func (m *modelRun) setSilence() {
	if len(m.flights) == 0 {
		m.silence.Stop()
		return
	}
	next := m.flights[0].look
	for _, f := range m.flights[1:] {
		if f.look.Before(next) {
			next = f.look
		}
	}
	m.silence.Reset(time.Until(next))
}

// pledge notes at each runner what the rest of the request will need there.
func (m *modelRun) pledge(p *path.Path) {
	m.pledges = make([]int64, p.Len())
	positions := m.machine.TokenCount() + m.machine.Remaining()
	for i := range m.pledges {
		m.pledges[i] = int64(positions * p.Runner(i).Span().Layers())
		p.Runner(i).AddBacklog(m.pledges[i])
	}
}

// redeem takes the passes of a step that was answered out of the pledge.
func (m *modelRun) redeem(r *fleet.Runner, count int) {
	p := m.machine.Path()
	for i := range m.pledges {
		if p.Runner(i) == r {
			done := min(m.pledges[i], int64(count*r.Span().Layers()))
			m.pledges[i] -= done
			r.AddBacklog(-done)
		}
	}
}

// forgetPath tells the engines of the current path to drop the request. A step
// in flight may have run unless it was still queued here.
func (m *modelRun) forgetPath() {
	p := m.machine.Path()
	for i := range p.Len() {
		r := p.Runner(i)
		unsent := m.entry.pool.Client(r).Cancel(m.id, m.machine.Attempt())
		if _, inFlight := m.landed(r); inFlight && !unsent {
			m.ran = true
		}
	}
	for i, left := range m.pledges {
		p.Runner(i).AddBacklog(-left)
	}
	m.pledges = nil
}
