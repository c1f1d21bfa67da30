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
	// localUtilizationLimit is the part of the room for requests up to which an entry's own data
	// center is used whatever stands free elsewhere: bytes between data centers
	// have a price, and below it the engines' steps are hardly longer.
	localUtilizationLimit = 0.6
	// minRemoteGain is how much emptier another data center has to be.
	minRemoteGain = 0.2
	// maxUtilization is the part of a runner's room up to which requests are sent there. Lengths of
	// answers are guesses, and what does not fit is put back and read anew.
	maxUtilization = 0.9
)

// candidate is a path in one data center.
type candidate struct {
	path        path.Path
	healthy     bool    // every runner may take work and has not failed the request
	ready       bool    // every runner may take work and has room
	utilization float64 // the part of the room that is taken at the fullest runner
}

// choosePath finds a path for a service. The first data center comes first, as long as
// it has room and no other has much more; then the emptiest other one with room; then
// whatever there is.
func (f *Forwarder) choosePath(s *protocol.RoutedService, q *path.Query, first string, into *path.Path) bool {
	view := f.Registry.View()
	if s.Engine == nil {
		return path.ChooseInto(view.Model(registry.ModelName(s.Name, "")), q, into) < 0
	}
	best, found := candidateIn(view, s.Name, first, q)
	if found && best.ready && best.healthy && best.utilization < localUtilizationLimit {
		*into = best.path
		return true
	}
	for _, center := range f.Registry.EngineDataCenters(s.Name) {
		if center == first {
			continue
		}
		other, ok := candidateIn(view, s.Name, center, q)
		if ok && (!found || other.betterThan(&best)) {
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
	c.healthy = pathHealthy(&c.path, q.Now, q.Avoid)
	c.utilization = pathUtilization(&c.path, q)
	c.ready = pathReady(&c.path, q)
	return c, true
}

func (c *candidate) betterThan(than *candidate) bool {
	if c.ready != than.ready {
		return c.ready
	}
	if c.healthy != than.healthy {
		return c.healthy
	}
	return c.utilization+minRemoteGain < than.utilization
}

// pathReady reports whether every runner of a path may take work now and has room for the
// request. One that has failed it before may, where no other holds its layers: waiting for
// another would be in vain.
func pathReady(p *path.Path, q *path.Query) bool {
	return pathHealthy(p, q.Now, nil) && pathUtilization(p, q) <= maxUtilization
}

// pathUtilization returns which part of the room is taken at the fullest runner of a path, the
// request included.
func pathUtilization(p *path.Path, q *path.Query) float64 {
	most := 0.0
	for i := range p.Len() {
		passes := float64((q.Positions + q.OutputTokens) * p.Span(i).Layers())
		most = max(most, p.Runner(i).Utilization(q.Now, passes))
	}
	return most
}

// pathHealthy reports whether every runner of a path may take work now and need not be
// avoided.
func pathHealthy(p *path.Path, now time.Time, avoid []*fleet.Runner) bool {
	for i := range p.Len() {
		if r := p.Runner(i); !r.Usable(now) || slices.Contains(avoid, r) {
			return false
		}
	}
	return true
}
