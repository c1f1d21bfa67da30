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

// inFlightStep is a step that awaits the reply of a runner.
type inFlightStep struct {
	runner  *fleet.Runner
	step    detect.Step
	checkAt time.Time // when to classify it next
}

// dispatch sends a step to its runner and adds it to the steps in flight.
func (m *modelRun) dispatch(s stream.Dispatch) {
	now := time.Now()
	r := s.Runner()
	f := inFlightStep{runner: r, step: detect.Step{SentAt: now, ExpectedSeconds: r.ExpectedLatency(now, s.Step().Count)}}
	f.checkAt = detect.ReplyDeadline(r, f.step)
	m.inFlight = append(m.inFlight, f)
	m.resetReplyTimer()
	m.entry.pool.Client(r).Send(&s, f.step.ExpectedSeconds, m.mailbox)
}

// removeInFlight removes a runner's step from those in flight and returns it.
func (m *modelRun) removeInFlight(r *fleet.Runner) (inFlightStep, bool) {
	for i, f := range m.inFlight {
		if f.runner == r {
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
			m.resetReplyTimer()
			return f, true
		}
	}
	return inFlightStep{}, false
}

// resetReplyTimer sets the timer to the time at which the next step in flight is
// to be classified.
func (m *modelRun) resetReplyTimer() {
	if len(m.inFlight) == 0 {
		m.replyTimer.Stop()
		return
	}
	next := m.inFlight[0].checkAt
	for _, f := range m.inFlight[1:] {
		if f.checkAt.Before(next) {
			next = f.checkAt
		}
	}
	m.replyTimer.Reset(time.Until(next))
}

// addBacklog adds to each runner's backlog the layer passes that the rest of the
// request needs there.
func (m *modelRun) addBacklog(p *path.Path) {
	m.backlog = make([]int64, p.Len())
	positions := m.machine.TokenCount() + m.machine.Remaining()
	for i := range m.backlog {
		m.backlog[i] = int64(positions * p.Runner(i).Span().Layers())
		p.Runner(i).AddBacklog(m.backlog[i])
	}
}

// reduceBacklog removes the layer passes of a completed step from the runner's
// backlog.
func (m *modelRun) reduceBacklog(r *fleet.Runner, count int) {
	p := m.machine.Path()
	for i := range m.backlog {
		if p.Runner(i) == r {
			completed := min(m.backlog[i], int64(count*r.Span().Layers()))
			m.backlog[i] -= completed
			r.AddBacklog(-completed)
		}
	}
}

// cancelPath cancels the request at the engines of the current path. A step in
// flight may have run unless this entry had not sent it yet.
func (m *modelRun) cancelPath() {
	p := m.machine.Path()
	for i := range p.Len() {
		r := p.Runner(i)
		unsent := m.entry.pool.Client(r).Cancel(m.id, m.machine.Attempt())
		if _, inFlight := m.removeInFlight(r); inFlight && !unsent {
			m.mayHaveRun = true
		}
	}
	for i, remaining := range m.backlog {
		p.Runner(i).AddBacklog(-remaining)
	}
	m.backlog = nil
}
