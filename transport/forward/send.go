// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
)

// sendsMost is how often one request is sent, whatever its route allows: each
// further send reads the prompt anew.
const sendsMost = 4

// send starts an attempt over a path.
func (x *exchange) send(p *path.Path) {
	x.tries++
	x.late = 0
	a := &attempt{
		number:   x.tries,
		path:     *p,
		endpoint: p.Runner(0),
		passes:   int64(max(1, x.terms.PromptTokens+x.terms.AnswerTokens)),
		method:   x.request.Method,
		id:       x.terms.RequestID,
		fresh:    !x.route.MayRepeat() || x.doubtsResting(clock.Now()),
		headers:  x.forwarder.Headers,
		pool:     &x.forwarder.pool,
		reserved: &x.reserved,
		out:      x.messages,
		sentAt:   clock.Now(),
	}
	if x.service.Engine == nil {
		a.passes = 1
	}
	x.enrol(a, a.sentAt)
	a.cancelled, a.cancel = context.WithCancel(context.Background())
	a.request = x.encode(a)
	for i := range a.path.Len() {
		a.path.Runner(i).Sent(a.work(a.path.Span(i)))
	}
	x.forwarder.inflight.sent(a.endpoint.Name(), len(x.body))
	a.newEndpoint = !slices.Contains(x.reached, a.endpoint)
	if a.newEndpoint {
		x.reached = append(x.reached, a.endpoint)
	}
	x.live = append(x.live, a)
	x.forwarder.log(event.RequestSent, x.id(), slog.Int("attempt", a.number), slog.String("path", describe(&a.path)),
		slog.Uint64("routing", x.table.Version()), slog.String("after", x.lastEvent))
	go a.run()
}

// pick chooses a path for the next attempt.
func (x *exchange) pick(now time.Time) (path.Path, bool) {
	var p path.Path
	q := x.query(now)
	return p, x.forwarder.choose(x.service, &q, x.firstCenter(), &p)
}

// firstCenter returns the data center whose engines come first.
func (x *exchange) firstCenter() string {
	f := x.forwarder
	return path.FirstDataCenter(f.Home.DataCenter, f.Roster.EngineDataCenters(x.service.Name), x.headSent, x.draw)
}

// query is what the choice of a path depends on.
func (x *exchange) query(now time.Time) path.Query {
	return path.Query{
		Now: now, Positions: max(1, x.terms.PromptTokens), OutputTokens: x.terms.AnswerTokens, Entries: x.forwarder.sharers(x.service.Name),
		Rand: x.draw, Avoid: x.takenBy(x.avoid, now),
	}
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

// mayReachMore reports whether the route allows any further send.
func (x *exchange) mayReachMore() bool { return x.tries-x.unsent < sendsMost }

// notReached takes back that an attempt reached its endpoint.
func (x *exchange) notReached(a *attempt) {
	x.unsent++
	if i := slices.Index(x.reached, a.endpoint); i >= 0 && a.newEndpoint {
		x.reached = slices.Delete(x.reached, i, i+1)
	}
}

// settle ends an attempt and takes its work off its path.
func (x *exchange) settle(a *attempt) {
	a.stop()
	x.dismiss(a, clock.Now())
	x.forwarder.inflight.ended(a.endpoint.Name(), len(x.body), a.fell)
	for i := range a.path.Len() {
		a.path.Runner(i).Settled(a.work(a.path.Span(i)))
	}
	a.loadNext(-1)
}

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
