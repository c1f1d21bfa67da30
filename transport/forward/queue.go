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
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

const (
	// dispatchInterval is how often queued requests are dispatched: capacity also becomes free
	// without notice, when requests of other entries end.
	dispatchInterval = 10 * time.Millisecond
	// maxDispatchScan is how many queued requests are tried in a row if the first finds no
	// capacity: it may be larger than the others.
	maxDispatchScan = 4
	// firstEventMargin is the time reserved for the first event after dispatch: its median is
	// 0.1 s, and 0.4 s covers a prefill behind other requests.
	firstEventMargin = 400 * time.Millisecond
	// targetMargin is the time reserved for the first event of a request that just meets its target.
	targetMargin = 150 * time.Millisecond
	// resumePriority is the priority of streams that have begun and wait to resume: ahead of all
	// requests that have not begun.
	resumePriority = -1
)

// waitQueue holds the requests of one service that wait for capacity at its engines.
type waitQueue struct {
	mutex      sync.Mutex
	queue      admit.WaitQueue
	dispatches map[admit.Ticket]chan int
	lastTicket admit.Ticket
}

// enqueue adds a request to the queue and returns its ticket and the channel of its dispatch
// offers. If the queue refuses the request, retryAt is when the caller should retry.
func (q *waitQueue) enqueue(w admit.Waiter, now time.Time) (t admit.Ticket, offers chan int, retryAt time.Time, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.lastTicket++
	w.Ticket = q.lastTicket
	if retryAt, ok := q.queue.Enqueue(w, now); !ok {
		return 0, nil, retryAt, false
	}
	if q.dispatches == nil {
		q.dispatches = make(map[admit.Ticket]chan int)
	}
	offers = make(chan int, 1)
	q.dispatches[w.Ticket] = offers
	return w.Ticket, offers, time.Time{}, true
}

// remove removes a request from the queue.
func (q *waitQueue) remove(t admit.Ticket) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.queue.Remove(t)
	delete(q.dispatches, t)
}

// recordStart records that a request of a team started.
func (q *waitQueue) recordStart(team string, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.queue.RecordDispatch(team, now)
}

// anyAhead reports whether a queued request goes before a new one of that priority.
func (q *waitQueue) anyAhead(priority int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.queue.HasPredecessors(priority)
}

// groups returns the queued requests grouped by priority and team.
func (q *waitQueue) groups() []admit.Group {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.queue.Groups()
}

// retryAfter returns when a refused caller should retry.
func (q *waitQueue) retryAfter(now time.Time) time.Time {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.queue.RetryAfter(now)
}

// dispatch offers capacity to the request at a position of the queue.
func (q *waitQueue) dispatch(position int, now time.Time) {
	if position >= maxDispatchScan {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	w, ok := q.queue.Peek(position, now)
	if !ok {
		return
	}
	select {
	case q.dispatches[w.Ticket] <- position:
	default: // it has not handled its last offer yet
	}
}

// waitQueues holds the wait queue of each service. The zero value has none.
type waitQueues struct {
	byService sync.Map // *waitQueue by service name
}

// forService returns the wait queue of a service, and creates it on first use.
func (q *waitQueues) forService(service string) *waitQueue {
	if found, ok := q.byService.Load(service); ok {
		return found.(*waitQueue)
	}
	created, _ := q.byService.LoadOrStore(service, &waitQueue{})
	return created.(*waitQueue)
}

// dispatchFirst offers capacity to the first request of each queue.
func (q *waitQueues) dispatchFirst(now time.Time) {
	q.byService.Range(func(_, found any) bool {
		found.(*waitQueue).dispatch(0, now)
		return true
	})
}

// QueueStatus returns the requests that wait for capacity at engines, grouped by service, priority
// and team.
func (f *Forwarder) QueueStatus(now time.Time) []protocol.WaitingStatus {
	var all []protocol.WaitingStatus
	f.queues.byService.Range(func(service, found any) bool {
		groups := found.(*waitQueue).groups()
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

// queuedRequest is a request that waits for capacity: its place in the queue and the result of its
// last attempt.
type queuedRequest struct {
	queue      *waitQueue
	ticket     admit.Ticket
	dispatches chan int
	deadline   time.Time // until when waiting is useful
	since      time.Time
	failed     *attempt // the last attempt, nil if there was none
	result     retry.Result
	response   *responseReceived
}

// start sends the request for the first time, or queues it for capacity.
func (x *exchange) start(now time.Time) {
	if sendAt := clock.Now(); x.stopsTooSoon(sendAt) { // later than now by the time that the body took
		x.endCutOff(sendAt)
		return
	}
	if x.applyQuarantine(nil, retry.NeverSent, nil, now) {
		return
	}
	if x.service.Engine == nil {
		x.startPlain(now)
		return
	}
	queue := x.forwarder.queues.forService(x.service.Name)
	if !queue.anyAhead(x.priority()) {
		if p, ready := x.pickReady(now); ready {
			if x.startOn(p, x.pickReady, now) {
				queue.recordStart(x.teamName(), now)
				return
			}
		}
	}
	if retryAt, ok := x.enqueue(nil, retry.NeverSent, nil, x.queueDeadline(), now); !ok {
		x.fail(noCapacity(retryAt))
	}
}

// startPlain sends the request to an endpoint of a plain service, or refuses it.
func (x *exchange) startPlain(now time.Time) {
	p, found := x.pickPath(now)
	if found && !x.fits(&p) {
		x.avoid = append(x.avoid, p.Runner(0))
		p, found = x.pickPath(now)
	}
	switch {
	case !found:
		x.refuse(x.noEndpoint(now))
	case x.fits(&p) && x.startOn(p, x.pickNext, now):
		return
	default:
		x.refuse(noCapacity(x.retryAt(now)))
	}
	x.finished = true
}

// pickReady chooses a path and reports whether it can take the request now.
func (x *exchange) pickReady(now time.Time) (path.Path, bool) {
	var p path.Path
	q := x.pathQuery(now)
	found := x.forwarder.choosePath(x.service, &q, x.preferredDataCenter(), &p)
	return p, found && pathReady(&p, &q, x.utilizationLimit()) && x.fits(&p)
}

// utilizationLimit returns the utilization of engines up to which they may get the request.
func (x *exchange) utilizationLimit() float64 {
	if x.headSent {
		return maxResumeUtilization
	}
	return maxUtilization
}

// queueDeadline returns until when starting the request is useful. After that the caller leaves
// before the first event can arrive. Callers of responses that are not streams wait until their
// deadline. Requests for plain services are not queued.
func (x *exchange) queueDeadline() time.Time {
	switch {
	case x.service.Engine == nil:
		return time.Time{}
	case x.route.PatienceMS <= 0:
		return x.deadline
	}
	from := x.begun
	if x.headSent {
		from = x.timing.lastEvent
	}
	latest := x.route.Patience(from).Add(-firstEventMargin)
	if latest.After(x.deadline) {
		return x.deadline
	}
	return latest
}

// enqueue queues the request for capacity until the given time. It reports whether it did, and if
// not, when the caller should retry.
func (x *exchange) enqueue(a *attempt, r retry.Result, response *responseReceived, deadline, now time.Time) (retryAt time.Time, ok bool) {
	queue := x.forwarder.queues.forService(x.service.Name)
	if !now.Before(deadline) {
		return queue.retryAfter(now), false
	}
	if opensAt, closed := x.reopensAt(deadline, now); closed {
		return x.spread(opensAt), false
	}
	priority := x.priority()
	if x.headSent {
		priority = resumePriority
	}
	queued := &queuedRequest{queue: queue, deadline: deadline, since: now, failed: a, result: r, response: response}
	queued.ticket, queued.dispatches, retryAt, ok = queue.enqueue(admit.Waiter{
		Team: x.teamName(), Priority: priority, Since: x.begun,
		TargetStart: x.route.FirstEventBy(x.begun).Add(-targetMargin), LatestStart: deadline,
	}, now)
	if !ok {
		return retryAt, false
	}
	x.queued = queued
	x.forwarder.Counters.Add(metric.RequestsQueued, 1)
	x.forwarder.log(event.QueueWaitStarted, x.requestAttr(), slog.Int("sends", x.attempts), slog.Int("priority", priority),
		slog.Int64("most_ms", deadline.Sub(now).Milliseconds()))
	return time.Time{}, true
}

// handleDispatch tries to start a queued request. If there is no capacity for it, the next one is
// tried.
func (x *exchange) handleDispatch(position int, now time.Time) {
	queued := x.queued
	if x.endUselessWait(now) {
		queued.queue.dispatch(0, now)
		return
	}
	if !x.tryDispatch(now) {
		queued.queue.dispatch(position+1, now)
		return
	}
	x.forwarder.Counters.RecordDuration(metric.QueueWait, now.Sub(queued.since))
	queued.queue.dispatch(0, now)
}

// tryDispatch sends the queued request if there is capacity and the retry budget allows it.
func (x *exchange) tryDispatch(now time.Time) bool {
	queued := x.queued
	if x.applyQuarantine(queued.failed, queued.result, queued.response, now) {
		x.dequeue()
		return true
	}
	p, ready := x.pickReady(now)
	if !ready || !x.mayReach(&p) {
		return false
	}
	if queued.failed != nil && queued.result != retry.NeverSent && !x.forwarder.retryBudgets.takeRetry(x.service.Name, now) {
		return false
	}
	if !x.startOn(p, x.pickReady, now) {
		return false
	}
	x.dequeue()
	x.discardResponse(queued.response)
	queued.queue.recordStart(x.teamName(), now)
	if queued.failed != nil {
		x.forwarder.Counters.CountRetry(retryReason(queued.result))
	}
	x.timing.restart(now)
	return true
}

// dequeue removes the request from its queue.
func (x *exchange) dequeue() {
	if x.queued != nil {
		x.queued.queue.remove(x.queued.ticket)
		x.queued = nil
	}
}

// expireQueued ends a request that has waited for capacity for too long.
func (x *exchange) expireQueued(now time.Time) {
	queued := x.queued
	x.dequeue()
	x.forwarder.log(event.QueueWaitFailed, x.requestAttr(), slog.Int64("held_ms", now.Sub(queued.since).Milliseconds()), slog.Int("sends", x.attempts))
	if queued.failed == nil {
		x.fail(noCapacity(queued.queue.retryAfter(now)))
		return
	}
	x.endWith(retry.FinalAction(queued.result, x.mayHaveRun), queued.response, queued.queue.retryAfter(now))
}

// priority ranks by team first, then by route, as engines do.
func (x *exchange) priority() int { return x.urgency() }

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// noCapacity is the refusal of a request for which the engines have no capacity in time.
func noCapacity(retryAt time.Time) *protocol.Refusal {
	return protocol.Refuse(protocol.QueueFull, "no engines have room for the request in time").WithRetryAt(retryAt)
}
