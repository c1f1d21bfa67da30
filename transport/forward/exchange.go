// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/routing"
)

const (
	// againUnsure is when to come back to an entry that can't reach the platform.
	againUnsure = 300 * time.Millisecond
	// againFull is when to come back after an endpoint refused for want of room.
	againFull = 200 * time.Millisecond
	// againNoPath is when to come back when layers have no holder: loading them
	// takes one to two seconds.
	againNoPath = time.Second
	// messageRoom is how many messages wait for the exchange before an attempt
	// stops reading, so that a caller who does not read holds up only itself.
	messageRoom = 16
	// sendsMost is how often one request is sent, whatever its route allows: each
	// further send reads the prompt anew.
	sendsMost = 4
	// liveMost is how many attempts of one request are open at once.
	liveMost = 2
)

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
	deadline time.Time

	messages chan message
	live     []*attempt
	avoid    []*fleet.Runner
	draw     *rand.Rand
	reached  []*fleet.Runner // endpoints that it was sent to
	tries    int             // attempts so far
	unsent   int             // attempts of which no byte left
	mayHave  bool            // an earlier send may have run
	finished bool

	headSent  bool
	lastEvent string
	events    int
	rhythm    rhythm
	silence   silenceAction // the last that was done
}

// run sends the request and serves its answer to the end.
func (x *exchange) run() {
	f := x.forwarder
	f.noteFirst()
	x.messages = make(chan message, messageRoom)
	x.draw = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	x.lastEvent = x.terms.LastEvent
	defer x.stopAll()
	first, ok := x.pick(time.Now())
	if !ok {
		x.refuse(x.noPath())
		return
	}
	x.send(&first)
	x.rhythm.begin(x.route, x.service, x.begun)
	timer := time.NewTimer(time.Until(x.wakeAt()))
	defer timer.Stop()
	for !x.finished {
		select {
		case m := <-x.messages:
			x.take(m)
		case <-timer.C:
			x.wake(time.Now())
		case <-x.request.Context().Done():
			x.callerLeft()
			return
		}
		if !x.finished {
			timer.Reset(time.Until(x.wakeAt()))
		}
	}
}

func (x *exchange) wakeAt() time.Time {
	if at := x.rhythm.overdueAt(); at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

func (x *exchange) stopAll() {
	for _, a := range x.live {
		x.settle(a)
	}
	x.live = nil
}

// settle ends an attempt and takes its work off its path.
func (x *exchange) settle(a *attempt) {
	a.stop()
	for i := range a.path.Len() {
		a.path.Runner(i).Settled(a.passes * int64(a.path.Span(i).Layers()))
	}
	a.endpoint.End()
}

// pick chooses a path for the next attempt.
func (x *exchange) pick(now time.Time) (path.Path, bool) {
	var p path.Path
	q := x.query(now)
	return p, x.forwarder.choose(x.service, &q, &p)
}

// mayReach reports whether the route allows a send over a path: to no more
// endpoints than it names, where one that the request was sent to before counts
// once.
func (x *exchange) mayReach(p *path.Path) bool {
	if x.tries-x.unsent >= sendsMost {
		return false
	}
	return len(x.reached) < x.route.MaxTries || slices.Contains(x.reached, p.Runner(0))
}

// send starts an attempt over a path.
func (x *exchange) send(p *path.Path) {
	x.tries++
	a := &attempt{
		number:   x.tries,
		path:     *p,
		endpoint: p.Runner(0),
		passes:   int64(max(1, x.terms.PromptTokens+x.terms.AnswerTokens)),
		method:   x.request.Method,
		id:       x.terms.RequestID,
		fresh:    !x.route.MayRepeat(),
		headers:  x.forwarder.Headers,
		pool:     &x.forwarder.pool,
		out:      x.messages,
		sentAt:   time.Now(),
	}
	if x.service.Engine == nil {
		a.passes = 1
	}
	a.cancelled, a.cancel = context.WithCancel(context.Background())
	a.request = x.encode(a)
	for i := range a.path.Len() {
		a.path.Runner(i).Sent(a.passes * int64(a.path.Span(i).Layers()))
	}
	a.endpoint.Begin()
	a.newEndpoint = !slices.Contains(x.reached, a.endpoint)
	if a.newEndpoint {
		x.reached = append(x.reached, a.endpoint)
	}
	x.live = append(x.live, a)
	x.forwarder.log(event.RequestSent, x.id(), slog.Int("attempt", a.number), slog.String("path", describe(&a.path)),
		slog.Uint64("routing", x.table.Version()), slog.String("after", x.lastEvent))
	go a.run()
}

// notReached takes back that an attempt reached its endpoint.
func (x *exchange) notReached(a *attempt) {
	x.unsent++
	if i := slices.Index(x.reached, a.endpoint); i >= 0 && a.newEndpoint {
		x.reached = slices.Delete(x.reached, i, i+1)
	}
}

// query is what the choice of a path depends on.
func (x *exchange) query(now time.Time) path.Query {
	return path.Query{
		Now: now, Positions: max(1, x.terms.PromptTokens), Write: x.terms.AnswerTokens, Sharers: x.forwarder.sharers(x.service.Name),
		Draw: x.draw, Avoid: x.avoid,
	}
}

// take acts on what an attempt tells.
func (x *exchange) take(m message) {
	switch m := m.(type) {
	case headCame:
		x.takeHead(m)
	case eventCame:
		x.takeEvent(m)
	case wholeCame:
		x.takeWhole(m)
	case attemptEnded:
		x.takeEnd(m)
	}
}

func (x *exchange) isLive(a *attempt) bool {
	for _, l := range x.live {
		if l == a {
			return true
		}
	}
	return false
}

func (x *exchange) drop(a *attempt) {
	for i, l := range x.live {
		if l == a {
			x.live = append(x.live[:i], x.live[i+1:]...)
			x.settle(a)
			return
		}
	}
}

func (x *exchange) takeHead(m headCame) {
	if !x.isLive(m.attempt) {
		return
	}
	// The head waits for the first event: until then the request may still go
	// elsewhere.
	m.attempt.answer = m.head
	m.attempt.told(m.terms, time.Now())
}

// takeEvent passes an event on. The attempt that speaks first stays; another one
// that was started because it was silent ends.
func (x *exchange) takeEvent(m eventCame) {
	if !x.isLive(m.attempt) {
		return
	}
	for len(x.live) > 1 {
		other := x.live[0]
		if other == m.attempt {
			other = x.live[1]
		}
		x.drop(other)
	}
	now := time.Now()
	m.attempt.heard(now)
	x.rhythm.event(now)
	if m.attempt.first() {
		m.attempt.accepted()
	}
	if !x.headSent {
		x.writeStreamHead(m.attempt.answer)
		x.forwarder.Latency.First.Record(now.Sub(x.begun))
	}
	x.events++
	if m.event.id != "" {
		x.lastEvent = m.event.id
	}
	if _, err := x.writer.Write(m.event.content); err != nil {
		x.callerLeft()
		x.finished = true
		return
	}
	if len(x.messages) == 0 {
		x.flush()
	}
}

func (x *exchange) takeWhole(m wholeCame) {
	if !x.isLive(m.attempt) {
		return
	}
	now := time.Now()
	a := m.attempt
	a.told(m.terms, now)
	x.drop(a)
	switch {
	case m.terms.NotRun:
		x.refused(a, m.terms.AtFault, now)
		x.decide(a, retry.NotRun, &m)
	case m.head.StatusCode >= http.StatusInternalServerError:
		x.decide(a, retry.Failed, &m)
	case promises(m.head.StatusCode) && !x.route.MayRepeat():
		// Only the endpoint's own word says that a request did not run.
		x.decide(a, retry.Broken, &m)
	default:
		a.heard(now)
		x.deliver(&m)
	}
}

// promises reports whether a status tells the caller that the request did not
// run.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

func (x *exchange) takeEnd(m attemptEnded) {
	if !x.isLive(m.attempt) {
		return
	}
	a := m.attempt
	now := time.Now()
	x.drop(a)
	switch {
	case m.cause == nil:
		a.heard(now)
		x.endStream()
	case m.unsent:
		x.notReached(a)
		x.blame(a, a.endpoint.Spec().Address, now)
		x.ended(a, retry.NeverSent, m.cause)
	case m.stale:
		// A connection that had rested ended before the answer. The endpoint may
		// have run the request all the same, but is hardly at fault.
		x.ended(a, retry.Broken, m.cause)
	default:
		x.blame(a, "", now)
		x.ended(a, retry.Broken, m.cause)
	}
}

// ended logs the end of an attempt and decides what comes next, unless another
// attempt is still open.
func (x *exchange) ended(a *attempt, r retry.Result, cause error) {
	x.forwarder.log(event.AttemptBroken, x.id(), slog.Int("attempt", a.number), slog.String("endpoint", a.endpoint.Name()),
		slog.Int("events", x.events), slog.String("cause", cause.Error()))
	x.decide(a, r, nil)
}

// decide does what the retry policy says after a send without a good answer.
func (x *exchange) decide(a *attempt, r retry.Result, whole *wholeCame) {
	now := time.Now()
	if r == retry.Failed || r == retry.Broken {
		x.mayHave = true
	}
	if len(x.live) > 0 {
		return
	}
	if a.path.Len() == 1 {
		x.avoid = append(x.avoid, a.endpoint)
	}
	p, found := x.pick(now)
	next := x.forwarder.resend(retry.Forwarded{
		Result: r, MayRepeat: x.route.MayRepeat(), MayHave: x.mayHave,
		Allowed: found && x.mayReach(&p), Unsent: x.unsent, Now: now, Deadline: x.deadline,
	})
	if next == retry.Again {
		x.forwarder.Counters.Retried(reasonOf(r))
		x.send(&p)
		x.rhythm.restart(now)
		return
	}
	switch next {
	case retry.Deliver:
		x.deliver(whole)
	case retry.Refuse:
		x.finish(protocol.Refuse(protocol.RetriesSpent, "no endpoint could take the request").Again(now.Add(againFull)))
	case retry.Expire:
		x.finish(protocol.Uncertain(protocol.DeadlinePassed, "the time of the request is over"))
	default:
		x.finish(protocol.Uncertain(protocol.StageFailed, "the endpoint broke the answer off"))
	}
}

func reasonOf(r retry.Result) metric.Reason {
	switch r {
	case retry.NeverSent:
		return metric.NotSent
	case retry.NotRun:
		return metric.Overloaded
	default:
		return metric.StreamError
	}
}

// wake acts when the deadline has come or an event is overdue.
func (x *exchange) wake(now time.Time) {
	if !now.Before(x.deadline) {
		x.finish(x.expired())
		return
	}
	if now.Before(x.rhythm.overdueAt()) {
		return
	}
	x.rhythm.askAgain(now)
	if len(x.live) == 0 {
		return
	}
	silent := x.live[0]
	quiet := x.forwarder.suspects.silent(silent, x.rhythm.last, now)
	action := x.hedge(quiet, now)
	if action == x.silence {
		return // one line for each turn of a silence, not for each look at it
	}
	x.silence = action
	x.forwarder.log(event.SilenceSuspected, x.id(), slog.Int("attempt", silent.number), slog.String("endpoint", silent.endpoint.Name()),
		slog.Int64("silent_ms", now.Sub(x.rhythm.last).Milliseconds()), slog.Int("quiet", len(quiet)), slog.String("action", string(action)))
}

// silenceAction is what is done about a silence.
type silenceAction string

// The actions on a silence.
const (
	silenceBusy      silenceAction = "other streams hear its runners: wait"
	silenceOnce      silenceAction = "may not run twice: wait"
	silenceAsked     silenceAction = "asked elsewhere already: wait"
	silenceSends     silenceAction = "no further send is allowed: wait"
	silenceNoPath    silenceAction = "no sound path elsewhere: wait"
	silenceNoBudget  silenceAction = "retry budget spent: wait"
	silenceElsewhere silenceAction = "ask elsewhere"
)

// hedge asks for the answer elsewhere, without the runners that have fallen
// silent, while the silent attempt stays open. It returns what was done.
func (x *exchange) hedge(quiet []*fleet.Runner, now time.Time) silenceAction {
	switch {
	case len(x.live) >= liveMost:
		return silenceAsked
	case len(quiet) == 0:
		return silenceBusy
	case !x.route.MayRepeat():
		return silenceOnce
	}
	before := x.avoid
	x.avoid = append(x.avoid, quiet...)
	p, found := x.pick(now)
	action := silenceElsewhere
	switch {
	case !found || !sound(&p, now, x.avoid):
		action = silenceNoPath
	case !x.mayReach(&p):
		action = silenceSends
	case !x.forwarder.takeSend():
		action = silenceNoBudget
	}
	if action != silenceElsewhere {
		x.avoid = before
		return action
	}
	x.forwarder.Counters.Retried(metric.Silence)
	x.send(&p)
	return action
}

func (x *exchange) expired() *protocol.Refusal {
	return protocol.Uncertain(protocol.DeadlinePassed, "the time of the request is over")
}

func (x *exchange) noPath() *protocol.Refusal {
	return protocol.Refuse(protocol.NoPath, "no path holds every layer").Again(time.Now().Add(againNoPath))
}

func (x *exchange) callerLeft() {
	x.forwarder.Counters.Refused(protocol.CallerGone)
	x.forwarder.log(event.CallerLeft, x.id(), slog.Int("events", x.events), slog.Int64("after_ms", time.Since(x.begun).Milliseconds()))
}

func (x *exchange) id() slog.Attr { return slog.String("request", x.terms.RequestID) }

// describe returns a path as endpoint IDs with their layers.
func describe(p *path.Path) string {
	b := make([]byte, 0, 32*p.Len())
	for i := range p.Len() {
		if i > 0 {
			b = append(b, ' ')
		}
		span := p.Span(i)
		b = append(b, p.Runner(i).Name()...)
		b = append(b, '=')
		b = strconv.AppendInt(b, int64(span.From), 10)
		b = append(b, '-')
		b = strconv.AppendInt(b, int64(span.To), 10)
	}
	return string(b)
}
