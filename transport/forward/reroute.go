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
	// changeTimeFactor is how many times its expected length the pause after a change of path may
	// last: other requests that lost the same stage are read again at the same engines.
	changeTimeFactor = 3
	// minChangeSilence is the least silence after a change of path that is suspicious. With 90 ms
	// 45 in 100 streams that changed their path were sent elsewhere as well and read whole
	// again; of the others nine in ten paused for less than 235 ms, the silence before the
	// order included.
	minChangeSilence = 200 * time.Millisecond
	// stagesPerSilent is of how many stages of a path one may be replaced because it fell silent.
	// Where more are silent the way to the first engine is likelier to be at fault.
	stagesPerSilent = 3
)

// PathChanger orders engines to run a request over another path.
type PathChanger interface {
	ChangePath(ctx context.Context, o protocol.PathOrder) protocol.PathAnswer
}

// pathAnswered is what became of an order to change the path of an attempt.
type pathAnswered struct {
	attempt *attempt
	answer  protocol.PathAnswer
}

// stallReported is whether an attempt's first engine lists it among the requests that wait
// for a runner, as it does when an order that was not answered had no effect. An engine that
// does not report counts as one that lists it.
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
	order     protocol.PathOrder
}

func (c *pathOrder) run() {
	answer := c.forwarder.PathChanger.ChangePath(c.attempt.cancelled, c.order)
	c.attempt.post(pathAnswered{attempt: c.attempt, answer: answer})
}

// stallCheck is one question to an attempt's first engine whether the request still waits.
type stallCheck struct {
	forwarder *Forwarder
	attempt   *attempt
}

func (q *stallCheck) run() {
	a := q.attempt
	report, err := q.forwarder.queryReport(a.endpoint)
	waits := err != nil || slices.ContainsFunc(report.Stalled, func(s protocol.StalledRequest) bool { return s.ID == a.id })
	a.post(stallReported{attempt: a, stalled: waits})
}

// replaceLost has the first engine of an attempt's path replaceLost the stages that are lost, if
// that is better than sending the request again. It returns "" when it did nothing: then a
// further send may be thought of.
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
	if x.route.MayRepeat() && x.forwarder.choosePath(x.service, &q.Search, x.preferredDataCenter(), &p) && pathHealthy(&p, now, q.Search.Avoid) && x.mayReach(&p) {
		q.Alternative = &p
	}
	return x.changePath(a, q, now)
}

// replaceSilent is replace for a request that can't be sent elsewhere: nothing but waiting
// would be left, so stages that have fallen silent are replaced too, as long as they are
// few. Where sending elsewhere is possible it is better: of the streams whose silent stages
// were replaced 20 in 100 paused for over 250 ms, of those whose stages were known to be
// lost 5 in 100.
func (x *exchange) replaceSilent(a *attempt, quiet []*fleet.Runner, now time.Time) silenceAction {
	if lost := lostRunners(a, now); len(lost) > 0 {
		quiet = lost
	} else if len(quiet)*stagesPerSilent > a.path.Len() {
		return ""
	}
	if !x.mayReplace(a, quiet, now) {
		return ""
	}
	return x.changePath(a, x.changeQuery(a, quiet, now), now)
}

// mayReplace reports whether stages of an attempt's path may be replaced: not the first
// one, whose engine is to be ordered, nor while another attempt may speak first, nor where the
// work may have ended them.
func (x *exchange) mayReplace(a *attempt, stages []*fleet.Runner, now time.Time) bool {
	return x.forwarder.PathChanger != nil && len(x.open) == 1 && a.pathChange.CanStart() && len(stages) > 0 &&
		!slices.Contains(stages, a.endpoint) && x.mayChangeEndpoints(now)
}

// changePath orders the changePath of path that the query allows, and returns "" if there is none.
func (x *exchange) changePath(a *attempt, q *reroute.Query, now time.Time) silenceAction {
	change, ok := reroute.Choose(x.candidateModels(a), q).(*reroute.Change)
	if !ok {
		return ""
	}
	x.orderPath(a, change, now)
	return silenceChanging
}

// changeQuery is what the decision on a change of path depends on, without a path
// elsewhere.
func (x *exchange) changeQuery(a *attempt, lost []*fleet.Runner, now time.Time) *reroute.Query {
	written := x.events * max(1, x.service.Engine.EventTokens)
	q := &reroute.Query{
		Path: a.path, Lost: lost, Tokens: x.terms.PromptTokens + written, RemainingTokens: max(0, x.terms.AnswerTokens-written), Search: x.pathQuery(now),
	}
	q.Search.Avoid = append(slices.Clip(x.avoid), lost...)
	return q
}

// candidateModels returns the engines among which replacements are looked for: those of the path's
// data center first.
func (x *exchange) candidateModels(a *attempt) []*fleet.Model {
	view := x.forwarder.Registry.View()
	home := a.endpoint.Spec().Model
	list := []*fleet.Model{view.Model(home)}
	for _, center := range x.forwarder.Registry.EngineDataCenters(x.service.Name) {
		if name := registry.ModelName(x.service.Name, center); name != home {
			list = append(list, view.Model(name))
		}
	}
	return list
}

// orderPath sends the orderPath. From now on the work counts at the stages of both paths.
func (x *exchange) orderPath(a *attempt, c *reroute.Change, now time.Time) {
	f := x.forwarder
	a.pathChange.Start(c.Path())
	a.changeGraceUntil = now.Add(max(minChangeSilence, time.Duration(changeTimeFactor*c.Seconds()*float64(time.Second))))
	a.adjustPendingLoad(1)
	f.Counters.Add(metric.PathOrders, 1)
	f.log(event.PathOrdered, x.requestAttr(), slog.Int("attempt", a.number), slog.String("path", describePath(c.Path())), slog.Int("events", x.events),
		slog.Int64("silent_ms", now.Sub(x.timing.lastEvent).Milliseconds()), slog.Float64("expected_ms", c.Seconds()*1000))
	go (&pathOrder{forwarder: f, attempt: a, order: protocol.PathOrder{
		EndpointID: a.endpoint.Name(), Address: a.endpoint.Spec().Address, RequestID: a.id, Path: stagesOf(c.Path()),
	}}).run()
}
