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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
)

// firstEngine simulates the first engine of every path: an order to change a path waits for an
// answer from the test, and a report says what the test sets.
type firstEngine struct {
	orders  chan protocol.PathChangeOrder
	answers chan protocol.PathAnswer
	stalled bool
}

func (e *firstEngine) ChangePath(ctx context.Context, o protocol.PathChangeOrder) protocol.PathAnswer {
	e.orders <- o
	select {
	case a := <-e.answers:
		return a
	case <-ctx.Done():
		return protocol.PathUnanswered{Cause: ctx.Err()}
	}
}

func (e *firstEngine) Report(context.Context, string) (protocol.EngineReport, error) {
	r := protocol.EngineReport{}
	if e.stalled {
		r.Stalled = []protocol.StalledRequest{{ID: "r-1", Address: "127.0.0.1:1"}}
	}
	return r, nil
}

// fleetSize is the number of engines, a third for each third of the layers.
const fleetSize = 12

// silentEngines returns the addresses of engines that accept connections and send nothing.
func silentEngines(t *testing.T) []string {
	var list []string
	for range fleetSize {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		list = append(list, l.Addr().String())
	}
	return list
}

// pathChangeHarness drives an exchange of a stream over engines that hold a third of the layers
// each.
type pathChangeHarness struct {
	t          require.TestingT
	forwarder  *Forwarder
	exchange   *exchange
	engine     *firstEngine
	ordered    bool // an order waits for its answer
	unresolved bool // an order was not answered
	changes    int
}

func newPathChangeHarness(t require.TestingT, addresses []string, mayRepeat bool) *pathChangeHarness {
	service := protocol.RoutedService{Name: "llm", Engine: &protocol.EngineSpec{
		Layers: 9, LayerMB: 100, TokenLayerMB: 0.1, TypicalPrompt: 10, TypicalAnswer: 10, StepMS: 1, PrefillPerSecond: 1e6,
		Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 2000, StepFactor: 1, ReadFactor: 1}},
	}}
	local := fleet.Entry{Name: "one", DataCenter: "a"}
	h := &pathChangeHarness{t: t, engine: &firstEngine{orders: make(chan protocol.PathChangeOrder, 10), answers: make(chan protocol.PathAnswer, 10)}}
	f := &Forwarder{Entry: local, Registry: &registry.Registry{Entry: local}, Headers: plainHeaders{}, Counters: &metric.Set{}, PathChanger: h.engine, Reporter: h.engine}
	f.faultLocator.forwarder, f.poller.forwarder, f.slowdowns.forwarder = f, f, f // as Start does
	f.InitRetryBudget(RetryBudget{Share: 0.2, Slack: 1000, WindowEnd: func(at time.Time) time.Time { return at.Add(10 * time.Second) }}, 1, time.Now())
	f.Registry.SetServices([]protocol.RoutedService{service})
	var list []protocol.Endpoint
	for i, address := range addresses {
		from := i % 3 * 3
		list = append(list, protocol.Endpoint{
			ID: fmt.Sprint("e", i), Service: "llm", Address: address, DataCenter: "a", Accelerator: "t4",
			Layers: protocol.Span{From: from, To: from + 3},
		})
	}
	f.Registry.Replace(list, time.Now())
	table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{service}})
	require.NoError(t, err)
	x := &exchange{
		forwarder: f, table: table, writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/", nil), begun: time.Now(),
		service: &service, route: &protocol.Route{Repeat: protocol.Stream, Resumable: mayRepeat, MaxAttempts: 9}, deadline: time.Now().Add(time.Minute),
		terms: protocol.RequestTerms{RequestID: "r-1", PromptTokens: 100, AnswerTokens: 50}, messages: make(chan message, 100), rng: rand.New(rand.NewPCG(1, 2)),
	}
	x.timing.start(x.route, x.service, x.begun)
	p, found := x.pickPath(time.Now())
	require.True(t, found)
	x.startAttempt(&p)
	h.forwarder, h.exchange = f, x
	return h
}

// lose marks a stage of the oldest open attempt as lost.
func (h *pathChangeHarness) lose(stage int) {
	x := h.exchange
	if len(x.open) > 0 {
		now := time.Now()
		x.open[0].path.Runner(stage).MarkLost(now, now.Add(time.Minute))
		x.handleLosses(now)
	}
	h.recordOrder()
}

// recordOrder records the order that an action caused, if any, and checks it.
func (h *pathChangeHarness) recordOrder() {
	if n := int(h.forwarder.Counters.Value(string(metric.PathOrders))); n > h.changes {
		require.Equal(h.t, h.changes+1, n, "two orders at once")
		require.False(h.t, h.ordered)
		h.changes, h.ordered = n, true
		o := <-h.engine.orders
		require.Equal(h.t, "r-1", o.RequestID)
		at := 0
		for _, stage := range o.Path {
			require.Equal(h.t, at, stage.Layers.From)
			at = stage.Layers.To
		}
		require.Equal(h.t, 9, at)
	}
}

// answer answers the order and handles the result.
func (h *pathChangeHarness) answer(a protocol.PathAnswer) {
	if !h.ordered {
		return
	}
	h.ordered = false
	if len(h.exchange.open) == 0 {
		return // the order ended with its attempt
	}
	_, noAnswer := a.(protocol.PathUnanswered)
	h.unresolved = h.unresolved || noAnswer
	h.engine.answers <- a
	for {
		m := <-h.exchange.messages
		if _, ok := m.(pathAnswered); ok {
			h.exchange.handleMessage(m)
			h.recordOrder()
			return
		}
	}
}

// deliverEvent delivers an event on the oldest open attempt.
func (h *pathChangeHarness) deliverEvent() {
	if x := h.exchange; len(x.open) > 0 {
		a := x.open[0]
		a.head = &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
		x.handleMessage(eventReceived{attempt: a, event: streamEvent{content: []byte("data\n\n")}})
	}
}

// checkUnresolved checks the request as if a second had passed, after which the first engine is
// queried about an unresolved order.
func (h *pathChangeHarness) checkUnresolved(stalled bool) {
	x := h.exchange
	if len(x.open) == 0 || !x.open[0].pathChange.Pending() || h.ordered {
		return
	}
	h.engine.stalled = stalled
	now := time.Now().Add(time.Second)
	x.recoverAttempt(x.open[0], lostRunners(x.open[0], now), now)
	for {
		m := <-x.messages
		if _, ok := m.(stallReported); ok {
			x.handleMessage(m)
			h.recordOrder()
			return
		}
	}
}

// check compares the load that counts at the runners with the open attempts, and checks that no
// second attempt is open while the path of one may change.
func (h *pathChangeHarness) check() {
	x := h.exchange
	if len(x.open) > 1 {
		for _, a := range x.open {
			require.False(h.t, a.pathChange.Pending() || a.pathChange.MayApplyLate(), "the path of one may change while another is open")
		}
	}
	work := map[*fleet.Runner]int64{}
	for _, a := range x.open {
		for i := range a.path.Len() {
			work[a.path.Runner(i)] += a.layerPasses(a.path.Span(i))
		}
		if next, ok := a.pathChange.OrderedPath(); ok {
			for i := range next.Len() {
				if r, span := next.Runner(i), next.Span(i); !a.path.HasStage(r, span) {
					work[r] += a.layerPasses(span)
				}
			}
		}
	}
	for _, r := range h.forwarder.Registry.View().Runners() {
		require.Equal(h.t, work[r], r.Outstanding(), r.Name())
	}
}

func (h *pathChangeHarness) end() {
	h.exchange.closeAttempts()
	for _, r := range h.forwarder.Registry.View().Runners() {
		require.Zero(h.t, r.Outstanding(), r.Name())
	}
}

var errNoAnswer = errors.New("no answer")
