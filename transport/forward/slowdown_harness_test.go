// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
)

// reporter reports for engines by address, and counts how often each was queried.
type reporter struct {
	mutex     sync.Mutex
	slowdowns map[string]float64
	queries   map[string]int
}

func (r *reporter) Report(_ context.Context, address string) (protocol.EngineReport, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.queries == nil {
		r.queries = map[string]int{}
	}
	r.queries[address]++
	slowdown, known := r.slowdowns[address]
	if !known {
		slowdown = 1
	}
	return protocol.EngineReport{Slowdown: slowdown}, nil
}

func (r *reporter) totalQueries() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, count := range r.queries {
		n += count
	}
	return n
}

// localRelay applies the reports of a forwarder to a tracker and passes the changes back to the
// forwarder, as the relay does between entries.
type localRelay struct {
	mutex   sync.Mutex
	tracker slow.Tracker
	number  uint64
}

func (l *localRelay) deliver(f *Forwarder, report protocol.SlownessReport, at time.Time) {
	l.mutex.Lock()
	l.number++
	if report.Observer == "" {
		report.Observer, report.Number = f.Entry.Name, l.number
	}
	r := slow.NewReport(report, at)
	v := l.tracker.Apply(r, time.Now())
	l.mutex.Unlock()
	if _, unchanged := v.(slow.NoChange); !unchanged {
		f.ApplySlownessReport(r, v)
	}
}

// applyOwnReports connects a forwarder to a localRelay.
func applyOwnReports(f *Forwarder) {
	relay := &localRelay{}
	f.slowdowns.forwarder = f
	f.ReportSlowdown = func(report protocol.SlownessReport, at time.Time) { relay.deliver(f, report, at) }
}

// markSlow applies a report by which a runner is slow by a factor of twelve.
func markSlow(f *Forwarder, r *fleet.Runner) {
	now := time.Now()
	f.slowdowns.forwarder = f
	var tracker slow.Tracker
	report := slow.NewReport(protocol.SlownessReport{Endpoint: r.Name(), Observer: "another", Number: 1, Observation: protocol.SlowReported, Slowdown: 12}, now)
	f.ApplySlownessReport(report, tracker.Apply(report, now))
}

// newStagedForwarder returns a forwarder with an engine service of three stages, each held by the
// given number of engines, and an exchange of a stream sent over one of the paths.
func newStagedForwarder(t *testing.T, each int) (*Forwarder, *exchange, *reporter) {
	s := protocol.RoutedService{Name: "llm", Engine: &protocol.EngineSpec{
		Layers: 9, LayerMB: 100, TokenLayerMB: 0.1, TypicalPrompt: 10, TypicalAnswer: 10, StepMS: 9, PrefillPerSecond: 1e6, EventTokens: 3,
		Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 2000, StepFactor: 1, ReadFactor: 1}},
	}}
	reports := &reporter{slowdowns: map[string]float64{}}
	f := &Forwarder{
		Entry: fleet.Entry{Name: "one", DataCenter: "a"}, Registry: &registry.Registry{Entry: fleet.Entry{Name: "one", DataCenter: "a"}},
		Routing: &routing.Store{}, Headers: plainHeaders{}, Counters: &metric.Set{}, Reporter: reports,
	}
	f.faultLocator.forwarder, f.poller.forwarder, f.slowdowns.forwarder = f, f, f
	f.InitRetryBudget(RetryBudget{Share: 0.2, Slack: 1000, WindowEnd: func(at time.Time) time.Time { return at.Add(10 * time.Second) }}, 1, time.Now())
	f.Registry.SetServices([]protocol.RoutedService{s})
	var list []protocol.Endpoint
	for stage := range 3 {
		for i := range each {
			id := string(rune('a'+stage)) + string(rune('0'+i))
			list = append(list, protocol.Endpoint{
				ID: id, Service: "llm", Address: id, DataCenter: "a", Accelerator: "t4", Layers: protocol.Span{From: 3 * stage, To: 3*stage + 3},
			})
		}
	}
	f.Registry.Replace(list, time.Now())
	x := newStreamExchange(t, f, &s)
	p, found := x.pickPath(time.Now())
	require.True(t, found)
	x.startAttempt(&p)
	return f, x, reports
}

// newStreamExchange returns an exchange of a stream whose target is 500 ms to the first event and
// pauses of 250 ms.
func newStreamExchange(t *testing.T, f *Forwarder, s *protocol.RoutedService) *exchange {
	table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{*s}})
	require.NoError(t, err)
	now := time.Now()
	x := &exchange{
		forwarder: f, table: table, writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/", nil), begun: now,
		service: s, route: &protocol.Route{Repeat: protocol.Stream, Resumable: true, MaxAttempts: 3, TargetLatencyMS: 500, TargetPauseMS: 250},
		deadline: now.Add(20 * time.Second), messages: make(chan message, 100), rng: rand.New(rand.NewPCG(1, 2)),
	}
	x.timing.start(x.route, s, now)
	t.Cleanup(x.closeAttempts)
	return x
}

// sendEvent makes the open attempt deliver an event after a pause.
func sendEvent(x *exchange, pause time.Duration) {
	time.Sleep(pause)
	x.open[0].head = &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	x.handleMessage(eventReceived{attempt: x.open[0], event: streamEvent{content: []byte("data: x\n\n")}})
}

// typicalPause is how long an event takes: 27 ms of work and the overhead of three stages.
const typicalPause = 33 * time.Millisecond
