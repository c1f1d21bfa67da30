// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

const (
	modelWorks     = 3
	modelEndpoints = 5
	// minRefusalCrashes is the least number of crashes for a refusal.
	minRefusalCrashes = 3
	// maxWait is how long work waits at most before it is checked again. The longest wait is that
	// for an isolated run whose end was not reported.
	maxWait = 3 * time.Second
)

// endpointIncarnation is one incarnation of an endpoint.
type endpointIncarnation struct {
	endpoint    int
	incarnation protocol.Incarnation
}

// model is a tracker and what really happened.
type model struct {
	tracker      quarantine.Tracker
	now          time.Time
	incarnations [modelEndpoints]protocol.Incarnation
	crashed      map[endpointIncarnation]bool
	left         map[endpointIncarnation]bool             // said that they leave before they ended
	failed       [modelWorks]map[endpointIncarnation]bool // since the work last ran successfully
}

func newModel() *model {
	m := &model{now: startTime, crashed: make(map[endpointIncarnation]bool), left: make(map[endpointIncarnation]bool)}
	for i := range m.incarnations {
		m.incarnations[i] = 1
	}
	for i := range m.failed {
		m.failed[i] = make(map[endpointIncarnation]bool)
	}
	return m
}

func (m *model) report(observation protocol.WorkObservation, work, endpoint int) {
	m.now = m.now.Add(time.Millisecond)
	message := protocol.WorkReport{
		Work: fingerprint(work), Endpoint: fmt.Sprint(endpoint), Incarnation: m.incarnations[endpoint], Observer: "entry", Observation: observation,
	}
	m.tracker.Apply(quarantine.NewReport(message, m.now), m.now)
}

func (m *model) failAt(t *rapid.T, observation protocol.WorkObservation) {
	work, endpoint := drawWork(t), drawEndpoint(t)
	m.report(observation, work, endpoint)
	m.failed[work][endpointIncarnation{endpoint, m.incarnations[endpoint]}] = true
	if rapid.Bool().Draw(t, "unresolved") {
		m.tracker.RecordUnresolved(fmt.Sprint(endpoint), m.incarnations[endpoint], m.now)
	}
}

// leave has an endpoint say that it leaves.
func (m *model) leave(t *rapid.T) {
	endpoint := drawEndpoint(t)
	m.left[endpointIncarnation{endpoint, m.incarnations[endpoint]}] = true
	m.tracker.RecordLeaving(fmt.Sprint(endpoint), m.incarnations[endpoint], m.now)
}

// end ends and restarts an endpoint, which is a crash if it did not say before that it leaves. Failures there may be
// reported before or after that.
func (m *model) end(t *rapid.T) {
	endpoint := drawEndpoint(t)
	id := endpointIncarnation{endpoint, m.incarnations[endpoint]}
	m.crashed[id] = !m.left[id]
	m.tracker.RecordCrash(fmt.Sprint(endpoint), m.incarnations[endpoint], m.now)
	if rapid.Bool().Draw(t, "late report") {
		work := drawWork(t)
		m.report(protocol.WorkBroke, work, endpoint)
		m.failed[work][endpointIncarnation{endpoint, m.incarnations[endpoint]}] = true
	}
	m.incarnations[endpoint]++
}

func (m *model) answerProbe(t *rapid.T) {
	endpoint := drawEndpoint(t)
	m.tracker.RecordAnswer(fmt.Sprint(endpoint), m.incarnations[endpoint], rapid.Bool().Draw(t, "same"), m.now)
}

func (m *model) succeed(t *rapid.T) {
	work := drawWork(t)
	m.report(protocol.WorkRan, work, drawEndpoint(t))
	m.failed[work] = make(map[endpointIncarnation]bool)
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	m.tracker.NewRefusals(m.now, m.now)
}

// check compares the tracker with what happened.
func (m *model) check(t *rapid.T) {
	for work, failed := range m.failed {
		crashes := 0
		for id := range failed {
			if m.crashed[id] {
				crashes++
			}
		}
		switch s := m.tracker.Status(content(fingerprint(work)), m.now).(type) {
		case quarantine.Refused:
			if crashes < minRefusalCrashes {
				t.Fatalf("work %d is refused after %d crashes", work, crashes)
			}
		case quarantine.RequireIsolation:
			if crashes == 0 {
				t.Fatalf("work %d must run in isolation, but was involved in no crash", work)
			}
		case quarantine.Waiting:
			if wait := s.Until().Sub(m.now); wait > maxWait || wait <= 0 {
				t.Fatalf("work %d waits for %v", work, wait)
			}
		}
	}
}

func drawWork(t *rapid.T) int     { return rapid.IntRange(0, modelWorks-1).Draw(t, "work") }
func drawEndpoint(t *rapid.T) int { return rapid.IntRange(0, modelEndpoints-1).Draw(t, "endpoint") }

// TestOnlyRealCrashesCount lets work fail, endpoints leave, crash, restart and answer probes, and reports
// arrive late, in any order. Nothing may be refused or isolated without the crashes that justify
// it, and nothing may wait forever.
func TestOnlyRealCrashesCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":                     m.check,
			"fails":                func(t *rapid.T) { m.failAt(t, protocol.WorkBroke) },
			"fails at later stage": func(t *rapid.T) { m.failAt(t, protocol.WorkBrokeAtLaterStage) },
			"leaves":               m.leave,
			"ends":                 m.end,
			"answers":              m.answerProbe,
			"succeeds":             m.succeed,
			"time passes":          m.advance,
		})
	})
}
