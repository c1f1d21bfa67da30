// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/backoff"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/relay"
)

// closings are the ways in which an endpoint says that it takes no request from this entry now.
var closings = map[string]func(f *Forwarder, r *fleet.Runner){
	"limit": func(f *Forwarder, r *fleet.Runner) {
		if f.RateLimits == nil {
			f.RateLimits = &relay.RateLimits{} // without members, so that the entry has no share
		}
		f.RateLimits.RecordAnswer(f.process(r), 5, time.Now())
	},
	"backoff": func(f *Forwarder, r *fleet.Runner) {
		now := time.Now()
		f.backoffs.recordAnswer(f.process(r), backoff.Answer{RetryAt: now.Add(time.Minute), SentAt: now}, now)
	},
	"leaving": func(f *Forwarder, r *fleet.Runner) {
		now := time.Now()
		f.backoffs.recordAnswer(f.process(r), backoff.Answer{Leaving: true, SentAt: now}, now)
	},
}

// newGateForwarder returns a forwarder with three engines and an exchange with an open attempt.
func newGateForwarder(t *testing.T) (*Forwarder, *exchange) {
	f, x := newForwarder(t, 3, nil)
	f.Routing = &routing.Store{}
	return f, x
}

// TestEveryWayToAnEndpointPassesTheGate guards against a way of sending that does not obey what
// endpoints say in their answers.
func TestEveryWayToAnEndpointPassesTheGate(t *testing.T) {
	ways := map[string]func(t *testing.T, f *Forwarder, x, fresh *exchange){
		"first attempt": func(_ *testing.T, _ *Forwarder, _, fresh *exchange) { fresh.start(time.Now()) },
		"first attempt on another route": func(_ *testing.T, _ *Forwarder, _, fresh *exchange) {
			fresh.route = &protocol.Route{Repeat: protocol.AtMostOnce, MaxAttempts: 1, TimeoutMS: 1000}
			fresh.start(time.Now())
		},
		"retry": func(_ *testing.T, _ *Forwarder, x, _ *exchange) {
			a := x.open[0]
			x.closeAttempt(a)
			x.decideRetry(a, retry.NotRun, nil)
		},
		"release from the queue": func(t *testing.T, _ *Forwarder, _, fresh *exchange) {
			now := time.Now()
			fresh.queued = &queuedRequest{queue: &waitQueue{}, deadline: now.Add(time.Second), since: now}
			require.False(t, fresh.tryDispatch(now))
		},
		"isolated run": func(t *testing.T, f *Forwarder, _, fresh *exchange) {
			f.Quarantine = &relay.Quarantine{Self: "one"}
			fresh.isolation = &isolationWait{deadline: time.Now().Add(time.Second)}
			require.False(t, fresh.startIsolated(time.Now(), false))
		},
		"second attempt": func(t *testing.T, f *Forwarder, x, _ *exchange) {
			silent := x.open[0]
			require.Equal(t, silenceNoPath, x.hedge(silent, []*fleet.Runner{silent.endpoint}, time.Now()))
		},
		"path that is taken though another request passed the gate before": func(t *testing.T, _ *Forwarder, x, fresh *exchange) {
			require.False(t, fresh.startAttempt(&x.open[0].path))
		},
		"probe": func(t *testing.T, f *Forwarder, x, _ *exchange) {
			require.False(t, f.PassProbe(x.open[0].endpoint.Name(), time.Now()))
		},
	}
	for word, closeGate := range closings {
		for way, send := range ways {
			t.Run(word+", "+way, func(t *testing.T) {
				f, x := newGateForwarder(t)
				fresh := newStreamExchange(t, f, x.service)
				for _, r := range f.Registry.View().Runners() {
					closeGate(f, r)
				}
				before := x.attempts
				send(t, f, x, fresh)
				require.Equal(t, before, x.attempts)
				require.Zero(t, fresh.attempts)
			})
		}
	}
}

// TestPathChangePassesTheGate guards against a change of path to an engine that takes no request.
func TestPathChangePassesTheGate(t *testing.T) {
	for word, closeGate := range closings {
		t.Run(word, func(t *testing.T) {
			s := newPathChangeHarness(t, silentEngines(t), true)
			t.Cleanup(s.end)
			running := s.exchange.open[0].path
			for _, r := range s.forwarder.Registry.View().Runners() {
				if !running.Contains(r) {
					closeGate(s.forwarder, r)
				}
			}
			s.lose(1)
			require.False(t, s.ordered)
			require.Equal(t, 1, s.exchange.attempts)
		})
	}
}

// TestOpenGateLeavesOtherEndpointsInUse checks that one closed endpoint of three does not keep requests
// from the others.
func TestOpenGateLeavesOtherEndpointsInUse(t *testing.T) {
	for word, closeGate := range closings {
		t.Run(word, func(t *testing.T) {
			f, x := newGateForwarder(t)
			closed := x.open[0].endpoint
			closeGate(f, closed)
			for range 20 {
				fresh := newStreamExchange(t, f, x.service)
				fresh.start(time.Now())
				require.Equal(t, 1, fresh.attempts)
				require.NotEqual(t, closed, fresh.open[0].endpoint)
			}
		})
	}
}

// TestRequestIsRefusedAtOnceWhenNothingOpensInTime checks that a request does not wait for a backoff that is
// longer than its caller waits, and that the caller is told when the backoff ends.
func TestRequestIsRefusedAtOnceWhenNothingOpensInTime(t *testing.T) {
	f, x := newGateForwarder(t)
	now := time.Now()
	backoffs := []time.Duration{time.Minute, 50 * time.Second, time.Hour}
	i := 0
	for _, r := range f.Registry.View().Runners() {
		f.backoffs.recordAnswer(f.process(r), backoff.Answer{RetryAt: now.Add(backoffs[i]), SentAt: now}, now)
		i++
	}
	fresh := newStreamExchange(t, f, x.service)
	fresh.deadline = now.Add(20 * time.Second)
	at, closed := fresh.reopensAt(fresh.deadline, now)
	require.True(t, closed)
	require.Equal(t, now.Add(50*time.Second), at)
	fresh.start(now)
	require.True(t, fresh.finished)
	require.Nil(t, fresh.queued)
	patient := newStreamExchange(t, f, x.service)
	patient.deadline = now.Add(55 * time.Second)
	patient.start(now)
	require.NotNil(t, patient.queued, "an endpoint takes requests again in time")
	patient.dequeue()
}
