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

// workStatus returns the quarantine status of the request's work.
func (m *modelRun) workStatus(now time.Time) quarantine.Status {
	if m.entry.quarantine.tracker.Empty() {
		return quarantine.Unrestricted{}
	}
	return m.entry.quarantine.tracker.Status(m.content(), now)
}

// fingerprint returns the fingerprint that identifies the request's work. It is computed only
// while some work is suspected.
func (m *modelRun) fingerprint() protocol.Fingerprint {
	if m.workFingerprint.IsZero() {
		m.workFingerprint = protocol.FingerprintOf(m.call.team.Name, http.MethodPost, "", "chat", m.call.body)
	}
	return m.workFingerprint
}

// sharedParts returns the fingerprints of the messages that other requests may share.
func (m *modelRun) sharedParts() []protocol.Fingerprint {
	if m.parts == nil && m.messages != nil {
		m.parts = m.messages.SharedParts()
	}
	return m.parts
}

// content returns what the request may have in common with others that crash runners.
func (m *modelRun) content() *quarantine.Content {
	c := quarantine.NewContent(m.fingerprint(), m.sharedParts())
	return &c
}

// awaitPath waits until the request's work may run, and chooses its path. Work that has crashed two
// runners runs in isolation: on a runner without other suspected work, one request at a time.
func (m *modelRun) awaitPath(ctx context.Context) (path.Path, error) {
	var waited bool
	var since time.Time // from when no other isolated run was in the way
	for deadline := clock.Now().Add(quarantine.IsolationTimeout); ; {
		now := clock.Now()
		status := m.workStatus(now)
		if _, blocked := status.(quarantine.Waiting); blocked || since.IsZero() {
			since = now
		}
		p, allowed, err := m.choosePath(status, since, now)
		if allowed || err != nil {
			return p, err
		}
		if !waited {
			waited = true
			m.entry.counters.Add(metric.IsolatedRuns, 1)
		}
		if !now.Before(deadline) {
			return p, m.isolationRefusal()
		}
		if !m.sleepUntil(ctx, time.Now().Add(quarantine.IsolationPollInterval)) {
			return p, m.abort(ctx)
		}
	}
}

// choosePath returns a path for work with the given status, and whether the work may run on it now. Since is from
// when no other isolated run was in the way.
func (m *modelRun) choosePath(s quarantine.Status, since, now time.Time) (p path.Path, allowed bool, err error) {
	var reserved []string
	switch s := s.(type) {
	case quarantine.Refused:
		return p, false, m.crashRefusal(s)
	case quarantine.Waiting:
		return p, false, nil
	default:
		if !m.entry.quarantine.tracker.Empty() {
			reserved = m.entry.quarantine.tracker.ReservedEndpoints(m.content(), now)
		}
	}
	if p, err = m.findPath(reserved); err != nil {
		return p, false, err
	}
	if isolated, ok := s.(quarantine.RequireIsolation); ok {
		first, entries := p.Runner(0), 1
		if isolated.Shared() {
			entries = m.entry.liveEntries()
		}
		return p, first.Usable(time.Now()) && !slices.Contains(reserved, first.Name()) && m.entry.quarantine.tracker.MayStartIsolatedRun(now, since, entries), nil
	}
	return p, true, nil
}

// findPath returns a path over runners that the request may use. It uses runners reserved for
// isolated runs of other work only if no other runner holds a layer.
func (m *modelRun) findPath(reserved []string) (path.Path, error) {
	view := m.entry.view.Load()
	excluded := slices.Clip(m.excluded)
	for _, name := range reserved {
		if r := view.Runner(name); r != nil {
			excluded = append(excluded, r)
		}
	}
	query := path.Query{
		Now: time.Now(), Positions: m.machine.TokenCount(), Rand: m.rand, Avoid: excluded, Policy: m.pathPolicy(),
	}
	var p path.Path
	if missing := path.ChooseInto(view.Model(m.model.Name), &query, &p); missing >= 0 {
		return p, m.noPath(missing)
	}
	return p, nil
}

// crashRefusal returns the refusal for work that is refused because it crashed runners.
func (m *modelRun) crashRefusal(refused quarantine.Refused) *protocol.Refusal {
	message := fmt.Sprintf("%d runners ended when they ran the same request", refused.Crashes())
	if refused.Part() {
		message = fmt.Sprintf("%d runners ended when they ran requests with the same message", refused.Crashes())
	}
	if m.mayHaveRun {
		return protocol.Uncertain(protocol.StageFailed, message)
	}
	return protocol.Refuse(protocol.CrashesEndpoints, message).WithRetryAt(refused.Until())
}

// isolationRefusal returns the refusal for a request that found no runner for an isolated run in
// time.
func (m *modelRun) isolationRefusal() *protocol.Refusal {
	const message = "runners ended when they ran this request, and none is free to run it alone"
	if m.mayHaveRun {
		return protocol.Uncertain(protocol.StageFailed, message)
	}
	return protocol.Refuse(protocol.QueueFull, message).WithRetryAt(time.Now().Add(quarantine.IsolationRetryAfter))
}

// startIsolatedRun reserves the first runner of the path for the work, if the work is suspected.
// Other suspected work then avoids that runner.
func (m *modelRun) startIsolatedRun(p *path.Path) {
	now := clock.Now()
	if _, unrestricted := m.workStatus(now).(quarantine.Unrestricted); unrestricted || !p.Runner(0).Usable(time.Now()) {
		return
	}
	m.isolatedOn = p.Runner(0)
	m.reportWork(m.isolatedOn, m.incarnationOf(m.isolatedOn), protocol.WorkIsolatedRun, now)
}

// endIsolatedRun ends the isolated run of the request, if there is one.
func (m *modelRun) endIsolatedRun() {
	if m.isolatedOn == nil {
		return
	}
	m.reportWork(m.isolatedOn, m.incarnationOf(m.isolatedOn), protocol.WorkIsolatedRunOver, clock.Now())
	m.isolatedOn = nil
}

// reportConnectionLost reports that the connection to a runner broke while the request's work ran
// there, and starts probing whether the runner has crashed. Work whose first token is older than
// quarantine.SafeAfter is not reported.
func (m *modelRun) reportConnectionLost(r *fleet.Runner, incarnation protocol.Incarnation, sentAt time.Time) {
	now := clock.Now()
	if !m.firstTokenAt.IsZero() && now.Sub(m.firstTokenAt) > quarantine.SafeAfter {
		return
	}
	q := &m.entry.quarantine
	m.reportWork(r, incarnation, protocol.WorkBroke, now)
	q.tracker.RecordUnresolved(r.Name(), incarnation, now)
	q.checkCrash(r, incarnation, sentAt)
}

// recordToken records the arrival of a token. Work that continues for quarantine.SafeAfter after
// its first token is reported as safe.
func (m *modelRun) recordToken() {
	now := clock.Now()
	if m.firstTokenAt.IsZero() {
		m.firstTokenAt = now
	}
	if now.Sub(m.firstTokenAt) >= quarantine.SafeAfter {
		m.reportSafe()
	}
}

// reportSafe reports that the work ran without a crash, if it is suspected.
func (m *modelRun) reportSafe() {
	m.endIsolatedRun()
	tracker := &m.entry.quarantine.tracker
	if !m.partsRecorded {
		m.partsRecorded = true
		tracker.RecordParts(m.sharedParts(), clock.Now())
	}
	if m.safeReported || tracker.Empty() || !tracker.IsSuspected(m.content()) {
		return
	}
	m.safeReported = true
	first := m.machine.Path().Runner(0)
	m.reportWork(first, m.incarnationOf(first), protocol.WorkRan, clock.Now())
}

// reportWork records an observation of the request's work at a runner.
func (m *modelRun) reportWork(r *fleet.Runner, incarnation protocol.Incarnation, observation protocol.WorkObservation, now time.Time) {
	m.entry.quarantine.tracker.Report(protocol.WorkReport{Work: m.fingerprint(), Parts: m.sharedParts(), Endpoint: r.Name(), Incarnation: incarnation, Observation: observation}, now)
}

// incarnationOf returns the incarnation of the runner's process that the entry is connected to.
func (m *modelRun) incarnationOf(r *fleet.Runner) protocol.Incarnation {
	return m.entry.pool.Client(r).Incarnation()
}
