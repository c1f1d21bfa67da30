// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/roster"
)

const (
	// homeFull is the part of the room for requests up to which an entry's own data
	// center is used whatever stands free elsewhere: bytes between data centers
	// have a price, and below it the engines' steps are hardly longer.
	homeFull = 0.6
	// awayGain is how much emptier another data center has to be.
	awayGain = 0.2
)

// candidate is a path in one data center.
type candidate struct {
	path      path.Path
	sound     bool
	occupancy float64
}

// choose finds a path for a service. The entry's own data center comes first, as
// long as it has a sound path and room; then the emptiest other one with a sound
// path; then whatever there is.
func (f *Forwarder) choose(s *protocol.RoutedService, q *path.Query, into *path.Path) bool {
	view := f.Roster.View()
	if s.Engine == nil {
		return path.Into(view.Model(roster.ModelName(s.Name, "")), q, into) < 0
	}
	usual := float64(s.Engine.UsualPrompt) + float64(s.Engine.UsualAnswer)/2
	best, found := f.candidate(view, s.Name, f.Home.DataCenter, q, usual)
	if found && best.sound && best.occupancy < homeFull {
		*into = best.path
		return true
	}
	for _, center := range f.Roster.Centers(s.Name) {
		if center == f.Home.DataCenter {
			continue
		}
		other, ok := f.candidate(view, s.Name, center, q, usual)
		if ok && (!found || other.better(&best)) {
			best, found = other, true
		}
	}
	*into = best.path
	return found
}

func (f *Forwarder) candidate(view *fleet.View, service, center string, q *path.Query, usual float64) (candidate, bool) {
	var c candidate
	m := view.Model(roster.ModelName(service, center))
	if path.Parts(m, q, &c.path) >= 0 {
		return c, false
	}
	c.sound = sound(&c.path, q.Now, q.Avoid)
	c.occupancy = m.Occupancy(q.Now, usual)
	return c, true
}

func (c *candidate) better(than *candidate) bool {
	if c.sound != than.sound {
		return c.sound
	}
	return c.occupancy+awayGain < than.occupancy
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
