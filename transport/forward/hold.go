// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/admit"
	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

const (
	// turnEvery is how often those that wait are given their turn: room also comes back
	// without a sign, when other entries' requests end.
	turnEvery = 10 * time.Millisecond
	// turnsMost is how many that wait are given their turn one after the other when the
	// first finds no room: it may be larger than others.
	turnsMost = 4
	// startsWithin is how long the first event usually takes once a request is sent: the
	// median is 0.1 s, and 0.4 s covers reading behind other prompts.
	startsWithin = 400 * time.Millisecond
	// onTimeMargin is the same for a request that is just in time.
	onTimeMargin = 150 * time.Millisecond
	// underWay is the priority of streams that have begun and wait to go on: before all
	// that have not.
	underWay = -1
)

// line is the requests of one service that wait for room at its engines.
type line struct {
	mutex sync.Mutex
	line  admit.WaitQueue
	turns map[admit.Ticket]chan int
	last  admit.Ticket
}

// join lets a request wait and returns its ticket and the channel of its turns.
func (l *line) join(w admit.Waiter, now time.Time) (t admit.Ticket, turns chan int, again time.Time, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.last++
	w.Ticket = l.last
	if again, ok := l.line.Enqueue(w, now); !ok {
		return 0, nil, again, false
	}
	if l.turns == nil {
		l.turns = make(map[admit.Ticket]chan int)
	}
	turns = make(chan int, 1)
	l.turns[w.Ticket] = turns
	return w.Ticket, turns, time.Time{}, true
}

// leave takes a request out.
func (l *line) leave(t admit.Ticket) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.line.Remove(t)
	delete(l.turns, t)
}

// begun notes that a request of a team began.
func (l *line) begun(team string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.line.RecordDispatch(team, now)
}

// ahead reports whether requests wait that go before a new one of that priority.
func (l *line) ahead(priority int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.line.HasPredecessors(priority)
}

// groups returns who waits.
func (l *line) groups() []admit.Group {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.line.Groups()
}

// again returns from when it is worth to come back.
func (l *line) again(now time.Time) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.line.RetryAfter(now)
}

// turn gives the request that goes after so many others its turn.
func (l *line) turn(after int, now time.Time) {
	if after >= turnsMost {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w, ok := l.line.Peek(after, now)
	if !ok {
		return
	}
	select {
	case l.turns[w.Ticket] <- after:
	default: // it has not taken its last turn yet
	}
}

// lines holds the line of each service. The zero value has none.
type lines struct {
	byService sync.Map // of *line by service name
}

func (l *lines) of(service string) *line {
	if found, ok := l.byService.Load(service); ok {
		return found.(*line)
	}
	made, _ := l.byService.LoadOrStore(service, &line{})
	return made.(*line)
}

// turn gives the first of each line its turn.
func (l *lines) turn(now time.Time) {
	l.byService.Range(func(_, found any) bool {
		found.(*line).turn(0, now)
		return true
	})
}

// QueueStatus returns who waits for room at engines, in order of service, priority and team.
func (f *Forwarder) QueueStatus(now time.Time) []protocol.WaitingStatus {
	var all []protocol.WaitingStatus
	f.lines.byService.Range(func(service, found any) bool {
		groups := found.(*line).groups()
		for i := range groups {
			g := &groups[i]
			all = append(all, protocol.WaitingStatus{
				Service: service.(string), Priority: g.Priority(), Team: g.Team(), Requests: g.Requests(),
				OldestMS: now.Sub(g.Oldest()).Milliseconds(),
			})
		}
		return true
	})
	slices.SortStableFunc(all, func(a, b protocol.WaitingStatus) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// hold is a request that waits for room: how its last send ended, and its place in the
// line.
type hold struct {
	line   *line
	ticket admit.Ticket
	turns  chan int
	till   time.Time // until when waiting is of use
	since  time.Time
	failed *attempt // the last send, nil if there was none
	result retry.Result
	whole  *wholeCame
}

// begin sends the request for the first time, or lets it wait for room.
func (x *exchange) begin(now time.Time) {
	if x.restrain(nil, retry.NeverSent, nil, now) {
		return
	}
	if x.service.Engine == nil {
		p, found := x.pick(now)
		if found && !x.fits(&p) {
			x.avoid = append(x.avoid, p.Runner(0))
			p, found = x.pick(now)
		}
		switch {
		case !found:
			x.refuse(noPath())
			x.finished = true
			return
		case !x.fits(&p):
			x.refuse(noRoom(now.Add(againFull)))
			x.finished = true
			return
		}
		x.send(&p)
		return
	}
	l := x.forwarder.lines.of(x.service.Name)
	if !l.ahead(x.priority()) {
		if p, ready := x.pickReady(now); ready {
			l.begun(x.teamName(), now)
			x.send(&p)
			return
		}
	}
	if again, ok := x.wait(nil, retry.NeverSent, nil, x.hopeTill(), now); !ok {
		x.finish(noRoom(again))
	}
}

// pickReady chooses a path and reports whether it can take the request now.
func (x *exchange) pickReady(now time.Time) (path.Path, bool) {
	var p path.Path
	q := x.query(now)
	found := x.forwarder.choose(x.service, &q, x.firstCenter(), &p)
	return p, found && ready(&p, &q) && x.fits(&p)
}

// hopeTill returns until when it is of use to begin: after that the caller leaves before
// the first event can come. Callers of answers that are no streams wait to their deadline;
// requests of plain services don't wait here.
func (x *exchange) hopeTill() time.Time {
	switch {
	case x.service.Engine == nil:
		return time.Time{}
	case x.route.PatienceMS <= 0:
		return x.deadline
	}
	from := x.begun
	if x.headSent {
		from = x.rhythm.last
	}
	till := x.route.Patience(from).Add(-startsWithin)
	if till.After(x.deadline) {
		return x.deadline
	}
	return till
}

// wait lets the request wait for room until it is of no use. It reports whether it does,
// and if not, from when to come back.
func (x *exchange) wait(a *attempt, r retry.Result, whole *wholeCame, till, now time.Time) (again time.Time, ok bool) {
	l := x.forwarder.lines.of(x.service.Name)
	if !now.Before(till) {
		return l.again(now), false
	}
	priority := x.priority()
	if x.headSent {
		priority = underWay
	}
	h := &hold{line: l, till: till, since: now, failed: a, result: r, whole: whole}
	h.ticket, h.turns, again, ok = l.join(admit.Waiter{
		Team: x.teamName(), Priority: priority, Since: x.begun,
		TargetStart: x.route.Aim(x.begun).Add(-onTimeMargin), LatestStart: till,
	}, now)
	if !ok {
		return again, false
	}
	x.held = h
	x.forwarder.Counters.Add(metric.RequestsHeld, 1)
	x.forwarder.log(event.HoldBegun, x.id(), slog.Int("sends", x.tries), slog.Int("priority", priority),
		slog.Int64("most_ms", till.Sub(now).Milliseconds()))
	return time.Time{}, true
}

// takeTurn tries to begin a request that waits.
func (x *exchange) takeTurn(after int, now time.Time) {
	h := x.held
	if !x.tryHeld(now) {
		h.line.turn(after+1, now)
		return
	}
	x.forwarder.Counters.Took(metric.Held, now.Sub(h.since))
	h.line.turn(0, now)
}

// tryHeld sends the request that waits, if there is room and the budget allows it.
func (x *exchange) tryHeld(now time.Time) bool {
	h := x.held
	if x.restrain(h.failed, h.result, h.whole, now) {
		x.unhold()
		return true
	}
	p, ready := x.pickReady(now)
	if !ready || !x.mayReach(&p) {
		return false
	}
	if h.failed != nil && h.result != retry.NeverSent && !x.forwarder.budgets.take(x.service.Name, now) {
		return false
	}
	x.unhold()
	h.line.begun(x.teamName(), now)
	if h.failed != nil {
		x.forwarder.Counters.Retried(reasonOf(h.result))
	}
	x.send(&p)
	x.rhythm.restart(now)
	return true
}

// unhold takes the request out of the line.
func (x *exchange) unhold() {
	if x.held != nil {
		x.held.line.leave(x.held.ticket)
		x.held = nil
	}
}

// endHold ends a request that has waited for room in vain.
func (x *exchange) endHold(now time.Time) {
	h := x.held
	x.unhold()
	x.forwarder.log(event.HoldEnded, x.id(), slog.Int64("held_ms", now.Sub(h.since).Milliseconds()), slog.Int("sends", x.tries))
	if h.failed == nil {
		x.finish(noRoom(h.line.again(now)))
		return
	}
	x.end(retry.FinalAction(h.result, x.mayHave), h.whole, h.line.again(now))
}

// priority ranks by team first, then by route, as engines do.
func (x *exchange) priority() int { return x.urgency() }

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// noRoom is the refusal of a request for which the engines have no room in time.
func noRoom(again time.Time) *protocol.Refusal {
	return protocol.Refuse(protocol.QueueFull, "no engines have room for the request in time").Again(again)
}
