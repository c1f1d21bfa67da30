// SPDX-License-Identifier: Apache-2.0

// Package reroute decides whether a running request continues over another path, in which the lost
// stages are replaced while the others keep their state of the request.
//
// Choose is pure: it reads a view of the fleet and a time, and returns a typed decision. A Tracker
// tracks the orders to change the path of one attempt.
//
//	switch d := reroute.Choose(models, &reroute.Query{Path: p, Lost: lost, ...}).(type) {
//	case *reroute.Change:
//		// order the first engine to run the request over d.Path()
//	case reroute.Resend:
//		// send the request again, over another path
//	case reroute.Wait:
//		// neither is possible now
//	}
package reroute

import (
	"slices"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// orderOverheadSeconds is the duration of an order to the first engine apart from the work of
	// the new stages: a connection and an answer.
	orderOverheadSeconds = 0.005
	// resendOverheadSeconds is the cost of another attempt apart from its work. An attempt uses a
	// budget that all requests share, and complete prompts that are prefilled again delay other
	// requests. Streams whose path was changed paused for 127 ms in the median, streams that were
	// resent for 226 ms (64 and 450 streams in the logs of 36 entries over 42 s, with 98 engines of
	// which a sixth was lost three times).
	resendOverheadSeconds = 0.05
	// maxUtilization is the utilization of a runner's KV-cache capacity up to which it may take a
	// stage. The lengths of answers are estimates, and a change of path to a runner without
	// capacity is wasted.
	maxUtilization = 0.9
)

// Query holds everything that the decision depends on besides the fleet.
type Query struct {
	Path path.Path       // path that the request runs over
	Lost []*fleet.Runner // lost runners of that path
	// Tokens is how many tokens were prefilled and generated so far, and RemainingTokens is how
	// many are still expected to be generated.
	Tokens          int
	RemainingTokens int
	// Alternative is the path over which the request may be sent again, or nil.
	Alternative *path.Path
	// Search holds the time and the random source for the search for runners, and the runners to
	// avoid.
	Search path.Query
}

// Decision is *Change, Resend or Wait.
type Decision interface{ decision() }

// Change says that the request shall run over another path from now on.
type Change struct {
	path    path.Path
	seconds float64
}

// Path returns the new path. Its first stage is that of the old path.
func (c *Change) Path() *path.Path { return &c.path }

// Seconds returns how long the new stages are expected to need until the next token.
func (c *Change) Seconds() float64 { return c.seconds }

// Resend says that it costs less to send the request again.
type Resend struct{}

// Wait says that nothing can be done about the lost stages now.
type Wait struct{}

func (*Change) decision() {}
func (Resend) decision()  {}
func (Wait) decision()    {}

// Choose decides by the remaining work until the answer is complete: to prefill again the tokens
// processed so far, at the new stages only or at all stages of another path, and to generate the
// rest. It searches the models in order for runners of the lost layers. A path whose first stage is
// lost can't be changed, because no engine is left that could be ordered to change it.
func Choose(models []*fleet.Model, q *Query) Decision {
	change := &Change{}
	if slices.Contains(q.Lost, q.Path.Runner(0)) || !replace(models, q, &change.path) {
		return withoutChange(q)
	}
	change.seconds = orderOverheadSeconds + prefillSeconds(&change.path, q, &q.Path)
	if q.Alternative != nil && resendOverheadSeconds+totalSeconds(q.Alternative, q, nil) < orderOverheadSeconds+totalSeconds(&change.path, q, &q.Path) {
		return Resend{}
	}
	return change
}

// withoutChange decides without a change of path.
func withoutChange(q *Query) Decision {
	if q.Alternative != nil {
		return Resend{}
	}
	return Wait{}
}

// replace finds runners for the layers of the lost stages or, failing that, for all layers after
// the first stage. Engines whose spans don't fit the gaps may fit the larger one.
func replace(models []*fleet.Model, q *Query, p *path.Path) bool {
	search := q.Search
	search.Avoid = append(slices.Clip(search.Avoid), q.Lost...)
	rest := make([]*fleet.Runner, 0, q.Path.Len())
	for i := 1; i < q.Path.Len(); i++ {
		rest = append(rest, q.Path.Runner(i))
	}
	for _, lost := range [][]*fleet.Runner{q.Lost, rest} {
		for _, m := range models {
			if path.ReplaceStages(m, &search, &q.Path, lost, p) && hasCapacity(p, q) {
				return true
			}
		}
	}
	return false
}

// hasCapacity reports whether the new stages have KV-cache capacity for the request.
func hasCapacity(p *path.Path, q *Query) bool {
	for i := range p.Len() {
		r, span := p.Runner(i), p.Span(i)
		if q.Path.HasStage(r, span) {
			continue
		}
		if r.Utilization(q.Search.Now, float64((q.Tokens+q.RemainingTokens)*span.Layers())) > maxUtilization {
			return false
		}
	}
	return true
}

// prefillSeconds returns how long the stages of a path need to prefill the tokens processed so far.
// Stages that are also in the path done, which has processed these tokens already, need no time.
func prefillSeconds(p *path.Path, q *Query, done *path.Path) float64 {
	seconds := 0.0
	for i := range p.Len() {
		r, span := p.Runner(i), p.Span(i)
		if done != nil && done.HasStage(r, span) {
			continue
		}
		fixed, layer := r.RequestCost(q.Search.Now, q.Tokens, 0, q.Search.Entries)
		seconds += fixed + layer*float64(span.Layers())
	}
	return seconds
}

// totalSeconds returns the seconds until the answer is complete.
func totalSeconds(p *path.Path, q *Query, done *path.Path) float64 {
	seconds := prefillSeconds(p, q, done)
	for i := range p.Len() {
		_, layer := p.Runner(i).RequestCost(q.Search.Now, 0, q.RemainingTokens, q.Search.Entries)
		seconds += layer * float64(p.Span(i).Layers())
	}
	return seconds
}
