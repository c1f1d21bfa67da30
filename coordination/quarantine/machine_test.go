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
	machineWorks     = 3
	machineEndpoints = 5
	// refusalEnds is how many ends of endpoints a refusal needs at the least.
	refusalEnds = 3
	// longestWait is how long work waits at the most before it may be looked at anew: a trial
	// whose end was not told.
	longestWait = 3 * time.Second
)

// lifeOf is one life of an endpoint.
type lifeOf struct {
	endpoint int
	life     protocol.Incarnation
}

// machine is a book, and what truly happened.
type machine struct {
	book  quarantine.Tracker
	now   time.Time
	lives [machineEndpoints]protocol.Incarnation
	ended map[lifeOf]bool
	broke [machineWorks]map[lifeOf]bool // since the work last ran well
}

func newMachine() *machine {
	m := &machine{now: begun, ended: make(map[lifeOf]bool)}
	for i := range m.lives {
		m.lives[i] = 1
	}
	for i := range m.broke {
		m.broke[i] = make(map[lifeOf]bool)
	}
	return m
}

func (m *machine) tell(sign protocol.WorkObservation, work, endpoint int) {
	m.now = m.now.Add(time.Millisecond)
	news := protocol.RelayWork{
		Work: number(work), Endpoint: fmt.Sprint(endpoint), Incarnation: m.lives[endpoint], Observer: "entry", Observation: sign,
	}
	m.book.Apply(quarantine.NewReport(news, m.now), m.now)
}

func (m *machine) breakAt(t *rapid.T, sign protocol.WorkObservation) {
	work, endpoint := drawWork(t), drawEndpoint(t)
	m.tell(sign, work, endpoint)
	m.broke[work][lifeOf{endpoint, m.lives[endpoint]}] = true
	if rapid.Bool().Draw(t, "in doubt") {
		m.book.RecordUnresolved(fmt.Sprint(endpoint), m.lives[endpoint], m.now)
	}
}

// end ends an endpoint, which starts again. What broke there may be told before or after that.
func (m *machine) end(t *rapid.T) {
	endpoint := drawEndpoint(t)
	m.ended[lifeOf{endpoint, m.lives[endpoint]}] = true
	m.book.RecordCrash(fmt.Sprint(endpoint), m.lives[endpoint], m.now)
	if rapid.Bool().Draw(t, "late news") {
		work := drawWork(t)
		m.tell(protocol.WorkBroke, work, endpoint)
		m.broke[work][lifeOf{endpoint, m.lives[endpoint]}] = true
	}
	m.lives[endpoint]++
}

func (m *machine) answer(t *rapid.T) {
	endpoint := drawEndpoint(t)
	m.book.RecordAnswer(fmt.Sprint(endpoint), m.lives[endpoint], rapid.Bool().Draw(t, "same"), m.now)
}

func (m *machine) runWell(t *rapid.T) {
	work := drawWork(t)
	m.tell(protocol.WorkRan, work, drawEndpoint(t))
	m.broke[work] = make(map[lifeOf]bool)
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	m.book.NewRefusals(m.now, m.now)
}

// check holds what the book says against what happened.
func (m *machine) check(t *rapid.T) {
	for work, broke := range m.broke {
		ends := 0
		for l := range broke {
			if m.ended[l] {
				ends++
			}
		}
		switch s := m.book.Status(number(work), m.now).(type) {
		case quarantine.Refused:
			if ends < refusalEnds {
				t.Fatalf("work %d is refused after %d ends", work, ends)
			}
		case quarantine.RequireIsolation:
			if ends == 0 {
				t.Fatalf("work %d runs alone, and was at no end", work)
			}
		case quarantine.Waiting:
			if wait := s.Until().Sub(m.now); wait > longestWait || wait <= 0 {
				t.Fatalf("work %d waits for %v", work, wait)
			}
		}
	}
}

func drawWork(t *rapid.T) int     { return rapid.IntRange(0, machineWorks-1).Draw(t, "work") }
func drawEndpoint(t *rapid.T) int { return rapid.IntRange(0, machineEndpoints-1).Draw(t, "endpoint") }

// TestOnlyTrueEndsCount lets work break, endpoints end, start again and answer, and news come late, in
// any order: nothing is refused or runs alone without the ends that say so, and nothing waits for ever.
func TestOnlyTrueEndsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"":                      m.check,
			"breaks":                func(t *rapid.T) { m.breakAt(t, protocol.WorkBroke) },
			"breaks at later stage": func(t *rapid.T) { m.breakAt(t, protocol.WorkBrokeBehind) },
			"ends":                  m.end,
			"answers":               m.answer,
			"runs well":             m.runWell,
			"time passes":           m.wait,
		})
	})
}
