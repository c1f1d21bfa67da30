// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/reroute"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// askInDoubt asks the first engine about an order whose effect has not been seen.
func (x *exchange) askInDoubt(a *attempt, now time.Time) {
	if a.course.StartQuery(now) {
		go (&asking{forwarder: x.forwarder, attempt: a}).run()
	}
}

// takePathAnswer acts on what became of an order.
func (x *exchange) takePathAnswer(m pathAnswered, now time.Time) {
	a := m.attempt
	next, _ := a.course.OrderedPath()
	outcome := a.course.HandleAnswer(m.answer, now)
	x.forwarder.Counters.PathAnswered(m.answer)
	x.forwarder.log(event.PathAnswered, x.id(), slog.Int("attempt", a.number), slog.String("answer", metric.AnswerName(m.answer)),
		slog.String("cause", causeOf(m.answer)))
	switch outcome {
	case reroute.PathChanged:
		x.move(a, next, now)
	case reroute.RetryChange, reroute.Abandoned:
		a.loadNextOf(next, -1)
		if unfit, ok := m.answer.(protocol.PathUnfit); ok {
			x.avoidUnfit(a, next, unfit.Address, now)
		}
		x.actOnLost(a, now)
	case reroute.Unresolved:
		x.avoid = append(x.avoid, a.endpoint)
	}
}

// takeWaitReport acts on what the first engine told of a request whose change of path is in
// doubt.
func (x *exchange) takeWaitReport(m waitReported, now time.Time) {
	a := m.attempt
	next, _ := a.course.OrderedPath()
	if a.course.HandleReport(m.waits, now) == reroute.Abandoned {
		a.loadNextOf(next, -1)
		x.actOnLost(a, now)
	}
}

// move puts the attempt on the path that its first engine has taken.
func (x *exchange) move(a *attempt, p *path.Path, now time.Time) {
	for i := range a.path.Len() {
		r, span := a.path.Runner(i), a.path.Span(i)
		if !p.HasStage(r, span) {
			r.Settled(a.work(span))
		}
		if !p.Contains(r) {
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

// actOnLost acts on the lost stages of an attempt's path, if it has any.
func (x *exchange) actOnLost(a *attempt, now time.Time) {
	if lost := lostOf(a, now); len(lost) > 0 {
		x.act(a, lost, now)
	}
}

// avoidUnfit leaves out the new stage that could not take the request, or all new stages if
// the answer does not name one.
func (x *exchange) avoidUnfit(a *attempt, p *path.Path, address string, now time.Time) {
	for i := range p.Len() {
		r, span := p.Runner(i), p.Span(i)
		switch {
		case a.path.HasStage(r, span):
		case r.Spec().Address == address:
			r.Refused(now)
			r.RefusedForCapacity(now)
			x.avoid = append(x.avoid, r)
		case address == "":
			x.avoid = append(x.avoid, r)
		}
	}
}

// endChange notes that an event came on an attempt, which ends the pause of a change of path.
func (x *exchange) endChange(a *attempt, now time.Time) {
	a.course.HandleProgress()
	if a.movedAt.IsZero() {
		return
	}
	x.forwarder.Counters.Took(metric.PathChange, now.Sub(x.rhythm.last))
	a.movedAt = time.Time{}
}

// endDoubted ends the open attempts that a late order may still put on another path, before
// the request is sent elsewhere: two paths must not run it.
func (x *exchange) endDoubted() {
	for _, a := range slices.Clone(x.live) {
		if a.course.MayApplyLate() {
			x.drop(a)
		}
	}
}

// work returns the layer passes that the attempt asks of a stage.
func (a *attempt) work(span protocol.Span) int64 { return a.passes * int64(span.Layers()) }

// loadNext counts the work of the attempt (sign 1) at the stages that only the ordered path
// has, or takes it off again (sign -1), if an order is not settled yet.
func (a *attempt) loadNext(sign int64) {
	if next, ok := a.course.OrderedPath(); ok {
		a.loadNextOf(next, sign)
	}
}

// loadNextOf is loadNext for a path that may no longer be ordered.
func (a *attempt) loadNextOf(next *path.Path, sign int64) {
	for i := range next.Len() {
		r, span := next.Runner(i), next.Span(i)
		switch {
		case a.path.HasStage(r, span):
		case sign > 0:
			r.Sent(a.work(span))
		default:
			r.Settled(a.work(span))
		}
	}
}

// speaks reports whether an event on the attempt proves that a stage works. It does not if
// the stage may have been replaced.
func (a *attempt) speaks(stage int) bool {
	return a.course.UsesStage(a.path.Runner(stage), a.path.Span(stage))
}

// causeOf returns why an order was not taken, "" if the kind of the answer says all.
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
