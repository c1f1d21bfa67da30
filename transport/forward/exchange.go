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

// messageBuffer is how many messages wait for the exchange before an attempt
// stops reading: enough that neither waits for the other's turn on the processor, and no
// more, since each may be an event that is held.
const messageBuffer = 4

// exchange is one request of a caller from its coming in to its end.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	begun     time.Time

	terms       protocol.CallerTerms
	table       *routing.Table
	route       *protocol.Route
	service     *protocol.RoutedService
	team        *protocol.RoutedTeam
	body        []byte
	fingerprint protocol.Fingerprint // zero until work is asked for
	deadline    time.Time

	messages   chan message
	losses     <-chan struct{} // closes when a runner is found lost
	refusals   <-chan struct{} // closes when work is found to end endpoints
	resumed    <-chan struct{} // closes when the VM was suspended
	suspended  time.Duration   // how long it had been, as far as is taken into account
	resumedAt  time.Time       // when that changed last
	open       []*attempt      // open, the oldest first
	avoid      []*fleet.Runner // that failed, refused or fell silent under it
	rng        *rand.Rand
	reached    []*fleet.Runner // endpoints that it was sent to
	attempts   int             // attempts so far
	unsent     int             // attempts of which no byte left
	mayHaveRun bool            // an earlier send may have run
	finished   bool

	headSent   bool   // the caller has the head of a stream
	lastEvent  string // ID of the last event that the caller has
	events     int    // that the caller has
	timing     eventTiming
	lateEvents int            // events in a row that took longer than their path should
	lateSince  time.Time      // when the first of them was begun
	lastAction silenceAction  // the last that was done
	queued     *queuedRequest // while it waits for room
	isolation  *isolationWait // while it waits until its work may run

	caller      *backlog.Conn // holds what the caller does not read, nil if writes wait for it
	paused      bool          // nothing is taken from attempts, because the caller does not read
	recheckAt   time.Time     // when to look again at a caller that does not read
	parked      *attempt      // the attempt that was ended while the caller did not read
	reservation reservation   // of the entry's budget
}

// run sends the request and serves its answer to the end.
func (x *exchange) run() {
	f := x.forwarder
	f.retryBudgets.recordFirst(x.service.Name, x.begun)
	x.messages = make(chan message, messageBuffer)
	x.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	x.lastEvent = x.terms.LastEvent
	defer x.closeAttempts()
	defer x.dequeue()
	x.losses = f.losses.Awaited()
	x.refusals = f.refusals.Awaited()
	x.resumed, x.suspended = f.resumed.Awaited(), clock.Slept()
	x.timing.start(x.route, x.service, x.begun)
	x.start(x.begun)
	x.loop()
}

// loop acts on what happens to the request until it is finished.
func (x *exchange) loop() {
	f := x.forwarder
	timer := time.NewTimer(clock.Until(x.nextWake()))
	defer timer.Stop()
	for !x.finished {
		select {
		case <-x.losses:
			x.losses = f.losses.Awaited()
			if !x.paused { // a paused exchange looks at its attempts once it goes on
				x.handleLosses(clock.Now())
			}
		case <-x.refusals:
			x.refusals = f.refusals.Awaited()
			x.cancelRefused(clock.Now())
		case <-x.resumed:
			x.resumed = f.resumed.Awaited()
			x.wake(clock.Now())
		case m := <-x.incoming():
			x.handleMessage(m)
		case <-x.callerUpdates():
			x.checkCaller(clock.Now())
		case after := <-x.dispatches():
			x.handleDispatch(after, clock.Now())
		case <-timer.C:
			x.wake(clock.Now())
		case <-x.request.Context().Done():
			x.recordCallerLeft()
			return
		}
		if !x.finished {
			timer.Reset(clock.Until(x.nextWake()))
		}
	}
}

// nextWake returns when to look at the request although no attempt tells anything.
func (x *exchange) nextWake() time.Time {
	switch {
	case x.queued != nil:
		return x.queued.deadline
	case x.isolation != nil:
		return x.isolation.recheckAt
	case x.paused:
		return x.recheckAt
	}
	if at := x.timing.overdueAt(); at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// dispatches returns the channel of the request's dispatches while it waits for room.
func (x *exchange) dispatches() <-chan int {
	if x.queued == nil {
		return nil
	}
	return x.queued.dispatches
}

// closeAttempts ends every open attempt.
func (x *exchange) closeAttempts() {
	for _, a := range x.open {
		x.release(a)
	}
	x.open = nil
}

// closeAttempt ends an open attempt.
func (x *exchange) closeAttempt(a *attempt) {
	if i := slices.Index(x.open, a); i >= 0 {
		x.open = slices.Delete(x.open, i, i+1)
		x.release(a)
	}
}

func (x *exchange) recordCallerLeft() {
	x.forwarder.Counters.Refused(protocol.CallerGone)
	x.forwarder.log(event.CallerLeft, x.requestAttr(), slog.Int("events", x.events), slog.Int64("after_ms", clock.Since(x.begun).Milliseconds()))
}

func (x *exchange) requestAttr() slog.Attr { return slog.String("request", x.terms.RequestID) }
