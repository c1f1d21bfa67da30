// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/admit"
	"pinerun.example/pinerun/protocol"
)

// gateTick is how often waiting requests are looked through for those whose
// deadline can't be met any more.
const gateTick = 50 * time.Millisecond

// gate runs the admission queue of each model.
type gate struct {
	mutex  sync.Mutex
	queues map[string]*admit.Queue
	limits map[string]*admit.Limit
	wait   map[admit.Ticket]chan admit.Decision
	ticket admit.Ticket
}

// pass is a request's place in its model's queue.
type pass struct {
	gate    *gate
	model   string
	team    string
	ticket  admit.Ticket
	started time.Time
}

// enter waits until the request may run, is refused or ctx ends.
func (g *gate) enter(ctx context.Context, m protocol.Model, capacity int, r admit.Request) (*pass, error) {
	p := &pass{gate: g, model: m.Name, team: r.Team}
	decided := g.offer(p, capacity, r)
	select {
	case d := <-decided:
		return p.decided(d)
	case <-ctx.Done():
		return g.withdraw(p, decided)
	}
}

func (g *gate) offer(p *pass, capacity int, r admit.Request) chan admit.Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.queues == nil {
		g.queues = map[string]*admit.Queue{}
		g.limits = map[string]*admit.Limit{}
		g.wait = map[admit.Ticket]chan admit.Decision{}
	}
	q := g.queues[p.model]
	if q == nil {
		q = &admit.Queue{}
		g.queues[p.model] = q
		g.limits[p.model] = &admit.Limit{}
	}
	g.ticket++
	p.ticket = g.ticket
	r.Ticket = p.ticket
	q.Resize(g.limits[p.model].Capacity(capacity))
	decided := make(chan admit.Decision, 1)
	now := time.Now()
	d := q.Offer(r, now)
	if _, waits := d.(admit.Wait); waits {
		g.wait[p.ticket] = decided
		g.advance(q, now)
	} else {
		decided <- d
	}
	return decided
}

func (p *pass) decided(d admit.Decision) (*pass, error) {
	if r, ok := d.(admit.Refuse); ok {
		return nil, protocol.Refuse(r.Kind(), "model "+p.model+" has no room for the request").Again(r.RetryAfter())
	}
	p.started = time.Now()
	return p, nil
}

// withdraw takes a request out whose caller stopped waiting. If it was admitted
// at the same moment its place is given back.
func (g *gate) withdraw(p *pass, decided chan admit.Decision) (*pass, error) {
	g.mutex.Lock()
	waited := g.queues[p.model].Withdraw(p.team, p.ticket)
	delete(g.wait, p.ticket)
	g.mutex.Unlock()
	if !waited {
		if _, err := p.decided(<-decided); err == nil {
			p.leave()
		}
	}
	return nil, protocol.Refuse(protocol.DeadlinePassed, "the deadline passed while the request waited")
}

// leave gives the place to the next request.
func (p *pass) leave() {
	p.gate.mutex.Lock()
	defer p.gate.mutex.Unlock()
	q := p.gate.queues[p.model]
	now := time.Now()
	q.Finish(p.team, now.Sub(p.started), now)
	p.gate.advance(q, now)
}

// observe takes a gap between two tokens of a request.
func (p *pass) observe(gap, goal time.Duration) {
	p.gate.mutex.Lock()
	defer p.gate.mutex.Unlock()
	q := p.gate.queues[p.model]
	p.gate.limits[p.model].Observe(gap, goal, q.Waiting() > 0, time.Now())
}

// advance tells the requests that a queue admits or gives up. The mutex is held.
func (g *gate) advance(q *admit.Queue, now time.Time) {
	admitted, refused := q.Dispatch(now)
	for _, t := range admitted {
		g.wait[t] <- admit.Run{}
		delete(g.wait, t)
	}
	for _, r := range refused {
		g.wait[r.Ticket()] <- r
		delete(g.wait, r.Ticket())
	}
}

// gateClock gives up hopeless requests in time.
type gateClock struct{ entry *Entry }

func (c *gateClock) run() {
	t := time.NewTicker(gateTick)
	defer t.Stop()
	for {
		select {
		case <-c.entry.done.Done():
			return
		case now := <-t.C:
			c.entry.gate.tick(now)
		}
	}
}

func (g *gate) tick(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, q := range g.queues {
		g.advance(q, now)
	}
}

// load returns how many requests of a model run and wait here.
func (g *gate) load(model string) (running, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	q := g.queues[model]
	if q == nil {
		return 0, 0
	}
	return q.Running(), q.Waiting()
}
