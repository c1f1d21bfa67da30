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

// checkUnresolvedOrder queries the first engine about an order whose effect is not known.
func (x *exchange) checkUnresolvedOrder(a *attempt, now time.Time) {
	if a.pathChange.StartQuery(now) {
		go (&stallCheck{forwarder: x.forwarder, attempt: a}).run()
	}
}

// handlePathAnswer handles the outcome of an order.
func (x *exchange) handlePathAnswer(m pathAnswered, now time.Time) {
	a := m.attempt
	next, _ := a.pathChange.OrderedPath()
	outcome := a.pathChange.HandleAnswer(m.answer, now)
	x.forwarder.Counters.CountPathAnswer(m.answer)
	x.forwarder.log(event.PathAnswered, x.requestAttr(), slog.Int("attempt", a.number), slog.String("answer", metric.AnswerName(m.answer)),
		slog.String("cause", answerCause(m.answer)))
	switch outcome {
	case reroute.PathChanged:
		x.switchPath(a, next, now)
	case reroute.RetryChange, reroute.Abandoned:
		a.adjustLoad(next, -1)
		if unfit, ok := m.answer.(protocol.PathStageUnavailable); ok {
			x.avoidUnfit(a, next, unfit.Address, now)
		}
		x.recoverLost(a, now)
	case reroute.Unresolved:
		x.avoid = append(x.avoid, a.endpoint)
	}
}

// handleStallReport handles what the first engine reports about a request whose path change is
// unresolved.
func (x *exchange) handleStallReport(m stallReported, now time.Time) {
	a := m.attempt
	next, _ := a.pathChange.OrderedPath()
	if a.pathChange.HandleReport(m.stalled, now) == reroute.Abandoned {
		a.adjustLoad(next, -1)
		x.recoverLost(a, now)
	}
}

// switchPath moves the attempt to the path that its first engine has accepted.
func (x *exchange) switchPath(a *attempt, p *path.Path, now time.Time) {
	for i := range a.path.Len() {
		r, span := a.path.Runner(i), a.path.Span(i)
		if !p.HasStage(r, span) {
			r.Settled(a.layerPasses(span))
		}
		if !p.Contains(r) {
			x.avoid = append(x.avoid, r)
		}
	}
	a.path = *p
	a.pathChangedAt = now
	x.timing.postpone(a.changeGraceUntil)
	if len(lostRunners(a, now)) > 0 {
		x.recoverLost(a, now) // another stage was lost in the meantime
	}
}

// recoverLost handles the lost stages of an attempt's path, if it has any.
func (x *exchange) recoverLost(a *attempt, now time.Time) {
	if lost := lostRunners(a, now); len(lost) > 0 {
		x.recoverAttempt(a, lost, now)
	}
}

// avoidUnfit avoids the new stage that could not take the request, or all new stages if the reply
// does not name one.
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

// recordPathChange records the duration of a path change when the next event is received.
func (x *exchange) recordPathChange(a *attempt, now time.Time) {
	a.pathChange.HandleProgress()
	if a.pathChangedAt.IsZero() {
		return
	}
	x.forwarder.Counters.RecordDuration(metric.PathChange, now.Sub(x.timing.lastEvent))
	a.pathChangedAt = time.Time{}
}

// closeUnresolved closes the open attempts that a late order may still move to another path, before
// the request is sent elsewhere: it must not run on two paths.
func (x *exchange) closeUnresolved() {
	for _, a := range slices.Clone(x.open) {
		if a.pathChange.MayApplyLate() {
			x.abandonAttempt(a)
		}
	}
}

// layerPasses returns how many layer passes the attempt needs at a stage.
func (a *attempt) layerPasses(span protocol.Span) int64 {
	return a.passesPerLayer * int64(span.Layers())
}

// adjustPendingLoad adds the attempt's load (sign 1) to the stages that only the ordered path has,
// or removes it (sign -1), if an order is pending.
func (a *attempt) adjustPendingLoad(sign int64) {
	if next, ok := a.pathChange.OrderedPath(); ok {
		a.adjustLoad(next, sign)
	}
}

// adjustLoad is adjustPendingLoad for a path whose order may no longer be pending.
func (a *attempt) adjustLoad(next *path.Path, sign int64) {
	for i := range next.Len() {
		r, span := next.Runner(i), next.Span(i)
		switch {
		case a.path.HasStage(r, span):
		case sign > 0:
			r.Sent(a.layerPasses(span))
		default:
			r.Settled(a.layerPasses(span))
		}
	}
}

// provesStage reports whether an event on the attempt proves that a stage works. It does not if the
// stage may have been replaced.
func (a *attempt) provesStage(stage int) bool {
	return a.pathChange.UsesStage(a.path.Runner(stage), a.path.Span(stage))
}

// answerCause returns why an order was not accepted, "" if the kind of the reply says everything.
func answerCause(answer protocol.PathAnswer) string {
	switch answer := answer.(type) {
	case protocol.PathRefused:
		return answer.Cause.Error()
	case protocol.PathUnanswered:
		return answer.Cause.Error()
	case protocol.PathStageUnavailable:
		return answer.Address
	default:
		return ""
	}
}
