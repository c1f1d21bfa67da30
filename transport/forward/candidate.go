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
	// localUtilizationLimit is the utilization up to which an entry uses engines in its own data
	// center, whatever capacity is free elsewhere: traffic between data centers costs money, and up
	// to this utilization the engines' steps are hardly longer.
	localUtilizationLimit = 0.6
	// minRemoteGain is how much lower the utilization of another data center must be.
	minRemoteGain = 0.2
	// maxUtilization is the utilization of a runner up to which it receives requests. The lengths
	// of responses are estimates, and a request that does not fit is evicted and prefilled again.
	maxUtilization = 0.9
	// maxResumeUtilization is that for streams that have begun. What lies between is kept for them, at
	// all entries, because their callers hold part of an answer.
	maxResumeUtilization = 1.0
)

// candidate is a path within one data center.
type candidate struct {
	path        path.Path
	healthy     bool    // every runner accepts work and has not failed the request
	ready       bool    // every runner accepts work and has capacity
	utilization float64 // the highest utilization among the runners
}

// choosePath chooses a path for a service. It uses the preferred data center if that has healthy
// runners whose utilization is below localUtilizationLimit. Otherwise another data center replaces
// it if it is better: ready or healthy where the best one so far is not, or with a much lower
// utilization.
func (f *Forwarder) choosePath(s *protocol.RoutedService, q *path.Query, preferred string, into *path.Path) bool {
	view := f.Registry.View()
	if s.Engine == nil {
		return path.ChooseInto(view.Model(registry.ModelName(s.Name, "")), q, into) < 0
	}
	best, found := candidateIn(view, s.Name, preferred, q)
	if found && best.ready && best.healthy && best.utilization < localUtilizationLimit {
		*into = best.path
		return true
	}
	for _, dataCenter := range view.EngineDataCenters(s.Name) {
		if dataCenter == preferred {
			continue
		}
		f.setWants(q, !found || !best.ready)
		other, ok := candidateIn(view, s.Name, dataCenter, q)
		if ok && (!found || other.betterThan(&best)) {
			best, found = other, true
		}
	}
	*into = best.path
	return found
}

// candidateIn returns the candidate of one data center, and false if no path exists there.
func candidateIn(view *fleet.View, service, dataCenter string, q *path.Query) (candidate, bool) {
	var c candidate
	m := view.Model(registry.ModelName(service, dataCenter))
	if path.ChooseSubspans(m, q, &c.path) >= 0 {
		return c, false
	}
	c.healthy = pathHealthy(&c.path, q.Now, q.Avoid)
	c.utilization = pathUtilization(&c.path, q)
	c.ready = pathReady(&c.path, q, maxUtilization)
	return c, true
}

// betterThan reports whether c should replace other.
func (c *candidate) betterThan(other *candidate) bool {
	if c.ready != other.ready {
		return c.ready
	}
	if c.healthy != other.healthy {
		return c.healthy
	}
	return c.utilization+minRemoteGain < other.utilization
}

// pathReady reports whether every runner of a path accepts work now and has capacity for the
// request up to a utilization. A runner that has already failed the request counts as ready if no other holds its
// layers: waiting for another would not help.
func pathReady(p *path.Path, q *path.Query, utilization float64) bool {
	return pathHealthy(p, q.Now, nil) && pathUtilization(p, q) <= utilization
}

// pathUtilization returns the highest utilization among the runners of a path, the request
// included.
func pathUtilization(p *path.Path, q *path.Query) float64 {
	highest := 0.0
	for i := range p.Len() {
		layerPasses := float64((q.Positions + q.OutputTokens) * p.Span(i).Layers())
		highest = max(highest, p.Runner(i).Utilization(q.Now, layerPasses))
	}
	return highest
}

// pathHealthy reports whether every runner of a path accepts work now and need not be avoided.
func pathHealthy(p *path.Path, now time.Time, avoid []*fleet.Runner) bool {
	for i := range p.Len() {
		if r := p.Runner(i); !r.Usable(now) || slices.Contains(avoid, r) {
			return false
		}
	}
	return true
}
