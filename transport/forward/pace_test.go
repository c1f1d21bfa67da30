// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/roster"
	"pinerun.example/pinerun/state/routing"
)

// reporter answers for engines, by address, and counts how often each was asked.
type reporter struct {
	mutex sync.Mutex
	paces map[string]float64
	asked map[string]int
}

func (r *reporter) Report(_ context.Context, address string) (protocol.EngineReport, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.asked == nil {
		r.asked = map[string]int{}
	}
	r.asked[address]++
	pace, known := r.paces[address]
	if !known {
		pace = 1
	}
	return protocol.EngineReport{Pace: pace}, nil
}

func (r *reporter) total() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, asked := range r.asked {
		n += asked
	}
	return n
}

// judge passes what a forwarder tells to a book of its own and back, as the relay does
// among entries.
type judge struct {
	mutex  sync.Mutex
	book   slow.Book
	number uint64
}

func (j *judge) hear(f *Forwarder, news protocol.RelaySlow, at time.Time) {
	j.mutex.Lock()
	j.number++
	if news.Witness == "" {
		news.Witness, news.Number = f.Home.Name, j.number
	}
	r := slow.NewReport(news, at)
	v := j.book.Take(r, time.Now())
	j.mutex.Unlock()
	if _, nothing := v.(slow.Nothing); !nothing {
		f.Paced(r, v)
	}
}

// judged has a forwarder's own news judged.
func judged(f *Forwarder) {
	j := &judge{}
	f.paces.forwarder = f
	f.TellPace = func(news protocol.RelaySlow, at time.Time) { j.hear(f, news, at) }
}

// slowed has everybody take a runner as slow by a factor of twelve.
func slowed(f *Forwarder, r *fleet.Runner) {
	now := time.Now()
	f.paces.forwarder = f
	var b slow.Book
	report := slow.NewReport(protocol.RelaySlow{Endpoint: r.Name(), Witness: "another", Number: 1, Sign: protocol.SlowTold, Pace: 12}, now)
	f.Paced(report, b.Take(report, now))
}

// staged returns a forwarder before three stages of an engine service, each held by that
// many engines, and an exchange of a stream sent over one of the paths.
func staged(t *testing.T, each int) (*Forwarder, *exchange, *reporter) {
	s := protocol.RoutedService{Name: "llm", Engine: &protocol.EngineFacts{
		Layers: 9, LayerMB: 100, TokenLayerMB: 0.1, UsualPrompt: 10, UsualAnswer: 10, StepMS: 9, ReadPerSecond: 1e6, EventTokens: 3,
		Accelerators: []protocol.AcceleratorFacts{{Name: "t4", MemoryMB: 2000, StepFactor: 1, ReadFactor: 1}},
	}}
	asks := &reporter{paces: map[string]float64{}}
	f := &Forwarder{
		Home: fleet.Home{Name: "one", DataCenter: "a"}, Roster: &roster.Roster{Home: fleet.Home{Name: "one", DataCenter: "a"}},
		Routing: &routing.Store{}, Headers: plainHeaders{}, Counters: &metric.Set{}, Reporter: asks,
	}
	f.suspects.forwarder, f.poller.forwarder, f.paces.forwarder = f, f, f
	f.OpenBudget(Retries{Share: 0.2, Slack: 1000, Ends: func(at time.Time) time.Time { return at.Add(10 * time.Second) }}, 1, time.Now())
	f.Roster.Services([]protocol.RoutedService{s})
	var list []protocol.Endpoint
	for stage := range 3 {
		for i := range each {
			id := string(rune('a'+stage)) + string(rune('0'+i))
			list = append(list, protocol.Endpoint{
				ID: id, Service: "llm", Address: id, DataCenter: "a", Accelerator: "t4", Layers: protocol.Span{From: 3 * stage, To: 3*stage + 3},
			})
		}
	}
	f.Roster.Replace(list, time.Now())
	x := stream(t, f, &s)
	p, found := x.pick(time.Now())
	require.True(t, found)
	x.send(&p)
	return f, x, asks
}

// stream returns an exchange of a stream before a service that aims at 500 ms to the first
// event and pauses of 250 ms.
func stream(t *testing.T, f *Forwarder, s *protocol.RoutedService) *exchange {
	table, err := routing.Build(protocol.Routing{Version: 1, Services: []protocol.RoutedService{*s}})
	require.NoError(t, err)
	now := time.Now()
	x := &exchange{
		forwarder: f, table: table, writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/", nil), begun: now,
		service: s, route: &protocol.Route{Repeat: protocol.Stream, Resumable: true, MaxTries: 3, AimMS: 500, PauseAimMS: 250},
		deadline: now.Add(20 * time.Second), messages: make(chan message, 100), draw: rand.New(rand.NewPCG(1, 2)),
	}
	x.rhythm.begin(x.route, s, now)
	t.Cleanup(x.stopAll)
	return x
}

// speaks has the open attempt send an event after a pause.
func speaks(x *exchange, pause time.Duration) {
	time.Sleep(pause)
	x.live[0].answer = &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	x.take(eventCame{attempt: x.live[0], event: streamEvent{content: []byte("data: x\n\n")}})
}

// usual is how long an event takes: 27 ms of work and the wait at three stages.
const usual = 33 * time.Millisecond

func TestAnEngineWhoseStreamsComeLateIsAskedAndGoneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := staged(t, 2)
		judged(f)
		late := x.live[0].path.Runner(1)
		asks.paces[late.Spec().Address] = 12
		for range 5 {
			speaks(x, usual)
		}
		synctest.Wait()
		require.Zero(t, asks.total(), "nobody is asked while events come on time")
		for range 2 {
			speaks(x, usual+100*time.Millisecond)
		}
		synctest.Wait()
		require.True(t, late.IsSlow(time.Now()))
		require.InDelta(t, 12, late.Pace(time.Now()), 1e-9)
		require.True(t, late.Usable(time.Now()), "it is not left out")
		require.Equal(t, int64(1), f.Counters.Value(string(metric.EndpointsSlow)))
		for range 20 {
			p, found := x.pick(time.Now())
			require.True(t, found)
			require.NotEqual(t, late, p.Runner(1))
		}
	})
}

// TestEnginesThatShowThatTheyAreFastAreNotAsked: what came on time through them since the
// path began to be late clears them.
func TestEnginesThatShowThatTheyAreFastAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := staged(t, 1)
		judged(f)
		speaks(x, usual)
		speaks(x, usual+100*time.Millisecond)
		cleared := x.live[0].path.Runner(0)
		cleared.OnTime(time.Now())
		speaks(x, usual+100*time.Millisecond)
		synctest.Wait()
		require.Zero(t, asks.asked[cleared.Spec().Address])
		require.Equal(t, 2, asks.total())
	})
}

// TestQuestionsAreBounded: a fleet that is late everywhere is asked a few times a second.
func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := staged(t, 1)
		judged(f)
		for range 100 {
			speaks(x, 100*time.Millisecond)
		}
		synctest.Wait()
		require.LessOrEqual(t, asks.total(), int(11*questionsPerSecond))
	})
}

// TestASlowEngineIsAskedUntilItIsFast, by the entry that told that it is slow; then it gets
// work again.
func TestASlowEngineIsAskedUntilItIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := staged(t, 2)
		judged(f)
		r := x.live[0].path.Runner(1)
		asks.paces[r.Spec().Address] = 12
		(&poll{forwarder: f, runner: r}).run()
		require.True(t, r.IsSlow(time.Now()))
		look := func(d time.Duration) {
			for till := time.Now().Add(d); time.Now().Before(till); time.Sleep(pollLook) {
				f.paces.look(time.Now())
				synctest.Wait()
			}
		}
		look(10 * time.Second)
		require.True(t, r.IsSlow(time.Now()))
		require.InDelta(t, 20, asks.total(), 3, "twice a second")
		asks.mutex.Lock()
		asks.paces[r.Spec().Address] = 1
		asks.mutex.Unlock()
		look(2 * keepEvery)
		require.False(t, r.IsSlow(time.Now()))
		require.Zero(t, f.Counters.Value(string(metric.EndpointsSlow)))
		asked := asks.total()
		look(5 * time.Second)
		require.Equal(t, asked, asks.total(), "nobody is asked any more")
	})
}

// TestOnlyTheTellerAsksAgain: with thirty entries an engine is asked by one of them.
func TestOnlyTheTellerAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, asks := staged(t, 2)
		slowed(f, x.live[0].path.Runner(1))
		time.Sleep(keepEvery)
		f.paces.look(time.Now())
		synctest.Wait()
		require.Zero(t, asks.total())
		time.Sleep(slow.KeptFor)
		f.paces.look(time.Now())
		require.Zero(t, f.Counters.Value(string(metric.EndpointsSlow)), "the news lapsed")
	})
}

// TestAStreamThatIsOverdueOnASlowPath is asked for elsewhere while that keeps it in time,
// its engines are not suspected, and a stream that is late already waits.
func TestAStreamThatIsOverdueOnASlowPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, _ := staged(t, 2)
		r := x.live[0].path.Runner(1)
		slowed(f, r)
		time.Sleep(x.rhythm.firstBy)
		x.wake(time.Now())
		require.Len(t, x.live, 2)
		require.NotEqual(t, r, x.live[1].path.Runner(1))
		for _, other := range f.Roster.View().Runners() {
			require.True(t, other.Usable(time.Now()), other.Name())
		}

		_, x, _ = staged(t, 2)
		slowed(x.forwarder, x.live[0].path.Runner(1))
		time.Sleep(450 * time.Millisecond) // an answer elsewhere would come after the aim
		x.wake(time.Now())
		require.Len(t, x.live, 1)
		require.Equal(t, silenceTooLate, x.silence)
		time.Sleep(deadAfter)
		x.wake(time.Now())
		require.Len(t, x.live, 2, "silent for so long it may be dead")
	})
}

// TestALittleSlownessExplainsNoSilence: a stream that is silent on a path hardly slower than
// usual is asked for elsewhere as any other.
func TestALittleSlownessExplainsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, x, _ := staged(t, 2)
		now := time.Now()
		x.live[0].path.Runner(1).Slow(1.6, now, now.Add(time.Minute))
		time.Sleep(450 * time.Millisecond)
		x.wake(time.Now())
		require.Len(t, x.live, 2)
	})
}

// TestNobodyAsksElsewhereForNothing: where every path is as slow, the prompt isn't read again.
func TestNobodyAsksElsewhereForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, x, _ := staged(t, 2)
		for _, r := range f.Roster.View().Runners() {
			slowed(f, r)
		}
		time.Sleep(x.rhythm.firstBy)
		x.wake(time.Now())
		require.Len(t, x.live, 1)
		require.Equal(t, silenceNoGain, x.silence)
		var p path.Path
		q := x.query(time.Now())
		require.True(t, f.choose(x.service, &q, "a", &p), "somebody serves")
	})
}

// plain returns a forwarder before three endpoints of a plain service, and a way to call it.
func plain(t *testing.T) (*Forwarder, func() *exchange) {
	f, _, _ := staged(t, 1)
	s := protocol.RoutedService{Name: "ledger"}
	f.Roster.Services([]protocol.RoutedService{s})
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
