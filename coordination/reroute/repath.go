// SPDX-License-Identifier: Apache-2.0

// Package repath decides whether a running request goes on over another path, in which the
// stages that are lost are replaced while the others keep what they hold of it.
//
// Choose is pure: it reads a view of the fleet and a time, and returns a typed decision. A
// Course follows what became of the orders to change the path of one send.
//
//	switch d := repath.Choose(models, &repath.Query{Path: p, Lost: lost, ...}).(type) {
//	case *repath.Change:
//		// order the first engine to run the request over d.Path()
//	case repath.Elsewhere:
//		// send the request again, over another path
//	case repath.Wait:
//		// neither helps now
//	}
package reroute

import (
	"slices"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// orderSeconds is what an order to the first engine takes beside the work of the new
	// stages: a connection and an answer.
	orderSeconds = 0.005
	// sendSeconds is what a further send costs beside its work: it is taken from a budget
	// that all requests share, and prompts that are read again whole hold others up. Streams
	// that changed their path paused for 127 ms in the median, those that were asked for
	// elsewhere for 226 ms (64 and 450 streams of the logs of 36 entries over 42 s, 98 engines
	// of which a sixth was lost three times).
	sendSeconds = 0.05
	// roomMost is the part of a runner's room up to which it is taken for a stage. Lengths
	// of answers are guesses, and a change of path that finds no room was in vain.
	roomMost = 0.9
)

// Query is what the decision depends on besides the fleet.
type Query struct {
	Path path.Path       // that the request runs over
	Lost []*fleet.Runner // of that path
	// Tokens is how many were read and written so far, and Left how many are still
	// expected to be written.
	Tokens          int
	RemainingTokens int
	// Alternative is the path over which the request may be sent again, nil for none.
	Alternative *path.Path
	// Search says when and with which draw to look for runners, and which to avoid.
	Search path.Query
}

// Decision is *Change, Elsewhere or Wait.
type Decision interface{ decision() }

// Change says that the request is to run over another path from now on.
type Change struct {
	path    path.Path
	seconds float64
}

// Path returns the new path, whose first stage is the old one's.
func (c *Change) Path() *path.Path { return &c.path }

// Seconds returns how long the new stages are expected to need until the next token.
func (c *Change) Seconds() float64 { return c.seconds }

// Resend says that sending the request again costs less.
type Resend struct{}

// Wait says that nothing can be done about the lost stages now.
type Wait struct{}

func (*Change) decision() {}
func (Resend) decision()  {}
func (Wait) decision()    {}

// Choose decides by what is left to do until the answer is whole: reading what was read
// and written so far again, at the new stages only or at all of another path, and writing
// the rest. The models are searched in turn for runners of the lost layers. A path whose
// first stage is lost can't be changed, because nobody is left to order it.
func Choose(models []*fleet.Model, q *Query) Decision {
	change := &Change{}
	if slices.Contains(q.Lost, q.Path.Runner(0)) || !replace(models, q, &change.path) {
		return otherwise(q)
	}
	change.seconds = orderSeconds + reading(&change.path, q, &q.Path)
	if q.Alternative != nil && sendSeconds+total(q.Alternative, q, nil) < orderSeconds+total(&change.path, q, &q.Path) {
		return Resend{}
	}
	return change
}

// otherwise decides without a change of path.
func otherwise(q *Query) Decision {
	if q.Alternative != nil {
		return Resend{}
	}
	return Wait{}
}

// replace finds runners for the layers of the lost stages, or else for all layers but
// those of the first stage: engines whose spans don't fit the holes may fit that.
func replace(models []*fleet.Model, q *Query, p *path.Path) bool {
	search := q.Search
	search.Avoid = append(slices.Clip(search.Avoid), q.Lost...)
	rest := make([]*fleet.Runner, 0, q.Path.Len())
	for i := 1; i < q.Path.Len(); i++ {
		rest = append(rest, q.Path.Runner(i))
	}
	for _, lost := range [][]*fleet.Runner{q.Lost, rest} {
		for _, m := range models {
			if path.ReplaceStages(m, &search, &q.Path, lost, p) && roomy(p, q) {
				return true
			}
		}
	}
	return false
}

// roomy reports whether the new stages have room for the request.
func roomy(p *path.Path, q *Query) bool {
	for i := range p.Len() {
		r, span := p.Runner(i), p.Span(i)
		if q.Path.HasStage(r, span) {
			continue
		}
		if r.Utilization(q.Search.Now, float64((q.Tokens+q.RemainingTokens)*span.Layers())) > roomMost {
			return false
		}
	}
	return true
}

// reading returns the seconds that the stages of a path need to read the tokens so far,
// but for those that they share with a path that has read them.
func reading(p *path.Path, q *Query, has *path.Path) float64 {
	seconds := 0.0
	for i := range p.Len() {
		r, span := p.Runner(i), p.Span(i)
		if has != nil && has.HasStage(r, span) {
			continue
		}
		fixed, layer := r.RequestCost(q.Search.Now, q.Tokens, 0, q.Search.Entries)
		seconds += fixed + layer*float64(span.Layers())
	}
	return seconds
}

// total returns the seconds until the answer is whole.
func total(p *path.Path, q *Query, has *path.Path) float64 {
	seconds := reading(p, q, has)
	for i := range p.Len() {
		_, layer := p.Runner(i).RequestCost(q.Search.Now, 0, q.RemainingTokens, q.Search.Entries)
		seconds += layer * float64(p.Span(i).Layers())
	}
	return seconds
}
