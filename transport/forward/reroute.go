// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/reroute"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
)

const (
	// changeTimeFactor is how many times its expected length the pause after a path change may
	// last: other requests that lost the same stage are prefilled again at the same engines.
	changeTimeFactor = 3
	// minChangeSilence is the least silence after a path change that counts as overdue. With 90 ms,
	// 45 in 100 streams that changed their path were also retried elsewhere and prefilled again
	// from the start; of the others, nine in ten paused for less than 235 ms, including the silence
	// before the order.
	minChangeSilence = 200 * time.Millisecond
	// stagesPerSilent is how many stages a path must have for each stage that is replaced because
	// it fell silent. If more are silent, the network path to the first engine is more likely to be
	// at fault.
	stagesPerSilent = 3
)

// PathChanger orders engines to run a request over another path.
type PathChanger interface {
	ChangePath(ctx context.Context, o protocol.PathChangeOrder) protocol.PathAnswer
}

// pathAnswered carries the outcome of an order to change the path of an attempt.
type pathAnswered struct {
	attempt *attempt
	answer  protocol.PathAnswer
}

// stallReported says whether an attempt's first engine lists it among the requests that wait for a
// runner, as it does if an unanswered order had no effect. An engine that does not report counts as
// listing it.
type stallReported struct {
	attempt *attempt
	stalled bool
}

func (m pathAnswered) from() *attempt  { return m.attempt }
func (m stallReported) from() *attempt { return m.attempt }

// pathOrder is one order to change a path.
type pathOrder struct {
	forwarder *Forwarder
	attempt   *attempt
	order     protocol.PathChangeOrder
}

func (o *pathOrder) run() {
	answer := o.forwarder.PathChanger.ChangePath(o.attempt.ctx, o.order)
	o.attempt.post(pathAnswered{attempt: o.attempt, answer: answer})
}

// stallCheck asks an attempt's first engine whether the request still waits.
type stallCheck struct {
	forwarder *Forwarder
	attempt   *attempt
}

func (c *stallCheck) run() {
	a := c.attempt
	report, err := c.forwarder.queryReport(a.endpoint)
	stalled := err != nil || slices.ContainsFunc(report.Stalled, func(s protocol.StalledRequest) bool { return s.ID == a.id })
	a.post(stallReported{attempt: a, stalled: stalled})
}

// replaceLost makes the first engine of an attempt's path replace the lost stages, if that is
// better than a further attempt. It returns "" if it did nothing, so that the caller may hedge.
func (x *exchange) replaceLost(a *attempt, now time.Time) silenceAction {
	if a.pathChange.Pending() {
		x.checkUnresolvedOrder(a, now)
		return silenceChanging
	}
	lost := lostRunners(a, now)
	if !x.mayReplace(a, lost, now) {
		return ""
	}
	q := x.changeQuery(a, lost, now)
	var p path.Path
	if x.mayRepeat() && x.forwarder.choosePath(x.service, &q.Search, x.preferredDataCenter(), &p) && pathHealthy(&p, now, q.Search.Avoid) && x.mayReach(&p) {
		q.Alternative = &p
	}
	return x.changePath(a, q, now)
}

// replaceSilent is replaceLost for a request that can't be retried elsewhere. The only alternative
// is to wait, so stages that have fallen silent are replaced too, as long as they are few. A retry
// is better where it is possible: of the streams whose silent stages were replaced, 20 in 100
// paused for over 250 ms; of those whose stages were known to be lost, 5 in 100.
func (x *exchange) replaceSilent(a *attempt, runners []*fleet.Runner, now time.Time) silenceAction {
	if lost := lostRunners(a, now); len(lost) > 0 {
		runners = lost
	} else if len(runners)*stagesPerSilent > a.path.Len() {
		return ""
	}
	if !x.mayReplace(a, runners, now) {
		return ""
	}
	return x.changePath(a, x.changeQuery(a, runners, now), now)
}

// mayReplace reports whether stages of an attempt's path may be replaced: not the first stage,
// whose engine receives the order, not while another attempt may deliver the next event, not if the
// work may have crashed them, and not if the attempt was closed meanwhile.
func (x *exchange) mayReplace(a *attempt, stages []*fleet.Runner, now time.Time) bool {
	return x.forwarder.PathChanger != nil && len(x.open) == 1 && x.open[0] == a && a.pathChange.CanStart() && len(stages) > 0 &&
		!slices.Contains(stages, a.endpoint) && x.mayChangeEndpoints(now)
}

// changePath orders the path change that the query allows, and returns "" if there is none.
func (x *exchange) changePath(a *attempt, q *reroute.Query, now time.Time) silenceAction {
	change, ok := reroute.Choose(x.candidateModels(a), q).(*reroute.Change)
	if !ok || !x.forwarder.pass(change.Path(), &a.path, now) {
		return ""
	}
	x.orderPath(a, change, now)
	return silenceChanging
}

// changeQuery returns the input for the decision on a path change, without a path elsewhere.
func (x *exchange) changeQuery(a *attempt, lost []*fleet.Runner, now time.Time) *reroute.Query {
	generated := x.events * max(1, x.service.Engine.EventTokens)
	q := &reroute.Query{
		Path: a.path, Lost: lost, Tokens: x.terms.PromptTokens + generated, RemainingTokens: max(0, x.terms.AnswerTokens-generated), Search: x.pathQuery(now),
	}
	q.Search.Avoid = append(slices.Clip(x.avoid), lost...)
	return q
}

// candidateModels returns the models whose engines may replace a stage, those of the path's data
// center first.
func (x *exchange) candidateModels(a *attempt) []*fleet.Model {
	view := x.forwarder.Registry.View()
	pathModel := a.endpoint.Spec().Model
	list := []*fleet.Model{view.Model(pathModel)}
	for _, dataCenter := range view.EngineDataCenters(x.service.Name) {
		if name := registry.ModelName(x.service.Name, dataCenter); name != pathModel {
			list = append(list, view.Model(name))
		}
	}
	return list
}

// orderPath sends the order. From now on the load counts at the stages of both paths.
func (x *exchange) orderPath(a *attempt, c *reroute.Change, now time.Time) {
	f := x.forwarder
	a.pathChange.Start(c.Path())
	a.changeGraceUntil = now.Add(max(minChangeSilence, time.Duration(changeTimeFactor*c.Seconds()*float64(time.Second))))
	a.adjustPendingLoad(1)
	f.Counters.Add(metric.PathOrders, 1)
	f.log(event.PathOrdered, x.requestAttr(), slog.Int("attempt", a.number), slog.String("path", describePath(c.Path())), slog.Int("events", x.events),
		slog.Int64("silent_ms", now.Sub(x.timing.lastEvent).Milliseconds()), slog.Float64("expected_ms", c.Seconds()*1000))
	go (&pathOrder{forwarder: f, attempt: a, order: protocol.PathChangeOrder{
		EndpointID: a.endpoint.Name(), Address: a.endpoint.Spec().Address, RequestID: a.id, Path: stagesOf(c.Path()),
	}}).run()
}
