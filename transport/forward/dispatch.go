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

// maxAttempts bounds the attempts of one request, whatever its route allows: each further attempt
// repeats the prefill.
const maxAttempts = 4

// startAttempt starts an attempt over a path, if all endpoints of the path take a request now. It
// reports whether they do.
func (x *exchange) startAttempt(p *path.Path) bool {
	if !x.forwarder.pass(p, nil, clock.Now()) {
		return false
	}
	x.attempts++
	x.lateEvents = 0
	a := &attempt{
		number:         x.attempts,
		path:           *p,
		endpoint:       p.Runner(0),
		passesPerLayer: int64(max(1, x.terms.PromptTokens+x.terms.AnswerTokens)),
		method:         x.request.Method,
		id:             x.terms.RequestID,
		newConn:        !x.route.MayRepeat() || x.needsNewConn(clock.Now()),
		forwarder:      x.forwarder,
		pool:           &x.forwarder.pool,
		reservation:    &x.reservation,
		messages:       x.messages,
		sentAt:         clock.Now(),
	}
	if x.service.Engine == nil {
		a.passesPerLayer = 1
	}
	x.markIsolated(a, a.sentAt)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.request = x.encode(a)
	for i := range a.path.Len() {
		a.path.Runner(i).Sent(a.layerPasses(a.path.Span(i)))
	}
	x.forwarder.inflight.sent(a.endpoint.Name(), len(x.body))
	a.newEndpoint = !slices.Contains(x.reached, a.endpoint)
	if a.newEndpoint {
		x.reached = append(x.reached, a.endpoint)
	}
	x.open = append(x.open, a)
	x.sentAt = a.sentAt
	x.linkCheckAt = a.sentAt.Add(linkCheckAfter)
	x.forwarder.log(event.RequestSent, x.requestAttr(), slog.Int("attempt", a.number), slog.String("path", describePath(&a.path)),
		slog.Uint64("routing", x.table.Version()), slog.String("after", x.lastEvent), slog.Float64("limit", x.forwarder.rateLimit(a.endpoint.Name())))
	go a.run()
	return true
}

// pickPath chooses a path for the next attempt.
func (x *exchange) pickPath(now time.Time) (path.Path, bool) {
	var p path.Path
	q := x.pathQuery(now)
	return p, x.forwarder.choosePath(x.service, &q, x.preferredDataCenter(), &p)
}

// preferredDataCenter returns the data center whose engines are preferred.
func (x *exchange) preferredDataCenter() string {
	f := x.forwarder
	return path.FirstDataCenter(f.Entry.DataCenter, f.Registry.View().EngineDataCenters(x.service.Name), x.headSent, x.rng)
}

// pathQuery returns the input for the choice of a path.
func (x *exchange) pathQuery(now time.Time) path.Query {
	return path.Query{
		Now: now, Positions: max(1, x.terms.PromptTokens), OutputTokens: x.terms.AnswerTokens, Entries: x.forwarder.entriesPerDataCenter(x.service.Name),
		Rand: x.rng, Avoid: x.avoidReserved(x.avoid, now), Gate: x.admission(now),
	}
}

// undoReached records that an attempt did not reach its endpoint.
func (x *exchange) undoReached(a *attempt) {
	x.unsent++
	if i := slices.Index(x.reached, a.endpoint); i >= 0 && a.newEndpoint {
		x.reached = slices.Delete(x.reached, i, i+1)
	}
}

// release stops an attempt and removes its load from the runners of its path.
func (x *exchange) release(a *attempt) {
	a.stop()
	x.clearIsolated(a, clock.Now())
	x.forwarder.inflight.ended(a.endpoint.Name(), len(x.body), a.disconnected)
	for i := range a.path.Len() {
		a.path.Runner(i).Settled(a.layerPasses(a.path.Span(i)))
	}
	a.adjustPendingLoad(-1)
}

// describePath formats a path as endpoint IDs with their layers.
func describePath(p *path.Path) string {
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
