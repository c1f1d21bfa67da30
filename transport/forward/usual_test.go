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

// plain returns a forwarder before three endpoints of a plain service, and a way to call it.
func plain(t *testing.T) (*Forwarder, func() *exchange) {
	f, _, _ := staged(t, 1)
	s := protocol.RoutedService{Name: "ledger"}
	f.Roster.SetServices([]protocol.RoutedService{s})
	var list []protocol.Endpoint
	for _, id := range []string{"p1", "p2", "p3"} {
		list = append(list, protocol.Endpoint{ID: id, Service: "ledger", Address: id, DataCenter: "a"})
	}
	f.Roster.Replace(list, time.Now())
	calls := uint64(0)
	return f, func() *exchange {
		x := stream(t, f, &s)
		x.route = &protocol.Route{Repeat: protocol.AtMostOnce, MaxTries: 2, AimMS: 200}
		calls++
		x.draw = rand.New(rand.NewPCG(calls, 2))
		x.rhythm = rhythm{}
		x.rhythm.begin(x.route, &s, x.begun)
		return x
	}
}

// answers has the open attempt of a call answered.
func answers(x *exchange) {
	a := x.live[0]
	head := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	x.take(wholeCame{attempt: a, head: head, terms: protocol.AnswerTerms{Signed: true, RequestID: "r"}})
}

// TestASlowOneOfThreePlainEndpointsIsLeftOutInTime plays 20 calls a second that take 30 ms,
// at one endpoint 360 ms from some time on. Half a second after its first slow call began,
// before it gets a further one, no call goes there; each call was sent once.
func TestASlowOneOfThreePlainEndpointsIsLeftOutInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, call := plain(t)
		judged(f)
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
				p, found := x.pick(now)
				require.True(t, found)
				x.send(&p)
				took := 30 * time.Millisecond
				if name := p.Runner(0).Name(); name == "p2" && !now.Before(slowFrom) {
					took = 360 * time.Millisecond
					if firstSlow.IsZero() {
						firstSlow = now
					}
					require.Less(t, now.Sub(firstSlow), 500*time.Millisecond, "it gets no more calls")
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
					answers(x)
					require.Equal(t, 1, x.tries)
				case !now.Before(x.rhythm.overdueAt()):
					x.wake(now)
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		require.False(t, firstSlow.IsZero())
		require.Greater(t, min(sent["p1"], sent["p3"]), 10, "the others serve")
	})
}

// TestWhatIsUsualIsLearnt: a service that always takes long is not slow, and one hanging
// call hardly changes what is usual.
func TestWhatIsUsualIsLearnt(t *testing.T) {
	var p paces
	require.Equal(t, 30*time.Millisecond, p.usualOf("s", 30*time.Millisecond))
	for range 100 {
		p.learn("s", 200*time.Millisecond, 30*time.Millisecond)
	}
	require.InDelta(t, 0.2, p.usualOf("s", 30*time.Millisecond).Seconds(), 0.01)
	p.learn("s", 10*time.Second, 30*time.Millisecond)
	require.InDelta(t, 0.22, p.usualOf("s", 30*time.Millisecond).Seconds(), 0.01)
}

// TestQuickAnswersOnOneRouteMakeNoOtherSlow has an entry get a few quick answers on one route, and then
// answers that take longer on another route to the same service: none of its endpoints is told as slow.
func TestQuickAnswersOnOneRouteMakeNoOtherSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, call := plain(t)
		var paces []float64
		f.ReportPace = func(news protocol.RelaySlow, _ time.Time) { paces = append(paces, news.Pace) }
		for i := range 12 {
			x := call()
			x.route.Name = "quick"
			took := time.Millisecond
			if i >= 6 {
				x.route.Name, took = "usual", 20*time.Millisecond
			}
			p, found := x.pick(time.Now())
			require.True(t, found)
			x.send(&p)
			time.Sleep(took)
			answers(x)
		}
		require.Len(t, paces, 12)
		for _, pace := range paces {
			require.Less(t, pace, float64(openLate))
		}
	})
}

// TestALostAnswerOfACallThatRunsOnceEndsUnknown, whatever is known of its endpoint.
func TestALostAnswerOfACallThatRunsOnceEndsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, call := plain(t)
		x := call()
		p, _ := x.pick(time.Now())
		x.send(&p)
		slowed(f, p.Runner(0))
		time.Sleep(x.rhythm.firstBy)
		x.wake(time.Now())
		require.Len(t, x.live, 1, "it may not run twice")
		x.take(attemptEnded{attempt: x.live[0], cause: errCutEvent})
		require.True(t, x.finished)
		require.Equal(t, 1, x.tries)
		require.Equal(t, http.StatusBadGateway, x.writer.(*httptest.ResponseRecorder).Code)
	})
}
