// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
)

// messageBuffer is how many messages are buffered for the exchange before an attempt stops reading.
// It is large enough that neither side waits for the other to be scheduled, and no larger, because
// each message may hold an event in memory.
const messageBuffer = 4

// exchange serves one request of a caller from its arrival to its end.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	begun     time.Time

	terms       protocol.RequestTerms
	table       *routing.Table
	route       *protocol.Route
	service     *protocol.RoutedService
	team        *protocol.RoutedTeam
	body        []byte
	fingerprint protocol.Fingerprint   // zero until workFingerprint computes it
	parts       []protocol.Fingerprint // nil until partFingerprints computes them
	content     *quarantine.Content    // nil until workContent computes it
	deadline    time.Time

	messages    chan message
	losses      <-chan struct{} // closed when a runner is found lost
	refusals    <-chan struct{} // closed when work is found to crash endpoints
	resumed     <-chan struct{} // closed after the VM was suspended
	suspended   time.Duration   // total suspension already handled
	resumedAt   time.Time       // when the last suspension was noticed
	late        time.Duration   // total time in which this process was not run already handled
	open        []*attempt      // open attempts, oldest first
	doubted     *attempt        // the open attempt whose connection is taken for dead, nil for none
	avoid       []*fleet.Runner // runners that failed, refused or fell silent under this request
	rng         *rand.Rand
	reached     []*fleet.Runner // endpoints that received the request
	attempts    int             // attempts started
	sentAt      time.Time       // when the last one began
	unsent      int             // attempts that sent no byte
	notRun      int             // attempts whose endpoints say that they did not run the request
	unreachable dialFailures    // attempts to connect that failed last
	mayHaveRun  bool            // an earlier attempt may have run
	finished    bool

	headSent    bool   // the caller has the head of a stream
	lastEvent   string // ID of the last event that the caller has
	lastHasNoID bool   // the last event that the caller has can't be named, so that no run can continue after it
	events      int    // events that the caller has
	timing      eventTiming
	lateEvents  int            // consecutive events that took longer than expected of the path
	lateSince   time.Time      // when the wait for the first late event began
	lastAction  silenceAction  // last action logged for a silence
	linkCheckAt time.Time      // when to check the paths to the endpoints of open attempts
	queued      *queuedRequest // set while the request waits for capacity
	isolation   *isolationWait // set while quarantined work waits to run

	caller      *backlog.Conn // buffers what the caller has not read, nil if writes block
	paused      bool          // messages are not received, because the caller does not read
	recheckAt   time.Time     // when to check again a caller that does not read
	parked      *attempt      // the attempt closed while the caller did not read
	reservation reservation   // share of the entry's memory budget
}

// run sends the request and serves its response to the end.
func (x *exchange) run() {
	f := x.forwarder
	f.retryBudgets.recordFirst(x.service.Name, x.begun)
	x.messages = make(chan message, messageBuffer)
	x.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	x.lastEvent = x.terms.LastEvent
	defer x.closeAttempts()
	defer x.dequeue()
	defer x.endIsolationWait()
	x.losses = f.losses.Changed()
	x.refusals = f.refusals.Changed()
	x.resumed, x.suspended = f.resumed.Changed(), clock.Suspended()
	x.late = f.totalLateness()
	x.timing.start(x.route, x.service, x.begun)
	x.start(x.begun)
	x.loop()
}

// loop handles everything that happens to the request until it is finished.
func (x *exchange) loop() {
	f := x.forwarder
	timer := time.NewTimer(clock.Until(x.nextWake()))
	defer timer.Stop()
	cutOff, announced := f.stop.cutOff.Done(), f.stop.announced.Done()
	for !x.finished {
		select {
		case <-x.losses:
			x.losses = f.losses.Changed()
			if !x.paused { // a paused exchange checks its attempts when it resumes
				x.handleLosses(clock.Now())
			}
		case <-x.refusals:
			x.refusals = f.refusals.Changed()
			x.cancelRefused(clock.Now())
		case <-x.resumed:
			x.resumed = f.resumed.Changed()
			x.wake(clock.Now())
		case m := <-x.incoming():
			x.handleMessage(m)
		case <-x.callerUpdates():
			x.checkCaller(clock.Now())
		case position := <-x.dispatches():
			x.handleDispatch(position, clock.Now())
		case <-timer.C:
			x.wake(clock.Now())
		case <-x.request.Context().Done():
			if !x.takeAnswer() {
				x.abandon()
			}
		case <-announced:
			announced = nil
			x.endUselessWait(clock.Now())
		case <-cutOff:
			if !x.takeAnswer() {
				x.endCutOff(clock.Now())
			}
		}
		if !x.finished {
			timer.Reset(clock.Until(x.nextWake()))
		}
	}
}

// nextWake returns when to check the request if no attempt sends a message.
func (x *exchange) nextWake() time.Time {
	switch {
	case x.queued != nil:
		return x.waitUntil(x.queued.deadline)
	case x.isolation != nil:
		return x.waitUntil(x.isolation.recheckAt)
	case x.paused:
		return x.recheckAt
	}
	if at := x.timing.overdueAt(); at.Before(x.deadline) {
		return x.linkCheckDue(at)
	}
	return x.linkCheckDue(x.deadline)
}

// dispatches returns the channel of dispatch offers while the request is queued, nil otherwise.
func (x *exchange) dispatches() <-chan int {
	if x.queued == nil {
		return nil
	}
	return x.queued.dispatches
}

// mayRepeat reports whether the request may be sent again. Once the caller has an event, that is only to
// continue after the last one.
func (x *exchange) mayRepeat() bool {
	return x.route.MayRepeat() && (x.events == 0 || x.route.Resumable && !x.lastHasNoID)
}

// recordEvent records an event that the caller gets as the one to continue after.
func (x *exchange) recordEvent(e *streamEvent) {
	x.events++
	couldRepeat := x.mayRepeat()
	switch {
	case e.id != "":
		x.lastEvent, x.lastHasNoID = e.id, false
	case e.hasData:
		x.lastHasNoID = true
	}
	if x.mayRepeat() != couldRepeat {
		x.tagCallerConn(true)
	}
}

// closeAttempts closes every open attempt.
func (x *exchange) closeAttempts() {
	x.endDoubt()
	for _, a := range x.open {
		x.release(a)
	}
	x.open = nil
}

// closeAttempt closes an open attempt.
func (x *exchange) closeAttempt(a *attempt) {
	if i := slices.Index(x.open, a); i >= 0 {
		x.endDoubt()
		x.open = slices.Delete(x.open, i, i+1)
		x.release(a)
	}
}

// abandonAttempt closes an open attempt whose result nobody will know.
func (x *exchange) abandonAttempt(a *attempt) {
	x.mayHaveRun = true
	x.closeAttempt(a)
}

// takeAnswer delivers a whole answer that has arrived but was not handled yet, and reports whether there was one. It is
// called before the request ends for another reason: a select with both takes either.
func (x *exchange) takeAnswer() bool {
	for range len(x.messages) {
		m, ok := (<-x.messages).(responseReceived)
		if ok && !m.terms.NotRun && m.head.StatusCode < http.StatusMultipleChoices {
			x.handleMessage(m)
			return x.finished
		}
	}
	return false
}

// endCutOff ends a request that this entry can't finish because it stops.
func (x *exchange) endCutOff(now time.Time) {
	if len(x.open) == 0 && !x.mayHaveRun {
		x.fail(protocol.Refuse(protocol.Stopping, "this entry is stopping").WithRetryAt(now))
		return
	}
	x.fail(protocol.Uncertain(protocol.StageFailed, "this entry stopped before the answer was there"))
}

// abandon ends a request whose caller closed its connection. The server would end it as an empty success, or as the end of
// a stream, which a caller that shut down only its sending side would believe.
func (x *exchange) abandon() {
	x.recordCallerLeft()
	panic(http.ErrAbortHandler)
}

// recordCallerLeft counts and logs a caller that disconnected.
func (x *exchange) recordCallerLeft() {
	x.forwarder.Counters.CountRefusal(protocol.CallerGone)
	x.forwarder.log(event.CallerLeft, x.requestAttr(), slog.Int("events", x.events), slog.Int64("after_ms", clock.Since(x.begun).Milliseconds()),
		slog.Int("sends", x.attempts), slog.String("cause", x.leaveCause()))
}

// leaveCause returns why the caller is taken for gone, as far as its connection tells.
func (x *exchange) leaveCause() string {
	if x.caller == nil {
		return ""
	}
	if err := errors.Join(x.caller.Err(), x.caller.ReadErr()); err != nil {
		return err.Error()
	}
	return "its connection can still be read and written"
}

// endPanic ends a request whose handler panicked, which the server would do without a word: by a refusal if the caller has
// nothing yet, otherwise by the end of its connection.
func (x *exchange) endPanic() {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	x.forwarder.Counters.Add(metric.RequestsFailed, 1)
	x.forwarder.log(event.RequestFailed, x.requestAttr(), slog.Int("sends", x.attempts), slog.String("cause", fmt.Sprint(p)), slog.String("stack", string(debug.Stack())))
	if x.headSent || x.finished {
		panic(http.ErrAbortHandler)
	}
	x.refuse(protocol.Uncertain(protocol.StageFailed, "the entry failed to serve the request"))
}

func (x *exchange) requestAttr() slog.Attr { return slog.String("request", x.terms.RequestID) }
