// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
)

const (
	// homeFull is the part of the room for requests up to which an entry's own data
	// center is used whatever stands free elsewhere: bytes between data centers
	// have a price, and below it the engines' steps are hardly longer.
	homeFull = 0.6
	// awayGain is how much emptier another data center has to be.
	awayGain = 0.2
	// fullAt is the part of a runner's room up to which requests are sent there. Lengths of
	// answers are guesses, and what does not fit is put back and read anew.
	fullAt = 0.9
)

// candidate is a path in one data center.
type candidate struct {
	path  path.Path
	sound bool    // every runner may take work and has not failed the request
	ready bool    // every runner may take work and has room
	fill  float64 // the part of the room that is taken at the fullest runner
}

// choose finds a path for a service. The first data center comes first, as long as
// it has room and no other has much more; then the emptiest other one with room; then
// whatever there is.
func (f *Forwarder) choose(s *protocol.RoutedService, q *path.Query, first string, into *path.Path) bool {
	view := f.Roster.View()
	if s.Engine == nil {
		return path.ChooseInto(view.Model(registry.ModelName(s.Name, "")), q, into) < 0
	}
	best, found := candidateIn(view, s.Name, first, q)
	if found && best.ready && best.sound && best.fill < homeFull {
		*into = best.path
		return true
	}
	for _, center := range f.Roster.EngineDataCenters(s.Name) {
		if center == first {
			continue
		}
		other, ok := candidateIn(view, s.Name, center, q)
		if ok && (!found || other.better(&best)) {
			best, found = other, true
		}
	}
	*into = best.path
	return found
}

func candidateIn(view *fleet.View, service, center string, q *path.Query) (candidate, bool) {
	var c candidate
	m := view.Model(registry.ModelName(service, center))
	if path.ChooseSubspans(m, q, &c.path) >= 0 {
		return c, false
	}
	c.sound = sound(&c.path, q.Now, q.Avoid)
	c.fill = fill(&c.path, q)
	c.ready = ready(&c.path, q)
	return c, true
}

func (c *candidate) better(than *candidate) bool {
	if c.ready != than.ready {
		return c.ready
	}
	if c.sound != than.sound {
		return c.sound
	}
	return c.fill+awayGain < than.fill
}

// ready reports whether every runner of a path may take work now and has room for the
// request. One that has failed it before may, where no other holds its layers: waiting for
// another would be in vain.
func ready(p *path.Path, q *path.Query) bool {
	return sound(p, q.Now, nil) && fill(p, q) <= fullAt
}

// fill returns which part of the room is taken at the fullest runner of a path, the
// request included.
func fill(p *path.Path, q *path.Query) float64 {
	most := 0.0
	for i := range p.Len() {
		passes := float64((q.Positions + q.OutputTokens) * p.Span(i).Layers())
		most = max(most, p.Runner(i).Utilization(q.Now, passes))
	}
	return most
}

// sound reports whether every runner of a path may take work now and need not be
// avoided.
func sound(p *path.Path, now time.Time, avoid []*fleet.Runner) bool {
	for i := range p.Len() {
		if r := p.Runner(i); !r.Usable(now) || slices.Contains(avoid, r) {
			return false
		}
	}
	return true
}
