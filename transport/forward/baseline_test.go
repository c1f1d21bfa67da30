// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// newPlainForwarder returns a forwarder with three endpoints of a plain service, and a function
// that returns an exchange for a call to it.
func newPlainForwarder(t *testing.T) (*Forwarder, func() *exchange) {
	f, _, _ := newStagedForwarder(t, 1)
	s := protocol.RoutedService{Name: "ledger"}
	f.Registry.SetServices([]protocol.RoutedService{s})
	var list []protocol.Endpoint
	for _, id := range []string{"p1", "p2", "p3"} {
		list = append(list, protocol.Endpoint{ID: id, Service: "ledger", Address: id, DataCenter: "a"})
	}
	f.Registry.Replace(list, time.Now())
	calls := uint64(0)
	return f, func() *exchange {
		x := newStreamExchange(t, f, &s)
		x.route = &protocol.Route{Repeat: protocol.AtMostOnce, MaxAttempts: 2, TargetLatencyMS: 200}
		calls++
		x.rng = rand.New(rand.NewPCG(calls, 2))
		x.timing = eventTiming{}
		x.timing.start(x.route, &s, x.begun)
		return x
	}
}

// respond makes the open attempt of a call receive a response.
func respond(x *exchange) {
	a := x.open[0]
	head := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	x.handleMessage(responseReceived{attempt: a, head: head, terms: protocol.AnswerTerms{Signed: true, RequestID: "r"}})
}

// TestSlowPlainEndpointIsAvoidedInTime guards against calls that still go to an endpoint that
// became slow. It makes 20 calls a second that take 30 ms; from some time on one endpoint takes
// 360 ms. That endpoint must get no call later than half a second after its first slow call began,
// and each call must be sent once.
func TestSlowPlainEndpointIsAvoidedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, call := newPlainForwarder(t)
		applyOwnReports(f)
		begun := time.Now()
		slowFrom := begun.Add(2 * time.Second)
		var firstSlow time.Time
		type openCall struct {
			call *exchange
			due  time.Time
		}
		var open []openCall
		sent := map[string]int{}
		for now := begun; now.Before(begun.Add(4 * time.Second)); now = time.Now() {
			if now.Sub(begun)%(50*time.Millisecond) == 0 {
				x := call()
				p, found := x.pickPath(now)
				require.True(t, found)
				x.startAttempt(&p)
				took := 30 * time.Millisecond
				if name := p.Runner(0).Name(); name == "p2" && !now.Before(slowFrom) {
					took = 360 * time.Millisecond
					if firstSlow.IsZero() {
						firstSlow = now
					}
					require.Less(t, now.Sub(firstSlow), 500*time.Millisecond, "the slow endpoint gets no more calls")
				} else {
					sent[name]++
				}
				open = append(open, openCall{x, now.Add(took)})
			}
			for _, o := range open {
				x := o.call
				switch {
				case x.finished:
				case !now.Before(o.due):
					respond(x)
					require.Equal(t, 1, x.attempts)
				case !now.Before(x.timing.overdueAt()):
					x.wake(now)
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		require.False(t, firstSlow.IsZero())
		require.Greater(t, min(sent["p1"], sent["p3"]), 10, "the other endpoints serve the calls")
	})
}

// TestBaselineFollowsDurations checks that a service that always takes long is not slow, and that
// one hanging call hardly changes the baseline.
func TestBaselineFollowsDurations(t *testing.T) {
	var monitor slowdownMonitor
	require.Equal(t, 30*time.Millisecond, monitor.baseline("s", 30*time.Millisecond))
	for range 100 {
		monitor.recordDuration("s", 200*time.Millisecond, 30*time.Millisecond)
	}
	require.InDelta(t, 0.2, monitor.baseline("s", 30*time.Millisecond).Seconds(), 0.01)
	monitor.recordDuration("s", 10*time.Second, 30*time.Millisecond)
	require.InDelta(t, 0.22, monitor.baseline("s", 30*time.Millisecond).Seconds(), 0.01)
}

// TestBaselinesAreSeparatePerRoute guards against a baseline shared by routes: quick responses on
// one route would make endpoints look slow on another route to the same service.
func TestBaselinesAreSeparatePerRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, call := newPlainForwarder(t)
		var slowdowns []float64
		f.ReportSlowdown = func(report protocol.SlownessReport, _ time.Time) { slowdowns = append(slowdowns, report.Slowdown) }
		for i := range 12 {
			x := call()
			x.route.Name = "quick"
			took := time.Millisecond
			if i >= 6 {
				x.route.Name, took = "normal", 20*time.Millisecond
			}
			p, found := x.pickPath(time.Now())
			require.True(t, found)
			x.startAttempt(&p)
			time.Sleep(took)
			respond(x)
		}
		require.Len(t, slowdowns, 12)
		for _, slowdown := range slowdowns {
			require.Less(t, slowdown, float64(slowCallRatio))
		}
	})
}

// TestLostResponseOfNonRepeatableCallIsUncertain checks that the outcome of such a call is unknown,
// even if its endpoint is known to be slow.
func TestLostResponseOfNonRepeatableCallIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, call := newPlainForwarder(t)
		x := call()
		p, _ := x.pickPath(time.Now())
		x.startAttempt(&p)
		markSlow(f, p.Runner(0))
		time.Sleep(x.timing.firstEventLimit)
		x.wake(time.Now())
		require.Len(t, x.open, 1, "it may not run twice")
		x.handleMessage(attemptEnded{attempt: x.open[0], cause: errTruncatedEvent})
		require.True(t, x.finished)
		require.Equal(t, 1, x.attempts)
		require.Equal(t, http.StatusBadGateway, x.writer.(*httptest.ResponseRecorder).Code)
	})
}
