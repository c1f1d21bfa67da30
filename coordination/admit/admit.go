// SPDX-License-Identifier: Apache-2.0

// Package admit decides which requests run, which wait and which are refused.
//
// A Queue admits the requests of one model and runs at most a set number of
// them at once. The most urgent priority goes first, and a request gains
// urgency as it waits. Within a priority the teams share the capacity by
// weight (start-time fair queueing). Within a team the earliest deadline goes
// first. No capacity stays idle while a request waits.
//
//	var q admit.Queue
//	q.Resize(8)
//	switch d := q.Offer(admit.Request{Ticket: 1, Team: "desk", Share: 1, Deadline: t}, now).(type) {
//	case admit.Run:    // run the request
//	case admit.Wait:   // a later Dispatch returns the ticket
//	case admit.Refuse: // d.Kind() and d.RetryAfter() tell the caller why, and when to retry
//	}
//	q.Finish("desk", took, now)
//	admitted, refused := q.Dispatch(now)
//
// A WaitQueue orders the requests of one service that wait for capacity of its
// engines. A Limit finds how many requests may run at once.
//
// The package does no input or output. Its types are not safe for concurrent use.
package admit

import (
	"container/heap"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// maxQueuedPerSlot bounds how many requests wait for each one that may run.
	maxQueuedPerSlot = 4
	// minQueueBound is the smallest bound on waiting requests, whatever the capacity.
	minQueueBound = 16
	// agingInterval is the wait that makes a request one priority more urgent.
	agingInterval = 500 * time.Millisecond
	// smoothingFactor is the weight of a new sample in the moving average of the
	// run time.
	smoothingFactor = 0.05
	// minRetryAfter is the earliest time after which a refused caller may retry.
	minRetryAfter = time.Second
)

// Ticket identifies a request to the caller that offered it.
type Ticket uint64

// Request holds what admission needs to know about a request. OpenLimit bounds
// how many requests of the team may run and wait in the queue; 0 means no bound.
// Share is the weight of the team.
type Request struct {
	Ticket    Ticket
	Team      string
	Share     float64
	Priority  uint8
	Deadline  time.Time
	OpenLimit int
}

// Decision is a Run, a Wait or a Refuse.
type Decision interface{ decision() }

// Run says that the request runs now.
type Run struct{}

// Wait says that a later Dispatch admits or refuses the request.
type Wait struct{}

// Refuse says that the request does not run, why, and when the caller may retry.
type Refuse struct {
	ticket     Ticket
	kind       protocol.Kind
	retryAfter time.Time
}

// Ticket returns the ticket of the refused request.
func (r Refuse) Ticket() Ticket { return r.ticket }

// Kind returns the reason for the refusal.
func (r Refuse) Kind() protocol.Kind { return r.kind }

// RetryAfter returns the time from which a retry is worthwhile.
func (r Refuse) RetryAfter() time.Time { return r.retryAfter }

func (Run) decision()    {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Queue admits the requests of one model at one entry. The zero value has no
// capacity; set it with Resize.
type Queue struct {
	capacity    int
	running     int
	waiting     int
	teams       map[string]*team
	virtualTime float64 // the largest virtual start admitted so far
	meanSeconds float64 // moving average of the run time of a request
	sequence    uint64
}

// Resize sets how many requests may run at once.
func (q *Queue) Resize(capacity int) { q.capacity = capacity }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Bound returns how many requests may wait.
func (q *Queue) Bound() int { return max(minQueueBound, maxQueuedPerSlot*q.capacity) }

// Offer decides on a new request.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	t := q.team(r)
	if r.OpenLimit > 0 && t.running+len(t.queue) >= r.OpenLimit {
		return q.refuse(r.Ticket, protocol.TeamLimit, now)
	}
	if !r.Deadline.After(now) {
		return q.refuse(r.Ticket, protocol.DeadlinePassed, now)
	}
	if q.running < q.capacity && q.waiting == 0 {
		q.admit(t)
		return Run{}
	}
	if now.Add(q.expectedWait(t) + q.serviceTime()).After(r.Deadline) {
		return q.refuse(r.Ticket, protocol.DeadlineUnreachable, now)
	}
	if q.waiting >= q.Bound() && !q.belowShare(t) {
		return q.refuse(r.Ticket, protocol.QueueFull, now)
	}
	q.sequence++
	heap.Push(&t.queue, queuedRequest{request: r, since: now, sequence: q.sequence})
	q.waiting++
	return Wait{}
}

// Finish records that a request of the named team has ended after it ran for
// the given time.
func (q *Queue) Finish(name string, took time.Duration, _ time.Time) {
	t := q.teams[name]
	if t == nil || t.running == 0 {
		return
	}
	t.running--
	q.running--
	if q.meanSeconds == 0 {
		q.meanSeconds = took.Seconds()
	}
	q.meanSeconds += smoothingFactor * (took.Seconds() - q.meanSeconds)
}

// Withdraw removes a waiting request and reports whether it was still waiting.
func (q *Queue) Withdraw(name string, ticket Ticket) bool {
	t := q.teams[name]
	if t == nil {
		return false
	}
	for i := range t.queue {
		if t.queue[i].request.Ticket == ticket {
			heap.Remove(&t.queue, i)
			q.waiting--
			return true
		}
	}
	return false
}

// Dispatch returns the tickets that run from now on and the requests that are
// refused: those whose deadline can no longer be met, and, while more requests
// wait than the bound allows, those of the teams that exceed their share most.
func (q *Queue) Dispatch(now time.Time) (admitted []Ticket, refused []Refuse) {
	refused = q.refuseUnreachable(now)
	for q.waiting > q.Bound() {
		refused = append(refused, q.refuseFromLongest(now))
	}
	for q.running < q.capacity && q.waiting > 0 {
		t := q.nextTeam(now)
		w := heap.Pop(&t.queue).(queuedRequest)
		q.waiting--
		q.admit(t)
		admitted = append(admitted, w.request.Ticket)
	}
	return admitted, refused
}

// team returns the team of a request and creates it if necessary.
func (q *Queue) team(r Request) *team {
	t := q.teams[r.Team]
	if t == nil {
		if q.teams == nil {
			q.teams = map[string]*team{}
		}
		t = &team{}
		q.teams[r.Team] = t
	}
	t.share = r.Share
	if len(t.queue) == 0 {
		t.virtualStart = max(t.virtualStart, q.virtualTime) // an idle team accumulates no credit
	}
	return t
}

// admit counts a request of the team as running and advances the virtual time.
func (q *Queue) admit(t *team) {
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	t.virtualStart += 1 / t.share
	t.running++
	q.running++
}

// nextTeam returns the waiting team that is dispatched next.
func (q *Queue) nextTeam(now time.Time) *team {
	var best *team
	var bestUrgency int
	for _, t := range q.teams {
		if len(t.queue) == 0 {
			continue
		}
		urgency := t.urgency(now)
		if best == nil || urgency < bestUrgency || urgency == bestUrgency && t.precedes(best) {
			best, bestUrgency = t, urgency
		}
	}
	return best
}

// serviceTime returns the expected run time of a request.
func (q *Queue) serviceTime() time.Duration {
	return time.Duration(q.meanSeconds * float64(time.Second))
}

// expectedWait returns how long a new request of the team waits if every team
// with waiting requests uses its full share.
func (q *Queue) expectedWait(t *team) time.Duration {
	shares := t.share
	for _, o := range q.teams {
		if o != t && len(o.queue) > 0 {
			shares += o.share
		}
	}
	ahead := min(float64(len(t.queue)+1)*shares/t.share, float64(q.waiting+1))
	seconds := ahead * q.meanSeconds / float64(max(1, q.capacity))
	return time.Duration(seconds * float64(time.Second))
}

// belowShare reports whether one more waiting request keeps the team within its
// share of the queue bound.
func (q *Queue) belowShare(t *team) bool {
	shares := t.share
	for _, o := range q.teams {
		if o != t && len(o.queue) > 0 {
			shares += o.share
		}
	}
	return float64(len(t.queue)+1) <= t.share/shares*float64(q.Bound())
}

// refuseUnreachable removes the waiting requests that can no longer finish
// before their deadline.
func (q *Queue) refuseUnreachable(now time.Time) []Refuse {
	var dropped []Refuse
	for _, t := range q.teams {
		for len(t.queue) > 0 && now.Add(q.serviceTime()).After(t.queue[0].request.Deadline) {
			w := heap.Pop(&t.queue).(queuedRequest)
			q.waiting--
			dropped = append(dropped, q.refuse(w.request.Ticket, protocol.DeadlineUnreachable, now))
		}
	}
	return dropped
}

// refuseFromLongest removes the request with the latest deadline from the team
// that has the most waiting requests in relation to its share.
func (q *Queue) refuseFromLongest(now time.Time) Refuse {
	var longest *team
	for _, t := range q.teams {
		if len(t.queue) > 0 && (longest == nil || t.queuedPerShare() > longest.queuedPerShare()) {
			longest = t
		}
	}
	last := 0
	for i := range longest.queue {
		if longest.queue.Less(last, i) {
			last = i
		}
	}
	w := heap.Remove(&longest.queue, last).(queuedRequest)
	q.waiting--
	return q.refuse(w.request.Ticket, protocol.QueueFull, now)
}

// refuse returns a refusal. The caller may retry once the waiting requests have
// had time to run.
func (q *Queue) refuse(ticket Ticket, k protocol.Kind, now time.Time) Refuse {
	drain := time.Duration(float64(q.waiting) * q.meanSeconds / float64(max(1, q.capacity)) * float64(time.Second))
	return Refuse{ticket: ticket, kind: k, retryAfter: now.Add(max(minRetryAfter, drain))}
}
