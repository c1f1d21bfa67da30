// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
)

// messageRoom is how many messages wait for the exchange before an attempt
// stops reading: enough that neither waits for the other's turn on the processor, and no
// more, since each may be an event that is held.
const messageRoom = 4

// exchange is one request of a caller from its coming in to its end.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	begun     time.Time

	terms    protocol.CallerTerms
	table    *routing.Table
	route    *protocol.Route
	service  *protocol.RoutedService
	team     *protocol.RoutedTeam
	body     []byte
	print    protocol.Fingerprint // zero until work is asked for
	deadline time.Time

	messages chan message
	losses   <-chan struct{} // closes when a runner is found lost
	refusals <-chan struct{} // closes when work is found to end endpoints
	woke     <-chan struct{} // closes when the VM was suspended
	slept    time.Duration   // how long it had been, as far as is taken into account
	wokeAt   time.Time       // when that changed last
	live     []*attempt      // open, the oldest first
	avoid    []*fleet.Runner // that failed, refused or fell silent under it
	draw     *rand.Rand
	reached  []*fleet.Runner // endpoints that it was sent to
	tries    int             // attempts so far
	unsent   int             // attempts of which no byte left
	mayHave  bool            // an earlier send may have run
	finished bool

	headSent  bool   // the caller has the head of a stream
	lastEvent string // ID of the last event that the caller has
	events    int    // that the caller has
	rhythm    rhythm
	late      int           // events in a row that took longer than their path should
	lateSince time.Time     // when the first of them was begun
	silence   silenceAction // the last that was done
	held      *hold         // while it waits for room
	trial     *trialWait    // while it waits until its work may run

	caller   *backlog.Conn // holds what the caller does not read, nil if writes wait for it
	paused   bool          // nothing is taken from attempts, because the caller does not read
	lookAt   time.Time     // when to look again at a caller that does not read
	parked   *attempt      // the attempt that was ended while the caller did not read
	reserved reservation   // of the entry's budget
}

// run sends the request and serves its answer to the end.
func (x *exchange) run() {
	f := x.forwarder
	f.budgets.first(x.service.Name, x.begun)
	x.messages = make(chan message, messageRoom)
	x.draw = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	x.lastEvent = x.terms.LastEvent
	defer x.stopAll()
	defer x.unhold()
	x.losses = f.losses.Awaited()
	x.refusals = f.refusals.Awaited()
	x.woke, x.slept = f.woke.Awaited(), clock.Slept()
	x.rhythm.begin(x.route, x.service, x.begun)
	x.begin(x.begun)
	x.react()
}

// react acts on what happens to the request until it is finished.
func (x *exchange) react() {
	f := x.forwarder
	timer := time.NewTimer(clock.Until(x.wakeAt()))
	defer timer.Stop()
	for !x.finished {
		select {
		case <-x.losses:
			x.losses = f.losses.Awaited()
			if !x.paused { // a paused exchange looks at its attempts once it goes on
				x.lossTold(clock.Now())
			}
		case <-x.refusals:
			x.refusals = f.refusals.Awaited()
			x.refusedMeanwhile(clock.Now())
		case <-x.woke:
			x.woke = f.woke.Awaited()
			x.wake(clock.Now())
		case m := <-x.incoming():
			x.take(m)
		case <-x.callerNews():
			x.heed(clock.Now())
		case after := <-x.turns():
			x.takeTurn(after, clock.Now())
		case <-timer.C:
			x.wake(clock.Now())
		case <-x.request.Context().Done():
			x.callerLeft()
			return
		}
		if !x.finished {
			timer.Reset(clock.Until(x.wakeAt()))
		}
	}
}

// wakeAt returns when to look at the request although no attempt tells anything.
func (x *exchange) wakeAt() time.Time {
	switch {
	case x.held != nil:
		return x.held.till
	case x.trial != nil:
		return x.trial.lookAt
	case x.paused:
		return x.lookAt
	}
	if at := x.rhythm.overdueAt(); at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// turns returns the channel of the request's turns while it waits for room.
func (x *exchange) turns() <-chan int {
	if x.held == nil {
		return nil
	}
	return x.held.turns
}

// stopAll ends every open attempt.
func (x *exchange) stopAll() {
	for _, a := range x.live {
		x.settle(a)
	}
	x.live = nil
}

// drop ends an open attempt.
func (x *exchange) drop(a *attempt) {
	if i := slices.Index(x.live, a); i >= 0 {
		x.live = slices.Delete(x.live, i, i+1)
		x.settle(a)
	}
}

func (x *exchange) callerLeft() {
	x.forwarder.Counters.Refused(protocol.CallerGone)
	x.forwarder.log(event.CallerLeft, x.id(), slog.Int("events", x.events), slog.Int64("after_ms", clock.Since(x.begun).Milliseconds()))
}

func (x *exchange) id() slog.Attr { return slog.String("request", x.terms.RequestID) }
