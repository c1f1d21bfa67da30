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

// The load of TestStreamsThatGoOnAreReadInTime: that of 86 engines in three data centers of
// which three engines are lost at once.
const (
	brokenStreams = 130                    // open streams that passed the lost engines
	promptTokens  = 850                    // that each has read again, what it wrote included
	readPerMS     = 450.0                  // tokens a ms that the paths of one data center read together
	noticed       = 125 * time.Millisecond // silence after which a stream is taken elsewhere
	aimed         = 250 * time.Millisecond // the pause aimed at
)

// pauses plays the streams that go on at the same time: each data center reads its prompts
// one after the other. It returns each caller's pause.
func pauses(firsts []string) []time.Duration {
	busy := map[string]float64{}
	var all []time.Duration
	for _, center := range firsts {
		busy[center] += promptTokens / readPerMS
		all = append(all, noticed+time.Duration(busy[center]*float64(time.Millisecond)))
	}
	return all
}

// TestStreamsThatGoOnAreReadInTime plays the loss both ways and counts the callers whose
// pause stays within the aim.
func TestStreamsThatGoOnAreReadInTime(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	centers := []string{"a", "b", "c"}
	inTime := func(goesOn bool) int {
		var firsts []string
		for range brokenStreams {
			firsts = append(firsts, path.FirstDataCenter("a", centers, goesOn, draw))
		}
		n := 0
		for _, p := range pauses(firsts) {
			if p <= aimed {
				n++
			}
		}
		return n
	}
	require.Less(t, inTime(false), brokenStreams*6/10, "at home")
	require.Equal(t, brokenStreams, inTime(true), "spread")
}

// TestNewRequestsStayAtHome: only a stream that goes on elsewhere is spread, and only over
// data centers that hold the model.
func TestNewRequestsStayAtHome(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	require.Equal(t, "a", path.FirstDataCenter("a", []string{"a", "b"}, false, draw))
	require.Equal(t, "a", path.FirstDataCenter("a", nil, true, draw))
	for range 20 {
		require.True(t, slices.Contains([]string{"b", "c"}, path.FirstDataCenter("a", []string{"b", "c"}, true, draw)))
	}
}
