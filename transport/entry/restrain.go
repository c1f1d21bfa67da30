// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// standing returns what the request's work may do now.
func (m *modelRun) standing(now time.Time) quarantine.Status {
	if m.entry.suspects.book.Empty() {
		return quarantine.Unrestricted{}
	}
	return m.entry.suspects.book.Status(m.fingerprint(), now)
}

// fingerprint tells the request's work from other work. It is worked out only while any work is
// suspected.
func (m *modelRun) fingerprint() protocol.Fingerprint {
	if m.work.IsZero() {
		m.work = protocol.FingerprintOf(m.call.team.Name, http.MethodPost, "", "chat", m.call.body)
	}
	return m.work
}

// await waits until the request's work may run, and chooses its path. The work of a request that
// ended two runners runs where no other such work is, one request at a time.
func (m *modelRun) await(ctx context.Context) (path.Path, error) {
	var waited bool
	for till := clock.Now().Add(quarantine.IsolationTimeout); ; {
		now := clock.Now()
		p, runs, err := m.choose(m.standing(now), now)
		if runs || err != nil {
			return p, err
		}
		if !waited {
			waited = true
			m.entry.counters.Add(metric.RequestsTried, 1)
		}
		if !now.Before(till) {
			return p, m.untried()
		}
		if !m.rest(ctx, time.Now().Add(quarantine.IsolationPollInterval)) {
			return p, m.givenUp(ctx)
		}
	}
}

// choose returns a path for work of that standing, and whether it may run there now.
func (m *modelRun) choose(s quarantine.Status, now time.Time) (p path.Path, runs bool, err error) {
	var taken []string
	switch s := s.(type) {
	case quarantine.Refused:
		return p, false, m.endsRunners(s)
	case quarantine.Waiting:
		return p, false, nil
	case quarantine.PreferIsolation, quarantine.RequireIsolation:
		taken = m.entry.suspects.book.ReservedEndpoints(m.fingerprint(), now)
	}
	if p, err = m.path(taken); err != nil {
		return p, false, err
	}
	if _, alone := s.(quarantine.RequireIsolation); alone {
		first := p.Runner(0)
		return p, first.Usable(time.Now()) && !slices.Contains(taken, first.Name()) && m.entry.suspects.book.MayStartIsolatedRun(now), nil
	}
	return p, true, nil
}

// path returns a path over runners that the request may use, those at which other work is on trial
// only where nothing else holds a layer.
func (m *modelRun) path(taken []string) (path.Path, error) {
	view := m.entry.view.Load()
	avoid := slices.Clip(m.avoid)
	for _, name := range taken {
		if r := view.Runner(name); r != nil {
			avoid = append(avoid, r)
		}
	}
	query := path.Query{
		Now: time.Now(), Positions: m.machine.TokenCount(), Rand: m.draw, Avoid: avoid, Policy: m.policy(),
	}
	var p path.Path
	if missing := path.ChooseInto(view.Model(m.model.Name), &query, &p); missing >= 0 {
		return p, m.noPath(missing)
	}
	return p, nil
}

// endsRunners returns what the caller of refused work is told.
func (m *modelRun) endsRunners(r quarantine.Refused) *protocol.Refusal {
	message := fmt.Sprintf("%d runners ended when they ran the same request", r.Crashes())
	if m.ran {
		return protocol.Uncertain(protocol.StageFailed, message)
	}
	return protocol.Refuse(protocol.EndsEndpoints, message).Again(r.Until())
}

// untried returns what the caller is told whose request has waited for its trial in vain.
func (m *modelRun) untried() *protocol.Refusal {
	const message = "runners ended when they ran this request, and none is free to run it alone"
	if m.ran {
		return protocol.Uncertain(protocol.StageFailed, message)
	}
	return protocol.Refuse(protocol.QueueFull, message).Again(time.Now().Add(quarantine.IsolationRetryAfter))
}

// enrol notes that the work is on trial at the runner that begins to run it, if it is suspected:
// other such work keeps away from there.
func (m *modelRun) enrol(p *path.Path) {
	now := clock.Now()
	if _, free := m.standing(now).(quarantine.Unrestricted); free || !p.Runner(0).Usable(time.Now()) {
		return
	}
	m.trial = p.Runner(0)
	m.tell(m.trial, m.lifeOf(m.trial), protocol.WorkTried, now)
}

// dismiss ends the trial that the request is, if any.
func (m *modelRun) dismiss() {
	if m.trial == nil {
		return
	}
	m.tell(m.trial, m.lifeOf(m.trial), protocol.WorkTrialOver, clock.Now())
	m.trial = nil
}

// broke tells that the connection to a runner broke on which the request's work had begun a moment
// ago, and has it found out whether the runner has ended.
func (m *modelRun) broke(r *fleet.Runner, life protocol.Incarnation, sentAt time.Time) {
	now := clock.Now()
	if !m.firstAt.IsZero() && now.Sub(m.firstAt) > quarantine.SafeAfter {
		return
	}
	s := &m.entry.suspects
	m.tell(r, life, protocol.WorkBroke, now)
	s.book.RecordUnresolved(r.Name(), life, now)
	s.check(r, life, sentAt)
}

// runsOn notes a token. Work that runs on proves that it does not end its runners.
func (m *modelRun) runsOn() {
	now := clock.Now()
	if m.firstAt.IsZero() {
		m.firstAt = now
	}
	if now.Sub(m.firstAt) >= quarantine.SafeAfter {
		m.ranWell()
	}
}

// ranWell tells that the work ran well, if anything is known against it.
func (m *modelRun) ranWell() {
	m.dismiss()
	book := &m.entry.suspects.book
	if m.proven || book.Empty() || !book.IsSuspected(m.fingerprint()) {
		return
	}
	m.proven = true
	first := m.machine.Path().Runner(0)
	m.tell(first, m.lifeOf(first), protocol.WorkRan, clock.Now())
}

func (m *modelRun) tell(r *fleet.Runner, life protocol.Incarnation, sign protocol.WorkObservation, now time.Time) {
	m.entry.suspects.book.Report(protocol.RelayWork{Work: m.fingerprint(), Endpoint: r.Name(), Incarnation: life, Observation: sign}, now)
}

func (m *modelRun) lifeOf(r *fleet.Runner) protocol.Incarnation {
	return m.entry.pool.Client(r).Incarnation()
}
