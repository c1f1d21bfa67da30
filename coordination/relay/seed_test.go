// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
)

// TestSeedEntriesSufficeToFollow checks that an entry that knows only the seed entries has the same
// candidates as one that knows all entries, including those that it tries after the first ones
// fail.
func TestSeedEntriesSufficeToFollow(t *testing.T) {
	all := records(300)
	seeds := relay.SeedEntries(all)
	require.Len(t, seeds, 3*4)
	for _, entry := range all {
		require.Equal(t, relay.Candidates(entry, all), relay.Candidates(entry, seeds))
	}
}
