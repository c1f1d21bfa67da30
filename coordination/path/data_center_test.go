// SPDX-License-Identifier: Apache-2.0

package path_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/path"
)

// The load of TestResumedStreamsMeetPauseTarget: 86 engines in three data centers, of which three
// are lost at once.
const (
	interruptedStreams = 130                    // open streams that ran through the lost engines
	promptTokens       = 850                    // tokens that each stream has to prefill again, including those that it has generated
	prefillTokensPerMS = 450.0                  // tokens that the paths of one data center prefill in a millisecond
	detectionDelay     = 125 * time.Millisecond // silence after which a stream resumes on another path
	pauseTarget        = 250 * time.Millisecond // target for the pause
)

// pauses returns the pause of each stream if all resume at the same time and each data center
// prefills its prompts one after the other.
func pauses(centers []string) []time.Duration {
	busy := map[string]float64{}
	var all []time.Duration
	for _, center := range centers {
		busy[center] += promptTokens / prefillTokensPerMS
		all = append(all, detectionDelay+time.Duration(busy[center]*float64(time.Millisecond)))
	}
	return all
}

// TestResumedStreamsMeetPauseTarget counts the streams that resume within the target, when all are
// prefilled in the entry's data center and when they are spread over all data centers.
func TestResumedStreamsMeetPauseTarget(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	centers := []string{"a", "b", "c"}
	inTime := func(resumed bool) int {
		var first []string
		for range interruptedStreams {
			first = append(first, path.FirstDataCenter("a", centers, resumed, rnd))
		}
		n := 0
		for _, p := range pauses(first) {
			if p <= pauseTarget {
				n++
			}
		}
		return n
	}
	require.Less(t, inTime(false), interruptedStreams*6/10, "all in the own data center")
	require.Equal(t, interruptedStreams, inTime(true), "spread over all data centers")
}

// TestNewRequestsStayInOwnDataCenter checks that only a stream that resumes on another path is
// spread, and only over data centers that hold the model.
func TestNewRequestsStayInOwnDataCenter(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	require.Equal(t, "a", path.FirstDataCenter("a", []string{"a", "b"}, false, rnd))
	require.Equal(t, "a", path.FirstDataCenter("a", nil, true, rnd))
	for range 20 {
		require.True(t, slices.Contains([]string{"b", "c"}, path.FirstDataCenter("a", []string{"b", "c"}, true, rnd)))
	}
}
