// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/admit"
	"pinerun.example/pinerun/protocol"
)

// admissionTick is the interval at which queued requests whose deadline can no
// longer be met are refused.
const admissionTick = 50 * time.Millisecond

// admission holds the admission queue and the concurrency limit of each model.
type admission struct {
	mutex      sync.Mutex
	queues     map[string]*admit.Queue
	limits     map[string]*admit.Limit
	decisions  map[admit.Ticket]chan admit.Decision
	lastTicket admit.Ticket
}

// slot is a request's position in its model's queue, and its share of the
// model's capacity once it is admitted.
type slot struct {
	admission *admission
	model     string
	team      string
	ticket    admit.Ticket
	started   time.Time
}

// acquire waits until the request is admitted or refused, or ctx is done.
func (a *admission) acquire(ctx context.Context, m protocol.Model, capacity int, r admit.Request) (*slot, error) {
	s := &slot{admission: a, model: m.Name, team: r.Team}
	decision := a.offer(s, capacity, r)
	select {
	case d := <-decision:
		return s.resolve(d)
	case <-ctx.Done():
		return a.cancel(s, decision)
	}
}

// offer adds the request to its model's queue and returns the channel that
// receives the decision.
func (a *admission) offer(s *slot, capacity int, r admit.Request) chan admit.Decision {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.queues == nil {
		a.queues = map[string]*admit.Queue{}
		a.limits = map[string]*admit.Limit{}
		a.decisions = map[admit.Ticket]chan admit.Decision{}
	}
	q := a.queues[s.model]
	if q == nil {
		q = &admit.Queue{}
		a.queues[s.model] = q
		a.limits[s.model] = &admit.Limit{}
	}
	a.lastTicket++
	s.ticket = a.lastTicket
	r.Ticket = s.ticket
	q.Resize(a.limits[s.model].Capacity(capacity))
	decision := make(chan admit.Decision, 1)
	now := time.Now()
	d := q.Offer(r, now)
	if _, queued := d.(admit.Wait); queued {
		a.decisions[s.ticket] = decision
		a.dispatch(q, now)
	} else {
		decision <- d
	}
	return decision
}

// resolve turns a decision into an admitted slot or a refusal.
func (s *slot) resolve(d admit.Decision) (*slot, error) {
	if r, ok := d.(admit.Refuse); ok {
		return nil, protocol.Refuse(r.Kind(), "model "+s.model+" has no room for the request").WithRetryAt(r.RetryAfter())
	}
	s.started = time.Now()
	return s, nil
}

// cancel removes a queued request when its context is done. If the request was
// admitted at the same moment, cancel releases its slot.
func (a *admission) cancel(s *slot, decision chan admit.Decision) (*slot, error) {
	a.mutex.Lock()
	wasQueued := a.queues[s.model].Withdraw(s.team, s.ticket)
	delete(a.decisions, s.ticket)
	a.mutex.Unlock()
	if !wasQueued {
		if _, err := s.resolve(<-decision); err == nil {
			s.release()
		}
	}
	return nil, protocol.Refuse(protocol.DeadlinePassed, "the deadline passed while the request waited")
}

// release frees the slot for the next request.
func (s *slot) release() {
	s.admission.mutex.Lock()
	defer s.admission.mutex.Unlock()
	q := s.admission.queues[s.model]
	now := time.Now()
	q.Finish(s.team, now.Sub(s.started), now)
	s.admission.dispatch(q, now)
}

// observeGap passes the time between two tokens of the request to the model's
// concurrency limit.
func (s *slot) observeGap(gap, target time.Duration) {
	s.admission.mutex.Lock()
	defer s.admission.mutex.Unlock()
	q := s.admission.queues[s.model]
	s.admission.limits[s.model].Observe(gap, target, q.Waiting() > 0, time.Now())
}

// dispatch sends the decision to each request that the queue admits or refuses.
// The caller holds the mutex.
func (a *admission) dispatch(q *admit.Queue, now time.Time) {
	admitted, refused := q.Dispatch(now)
	for _, t := range admitted {
		a.decisions[t] <- admit.Run{}
		delete(a.decisions, t)
	}
	for _, r := range refused {
		a.decisions[r.Ticket()] <- r
		delete(a.decisions, r.Ticket())
	}
}

// admissionTicker periodically refuses queued requests that can no longer meet
// their deadline.
type admissionTicker struct{ entry *Entry }

func (a *admissionTicker) run() {
	t := time.NewTicker(admissionTick)
	defer t.Stop()
	for {
		select {
		case <-a.entry.done.Done():
			return
		case now := <-t.C:
			a.entry.admission.dispatchAll(now)
		}
	}
}

// dispatchAll dispatches the queue of every model.
func (a *admission) dispatchAll(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, q := range a.queues {
		a.dispatch(q, now)
	}
}

// load returns the numbers of running and queued requests of a model at this entry.
func (a *admission) load(model string) (running, waiting int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	q := a.queues[model]
	if q == nil {
		return 0, 0
	}
	return q.Running(), q.Waiting()
}
