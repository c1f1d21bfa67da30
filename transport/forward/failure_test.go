// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
)

// plainHeaders reads and writes no headers.
type plainHeaders struct{}

func (plainHeaders) ParseRequest(http.Header, time.Time) protocol.RequestTerms {
	return protocol.RequestTerms{}
}
func (plainHeaders) SetAttemptHeaders(http.Header, *protocol.AttemptTerms, time.Time) {}
func (plainHeaders) ParseResponse(int, http.Header, time.Time) (terms protocol.AnswerTerms) {
	return terms
}

// reportedFailure is an observation as the forwarder reports it.
type reportedFailure struct {
	endpoint    string
	observation protocol.LossObservation
}

// newForwarder returns a forwarder with n engines, each of which holds the whole model, and an
// exchange of a stream with an open attempt at one of them.
func newForwarder(t *testing.T, n int, reports *[]reportedFailure) (*Forwarder, *exchange) {
	s := protocol.RoutedService{Name: "llm", Engine: &protocol.EngineSpec{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.1, TypicalPrompt: 10, TypicalAnswer: 10, StepMS: 1, PrefillPerSecond: 1e6,
		Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 2000, StepFactor: 1, ReadFactor: 1}},
	}}
	f := &Forwarder{
		Entry: fleet.Entry{Name: "one", DataCenter: "a"}, Registry: &registry.Registry{Entry: fleet.Entry{Name: "one", DataCenter: "a"}},
		Headers: plainHeaders{}, Counters: &metric.Set{},
	}
	f.faultLocator.forwarder = f
	if reports != nil {
		f.ReportLoss = func(endpoint string, observation protocol.LossObservation, _ time.Time) {
			*reports = append(*reports, reportedFailure{endpoint, observation})
		}
	}
	f.InitRetryBudget(RetryBudget{Share: 0.2, Slack: 1000, WindowEnd: func(at time.Time) time.Time { return at.Add(10 * time.Second) }}, 1, time.Now())
	f.Registry.SetServices([]protocol.RoutedService{s})
	var list []protocol.Endpoint
	for i := range n {
		list = append(list, protocol.Endpoint{
			ID: string(rune('a' + i)), Service: "llm", Address: fmt.Sprintf("127.0.0.%d:1", i+1), DataCenter: "a", Accelerator: "t4",
			Layers: protocol.Span{From: 0, To: 10},
		})
	}
	f.Registry.Replace(list, time.Now())
	table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{s}})
	require.NoError(t, err)
	x := &exchange{
		forwarder: f, table: table, writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/", nil), begun: time.Now(),
		service: &s, route: &protocol.Route{Repeat: protocol.Stream, Resumable: true, MaxAttempts: 3}, deadline: time.Now().Add(time.Minute),
		messages: make(chan message, 100), rng: rand.New(rand.NewPCG(1, 2)),
	}
	p, found := x.pickPath(time.Now())
	require.True(t, found)
	x.startAttempt(&p)
	t.Cleanup(x.closeAttempts)
	return f, x
}

// markLost applies a report by which a runner is lost.
func markLost(f *Forwarder, r *fleet.Runner) {
	var tracker loss.Tracker
	now := time.Now()
	report := loss.NewReport(r.Name(), "another", protocol.LossRefused, now)
	f.ApplyLossReport(report, tracker.Apply(report, 10, now))
}

// TestStreamRetriesWhenEngineIsReportedLost checks that a stream is retried as soon as its engine
// is reported lost, without falling silent first.
func TestStreamRetriesWhenEngineIsReportedLost(t *testing.T) {
	f, x := newForwarder(t, 4, nil)
	first := x.open[0].endpoint
	lossSignal := f.losses.Changed()
	markLost(f, first)
	<-lossSignal
	x.handleLosses(time.Now())
	require.Len(t, x.open, 2)
	second := x.open[1].endpoint
	require.NotEqual(t, first, second)

	x.handleLosses(time.Now())
	require.Equal(t, 2, x.attempts, "an attempt without a lost runner is open")
	require.Len(t, x.open, 1, "the attempt at the lost engine is closed")

	markLost(f, second)
	x.handleLosses(time.Now())
	require.Equal(t, 3, x.attempts)
	require.NotContains(t, []*fleet.Runner{first, second}, x.open[len(x.open)-1].endpoint)
}

// TestLossOffThePathIsIgnored checks that a loss does not affect streams that do not use the lost
// engine.
func TestLossOffThePathIsIgnored(t *testing.T) {
	f, x := newForwarder(t, 3, nil)
	for _, r := range f.Registry.View().Runners() {
		if r != x.open[0].endpoint {
			markLost(f, r)
		}
	}
	x.handleLosses(time.Now())
	require.Equal(t, 1, x.attempts)
}

// TestNonRepeatableRequestIsNotRetriedOnLoss checks that a request that may not run twice keeps
// waiting for its engine.
func TestNonRepeatableRequestIsNotRetriedOnLoss(t *testing.T) {
	f, x := newForwarder(t, 3, nil)
	x.route = &protocol.Route{Repeat: protocol.Stream, MaxAttempts: 3}
	markLost(f, x.open[0].endpoint)
	x.handleLosses(time.Now())
	require.Equal(t, 1, x.attempts)
}

// TestReportErrorObservations checks which errors are reported: a refused connection is certain, a
// timeout counts only while this entry receives data from other endpoints and not from that one.
func TestReportErrorObservations(t *testing.T) {
	var reports []reportedFailure
	f, x := newForwarder(t, 2, &reports)
	endpoint, begun := x.open[0].endpoint, time.Now()
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	f.reportError(endpoint, refused, begun, begun)
	require.Equal(t, []reportedFailure{{endpoint.Name(), protocol.LossRefused}}, reports)

	reports = nil
	f.reportError(endpoint, context.DeadlineExceeded, begun, begun.Add(time.Second))
	require.Empty(t, reports, "this entry receives data from no endpoint")
	var other *fleet.Runner
	for _, o := range f.Registry.View().Runners() {
		if o != endpoint {
			other = o
		}
	}
	f.recordWorking(other, begun.Add(time.Millisecond))
	f.reportError(endpoint, errors.New("malformed"), begun, begun.Add(time.Second))
	require.Empty(t, reports, "the error says nothing about the endpoint")
	f.reportError(endpoint, context.DeadlineExceeded, begun, begun.Add(time.Second))
	require.Equal(t, []reportedFailure{{endpoint.Name(), protocol.LossSilent}}, reports)

	reports = nil
	markLost(f, endpoint)
	f.recordWorking(endpoint, time.Now().Add(2*time.Second))
	require.Equal(t, []reportedFailure{{endpoint.Name(), protocol.LossAnswered}}, reports)
	require.True(t, endpoint.Usable(time.Now()))
}
