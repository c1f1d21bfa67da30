// SPDX-License-Identifier: Apache-2.0

// Package admit decides which requests of a model run, wait or are refused.
//
// A Queue runs at most Capacity requests at once. Among those that wait, the
// most urgent priority goes first, and a request gains urgency as it waits.
// Within a priority the teams share the capacity by weight (start-time fair
// queueing), and within a team the earliest deadline goes first. The capacity
// never idles while anything waits.
//
//	var q admit.Queue
//	q.Resize(8)
//	switch d := q.Offer(admit.Request{Ticket: 1, Team: "desk", Share: 1, Deadline: t}, now).(type) {
//	case admit.Run:    // go
//	case admit.Wait:   // a later Next returns the ticket
//	case admit.Refuse: // d.Kind(), d.Again(): it did not run
//	}
//	q.Finish("desk", took, now)
//	admitted, refused := q.Next(now)
//
// It is pure and not safe for use by several goroutines at once.
package admit

import (
	"container/heap"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// queuePerSlot bounds how many requests wait for each that may run.
	queuePerSlot = 4
	// minQueue is the bound of a queue with little capacity.
	minQueue = 16
	// ageStep is the wait that makes a request one priority more urgent.
	ageStep = 500 * time.Millisecond
	// smoothing is the weight of a new sample in the running mean of a
	// request's time.
	smoothing = 0.05
	// minAgain is the soonest that a refused caller is asked to come back.
	minAgain = time.Second
)

// Ticket names a request to whoever offered it.
type Ticket uint64

// Request is what admission needs to know of a request. Open is the most that
// its team may have running and waiting here.
type Request struct {
	Ticket    Ticket
	Team      string
	Share     float64
	Priority  uint8
	Deadline  time.Time
	OpenLimit int
}

// Decision is Run, Wait or Refuse.
type Decision interface{ decision() }

// Run says that the request goes now.
type Run struct{}

// Wait says that a later Next will admit or refuse the request.
type Wait struct{}

// Refuse says that the request is not run, why, and when to come back.
type Refuse struct {
	ticket Ticket
	kind   protocol.Kind
	again  time.Time
}

// Ticket returns the request refused.
func (r Refuse) Ticket() Ticket { return r.ticket }

// Kind returns why.
func (r Refuse) Kind() protocol.Kind { return r.kind }

// RetryAfter returns when it is worth coming back.
func (r Refuse) RetryAfter() time.Time { return r.again }

func (Run) decision()    {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Queue is the admission of one model at one entry. The zero value has no
// capacity and refuses everything.
type Queue struct {
	capacity int
	running  int
	waiting  int
	teams    map[string]*team
	clock    float64 // virtual time: the largest start admitted so far
	mean     float64 // seconds that a request runs, a running mean
	sequence uint64
}

// Resize sets how many requests may run at once.
func (q *Queue) Resize(capacity int) { q.capacity = capacity }

// Running returns how many requests run.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Bound returns how many requests may wait.
func (q *Queue) Bound() int { return max(minQueue, queuePerSlot*q.capacity) }

// Offer decides on a new request.
func (q *Queue) Offer(r Request, now time.Time) Decision {
	t := q.team(r)
	if r.OpenLimit > 0 && t.running+len(t.line) >= r.OpenLimit {
		return q.refuse(r.Ticket, protocol.TeamLimit, now)
	}
	if !r.Deadline.After(now) {
		return q.refuse(r.Ticket, protocol.DeadlinePassed, now)
	}
	if q.running < q.capacity && q.waiting == 0 {
		q.start(t)
		return Run{}
	}
	if now.Add(q.expectedWait(t) + q.service()).After(r.Deadline) {
		return q.refuse(r.Ticket, protocol.DeadlineUnreachable, now)
	}
	if q.waiting >= q.Bound() && !q.belowShare(t) {
		return q.refuse(r.Ticket, protocol.QueueFull, now)
	}
	q.sequence++
	heap.Push(&t.line, waiter{request: r, since: now, order: q.sequence})
	q.waiting++
	return Wait{}
}

// Finish notes that a request of the team ended after that long.
func (q *Queue) Finish(name string, took time.Duration, _ time.Time) {
	t := q.teams[name]
	if t == nil || t.running == 0 {
		return
	}
	t.running--
	q.running--
	if q.mean == 0 {
		q.mean = took.Seconds()
	}
	q.mean += smoothing * (took.Seconds() - q.mean)
}

// Withdraw takes a waiting request out, and reports whether it still waited.
func (q *Queue) Withdraw(name string, ticket Ticket) bool {
	t := q.teams[name]
	if t == nil {
		return false
	}
	for i := range t.line {
		if t.line[i].request.Ticket == ticket {
			heap.Remove(&t.line, i)
			q.waiting--
			return true
		}
	}
	return false
}

// Dispatch returns the tickets that run from now on, and the requests given up:
// those whose deadline can't be met any more, and those of the longest lines
// beyond the bound.
func (q *Queue) Dispatch(now time.Time) (admitted []Ticket, refused []Refuse) {
	refused = q.dropHopeless(now)
	for q.waiting > q.Bound() {
		refused = append(refused, q.dropFromLongest(now))
	}
	for q.running < q.capacity && q.waiting > 0 {
		t := q.first(now)
		w := heap.Pop(&t.line).(waiter)
		q.waiting--
		q.start(t)
		admitted = append(admitted, w.request.Ticket)
	}
	return admitted, refused
}

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
	if len(t.line) == 0 {
		t.pass = max(t.pass, q.clock) // an idle team saves no credit up
	}
	return t
}

func (q *Queue) start(t *team) {
	q.clock = max(q.clock, t.pass)
	t.pass += 1 / t.share
	t.running++
	q.running++
}

// first returns the team whose turn it is.
func (q *Queue) first(now time.Time) *team {
	var best *team
	var bestUrgency int
	for _, t := range q.teams {
		if len(t.line) == 0 {
			continue
		}
		urgency := t.urgency(now)
		if best == nil || urgency < bestUrgency || urgency == bestUrgency && t.before(best) {
			best, bestUrgency = t, urgency
		}
	}
	return best
}

// service returns how long a request is expected to run.
func (q *Queue) service() time.Duration { return time.Duration(q.mean * float64(time.Second)) }

// expectedWait returns how long a new request of the team would wait if every
// busy team took its share.
func (q *Queue) expectedWait(t *team) time.Duration {
	shares := t.share
	for _, o := range q.teams {
		if o != t && len(o.line) > 0 {
			shares += o.share
		}
	}
	ahead := min(float64(len(t.line)+1)*shares/t.share, float64(q.waiting+1))
	seconds := ahead * q.mean / float64(max(1, q.capacity))
	return time.Duration(seconds * float64(time.Second))
}

// belowShare reports whether the team waits with fewer requests than its share
// of the queue.
func (q *Queue) belowShare(t *team) bool {
	shares := t.share
	for _, o := range q.teams {
		if o != t && len(o.line) > 0 {
			shares += o.share
		}
	}
	return float64(len(t.line)+1) <= t.share/shares*float64(q.Bound())
}

func (q *Queue) dropHopeless(now time.Time) []Refuse {
	var dropped []Refuse
	for _, t := range q.teams {
		for len(t.line) > 0 && now.Add(q.service()).After(t.line[0].request.Deadline) {
			w := heap.Pop(&t.line).(waiter)
			q.waiting--
			dropped = append(dropped, q.refuse(w.request.Ticket, protocol.DeadlineUnreachable, now))
		}
	}
	return dropped
}

// dropFromLongest gives up the last request of the team that waits with the
// most requests for its share.
func (q *Queue) dropFromLongest(now time.Time) Refuse {
	var longest *team
	for _, t := range q.teams {
		if len(t.line) > 0 && (longest == nil || t.excess() > longest.excess()) {
			longest = t
		}
	}
	last := 0
	for i := range longest.line {
		if longest.line.Less(last, i) {
			last = i
		}
	}
	w := heap.Remove(&longest.line, last).(waiter)
	q.waiting--
	return q.refuse(w.request.Ticket, protocol.QueueFull, now)
}

func (q *Queue) refuse(ticket Ticket, k protocol.Kind, now time.Time) Refuse {
	drain := time.Duration(float64(q.waiting) * q.mean / float64(max(1, q.capacity)) * float64(time.Second))
	return Refuse{ticket: ticket, kind: k, again: now.Add(max(minAgain, drain))}
}
