// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/repath"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/roster"
)

const (
	// changeSlack is how many times the expected pause after a change of path a stream may
	// be silent: others whose stage was lost read again at the same engines.
	changeSlack = 3
	// changeLeast is the least silence after a change of path that is suspicious. With 90 ms
	// half of the streams that changed their path were asked for elsewhere as well and read
	// whole again (153 of 338); of the others nine in ten paused for less than 235 ms, the
	// silence before the order included (three logged plays, 98 engines).
	changeLeast = 200 * time.Millisecond
	// quietMost bounds the stages that are replaced because they fell silent: one of that
	// many. Where more are silent the way to the first engine is likelier to be at fault.
	quietMost = 3
)

// Changer orders engines to run a request over another path.
type Changer interface {
	ChangePath(ctx context.Context, o protocol.PathOrder) protocol.PathAnswer
}

// pathAnswered is what became of an order to change the path of an attempt.
type pathAnswered struct {
	attempt *attempt
	answer  protocol.PathAnswer
}

// waitReported is whether an attempt's first engine lists it among those that wait for a
// runner, as after an order that was not answered. It is taken to wait when the engine
// does not report.
type waitReported struct {
	attempt *attempt
	waits   bool
}

func (m pathAnswered) from() *attempt { return m.attempt }
func (m waitReported) from() *attempt { return m.attempt }

// changing is one order to change a path.
type changing struct {
	forwarder *Forwarder
	attempt   *attempt
	order     protocol.PathOrder
}

func (c *changing) run() {
	answer := c.forwarder.Changer.ChangePath(c.attempt.cancelled, c.order)
	c.attempt.post(pathAnswered{attempt: c.attempt, answer: answer})
}

// asking is one question to an attempt's first engine whether the request still waits.
type asking struct {
	forwarder *Forwarder
	attempt   *attempt
}

func (q *asking) run() {
	a := q.attempt
	report, err := q.forwarder.report(a.endpoint)
	waits := err != nil || slices.ContainsFunc(report.Stalled, func(s protocol.StalledRequest) bool { return s.ID == a.id })
	a.post(waitReported{attempt: a, waits: waits})
}

// replace has the first engine of an attempt's path replace the stages that are lost, if
// that is better than sending the request again. It returns "" when it did nothing: then a
// further send may be thought of.
func (x *exchange) replace(a *attempt, now time.Time) silenceAction {
	if a.course.Pending() {
		x.askInDoubt(a, now)
		return silenceChanging
	}
	lost := lostOf(a, now)
	if !x.mayReplace(a, lost) {
		return ""
	}
	q := x.changeQuery(a, lost, now)
	var p path.Path
	if x.route.MayRepeat() && x.forwarder.choose(x.service, &q.Search, x.firstCenter(), &p) && sound(&p, now, q.Search.Avoid) && x.mayReach(&p) {
		q.Elsewhere = &p
	}
	return x.change(a, q, now)
}

// replaceQuiet is replace for a request that can't be sent elsewhere: nothing but waiting
// would be left, so stages that have fallen silent are replaced too, as long as they are
// few. Streams that could be sent elsewhere and had silent stages replaced instead paused
// for over 250 ms in 66 of 328 cases, and in 10 of 185 where the stages were known to be
// lost (three logged plays each, 98 engines).
func (x *exchange) replaceQuiet(a *attempt, quiet []*fleet.Runner, now time.Time) silenceAction {
	if lost := lostOf(a, now); len(lost) > 0 {
		quiet = lost
	} else if len(quiet)*quietMost > a.path.Len() {
		return ""
	}
	if !x.mayReplace(a, quiet) {
		return ""
	}
	return x.change(a, x.changeQuery(a, quiet, now), now)
}

// mayReplace reports whether stages of an attempt's path may be replaced: not the first
// one, whose engine is to be ordered, nor while another attempt may speak first.
func (x *exchange) mayReplace(a *attempt, stages []*fleet.Runner) bool {
	return x.forwarder.Changer != nil && len(x.live) == 1 && a.course.MayBegin() && len(stages) > 0 && !slices.Contains(stages, a.endpoint)
}

func (x *exchange) change(a *attempt, q *repath.Query, now time.Time) silenceAction {
	change, ok := repath.Choose(x.models(a), q).(*repath.Change)
	if !ok {
		return ""
	}
	x.order(a, change, now)
	return silenceChanging
}

// changeQuery is what the decision on a change of path depends on, without a path
// elsewhere.
func (x *exchange) changeQuery(a *attempt, lost []*fleet.Runner, now time.Time) *repath.Query {
	written := x.events * max(1, x.service.Engine.EventTokens)
	q := &repath.Query{
		Path: a.path, Lost: lost, Tokens: x.terms.PromptTokens + written, Left: max(0, x.terms.AnswerTokens-written), Search: x.query(now),
	}
	q.Search.Avoid = append(slices.Clip(x.avoid), lost...)
	return q
}

// models returns the engines among which replacements are looked for: those of the path's
// data center first.
func (x *exchange) models(a *attempt) []*fleet.Model {
	view := x.forwarder.Roster.View()
	home := a.endpoint.Spec().Model
	list := []*fleet.Model{view.Model(home)}
	for _, center := range x.forwarder.Roster.Centers(x.service.Name) {
		if name := roster.ModelName(x.service.Name, center); name != home {
			list = append(list, view.Model(name))
		}
	}
	return list
}

// order sends the order. From now on the work counts at the stages of both paths.
func (x *exchange) order(a *attempt, c *repath.Change, now time.Time) {
	f := x.forwarder
	a.course.Begin(c.Path())
	a.quietTill = now.Add(max(changeLeast, time.Duration(changeSlack*c.Seconds()*float64(time.Second))))
	a.loadNext(1)
	f.Counters.Add(metric.PathOrders, 1)
	f.log(event.PathOrdered, x.id(), slog.Int("attempt", a.number), slog.String("path", describe(c.Path())), slog.Int("events", x.events),
		slog.Int64("silent_ms", now.Sub(x.rhythm.last).Milliseconds()), slog.Float64("expected_ms", c.Seconds()*1000))
	go (&changing{forwarder: f, attempt: a, order: protocol.PathOrder{
		EndpointID: a.endpoint.Name(), Address: a.endpoint.Spec().Address, RequestID: a.id, Path: stagesOf(c.Path()),
	}}).run()
}

// askInDoubt asks the first engine about an order that has not shown.
func (x *exchange) askInDoubt(a *attempt, now time.Time) {
	if a.course.Ask(now) {
		go (&asking{forwarder: x.forwarder, attempt: a}).run()
	}
}

// takePathAnswer acts on what became of an order.
func (x *exchange) takePathAnswer(m pathAnswered, now time.Time) {
	a := m.attempt
	next, _ := a.course.Next()
	outcome := a.course.Answered(m.answer, now)
	x.forwarder.Counters.PathAnswered(m.answer)
	x.forwarder.log(event.PathAnswered, x.id(), slog.Int("attempt", a.number), slog.String("answer", metric.AnswerName(m.answer)),
		slog.String("cause", causeOf(m.answer)))
	switch outcome {
	case repath.Moved:
		x.move(a, next, now)
	case repath.Again, repath.GivenUp:
		a.loadNextOf(next, -1)
		if unfit, ok := m.answer.(protocol.PathUnfit); ok {
			x.avoidUnfit(a, next, unfit.Address, now)
		}
		x.actOnLost(a, now)
	case repath.InDoubt:
		x.avoid = append(x.avoid, a.endpoint)
	}
}

// takeWaitReport acts on what the first engine told of a request whose change of path is in
// doubt.
func (x *exchange) takeWaitReport(m waitReported, now time.Time) {
	a := m.attempt
	next, _ := a.course.Next()
	if a.course.Reported(m.waits, now) == repath.GivenUp {
		a.loadNextOf(next, -1)
		x.actOnLost(a, now)
	}
}

// move takes it that the attempt runs over another path.
func (x *exchange) move(a *attempt, p *path.Path, now time.Time) {
	for i := range a.path.Len() {
		r, span := a.path.Runner(i), a.path.Span(i)
		if !p.Has(r, span) {
			r.Settled(a.work(span))
		}
		if !p.Holds(r) {
			x.avoid = append(x.avoid, r)
		}
	}
	a.path = *p
	a.movedAt = now
	x.rhythm.expect(a.quietTill)
	if len(lostOf(a, now)) > 0 {
		x.actOnLost(a, now) // another stage was lost meanwhile
	}
}

// actOnLost does what else there is to do for a request whose path has lost stages.
func (x *exchange) actOnLost(a *attempt, now time.Time) {
	if lost := lostOf(a, now); len(lost) > 0 {
		x.act(a, lost, now)
	}
}

// avoidUnfit leaves out the stage that could not take the request, or has the request avoid
// all new ones if its address is not told.
func (x *exchange) avoidUnfit(a *attempt, p *path.Path, address string, now time.Time) {
	for i := range p.Len() {
		r, span := p.Runner(i), p.Span(i)
		switch {
		case a.path.Has(r, span):
		case r.Spec().Address == address:
			r.Refused(now)
			r.RefusedForRoom(now)
			x.avoid = append(x.avoid, r)
		case address == "":
			x.avoid = append(x.avoid, r)
		}
	}
}

// spoke takes it that an event came on an attempt whose path may have changed.
func (x *exchange) endChange(a *attempt, now time.Time) {
	a.course.Spoke()
	if a.movedAt.IsZero() {
		return
	}
	x.forwarder.Counters.Took(metric.PathChange, now.Sub(x.rhythm.last))
	a.movedAt = time.Time{}
}

// endDoubted ends the open attempts whose path may still change by a late order, before the
// request is sent elsewhere: two paths must not run it.
func (x *exchange) endDoubted() {
	for _, a := range slices.Clone(x.live) {
		if a.course.LateOrder() {
			x.drop(a)
		}
	}
}

// work returns the layer passes that the attempt asks of a stage.
func (a *attempt) work(span protocol.Span) int64 { return a.passes * int64(span.Layers()) }

// loadNext counts the work of the attempt at the stages that only an ordered path has, or
// takes it off again, as long as the order is not settled.
func (a *attempt) loadNext(sign int64) {
	if next, ok := a.course.Next(); ok {
		a.loadNextOf(next, sign)
	}
}

func (a *attempt) loadNextOf(next *path.Path, sign int64) {
	for i := range next.Len() {
		r, span := next.Runner(i), next.Span(i)
		switch {
		case a.path.Has(r, span):
		case sign > 0:
			r.Sent(a.work(span))
		default:
			r.Settled(a.work(span))
		}
	}
}

// speaks reports whether an event on the attempt is surely a sign of a stage: not if it may
// have been replaced.
func (a *attempt) speaks(stage int) bool {
	return a.course.Uses(a.path.Runner(stage), a.path.Span(stage))
}

// causeOf returns why an order was not taken, "" if it was or if the answer says it all.
func causeOf(answer protocol.PathAnswer) string {
	switch answer := answer.(type) {
	case protocol.PathRefused:
		return answer.Cause.Error()
	case protocol.PathUnanswered:
		return answer.Cause.Error()
	case protocol.PathUnfit:
		return answer.Address
	default:
		return ""
	}
}
