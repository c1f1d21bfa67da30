// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
)

// TestWhoKnowsTheFirstsFollowsWhomItWouldKnowingAll: also as far as others are concerned that it tries
// when those fail.
func TestWhoKnowsTheFirstsFollowsWhomItWouldKnowingAll(t *testing.T) {
	all := records(300)
	firsts := relay.SeedEntries(all)
	require.Len(t, firsts, 3*4)
	for _, m := range all {
		require.Equal(t, relay.Candidates(m, all), relay.Candidates(m, firsts))
	}
}
