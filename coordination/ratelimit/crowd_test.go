// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// crowdLimit is what the endpoint takes a second, and crowdDemand what all entries together want to send.
	crowdLimit, crowdDemand = 20.0, 13.3
	// crowdPhase is how long most requests come to one entry.
	crowdPhase = 8 * time.Second
	// followTime is when the shares have to follow the demand.
	followTime = 3 * time.Second
	// leastServed is the least part of the requests that is sent then, against before.
	leastServed = 0.75
)

// servedPart returns which part of the demand was sent between two times.
func (f *fleet) servedPart(from, to time.Time) float64 {
	n := 0
	for _, at := range f.sent {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return float64(n) / (crowdDemand * to.Sub(from).Seconds())
}

// crowdSeeds is with how many sequences of requests each crowd is played. One sequence has a few dozen requests in a phase.
const crowdSeeds = 5

// TestSharesFollowCrowdAtOneEntry sends most requests to one entry, then to another one, then to all again.
func TestSharesFollowCrowdAtOneEntry(t *testing.T) {
	for _, entries := range []int{5, 7, 15} {
		for _, crowd := range []float64{0.8, 0.9, 1} {
			var before, first [3]float64
			var after [3]float64
			for seed := range uint64(crowdSeeds) {
				f := newFleet(entries, crowdLimit)
				f.random = rand.New(rand.NewPCG(seed, 3))
				f.name()
				spread := func(int) float64 { return crowdDemand / float64(entries) }
				f.run(20*time.Second, spread)
				calm := f.servedPart(f.now.Add(-10*time.Second), f.now)
				for phase, demand := range []func(int) float64{crowdAt(0, entries, crowd), crowdAt(1, entries, crowd), spread} {
					begin := f.now
					f.run(crowdPhase, demand)
					before[phase] += calm / crowdSeeds
					first[phase] += f.servedPart(begin, begin.Add(followTime)) / crowdSeeds
					after[phase] += f.servedPart(begin.Add(followTime), f.now) / crowdSeeds
				}
				require.LessOrEqual(t, f.most(), int(4*crowdLimit)+3+entries, "requests in any four seconds")
			}
			for phase := range after {
				t.Logf("%d entries, %.0f%% at one, phase %d: %.2f in the first %s, then %.2f, %.2f before", entries, 100*crowd, phase,
					first[phase], followTime, after[phase], before[phase])
				assert.GreaterOrEqual(t, after[phase], leastServed*before[phase])
			}
		}
	}
}

// crowdAt returns the demand at each entry if one of them gets the given part of all requests.
func crowdAt(target, entries int, part float64) func(entry int) float64 {
	return func(entry int) float64 {
		if entry == target {
			return crowdDemand * part
		}
		return crowdDemand * (1 - part) / float64(entries-1)
	}
}
