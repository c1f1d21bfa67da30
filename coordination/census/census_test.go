// SPDX-License-Identifier: Apache-2.0

package census_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/census"
	"pinerun.example/pinerun/protocol"
)

func records(versions ...uint64) []protocol.Object {
	var all []protocol.Object
	for i, v := range versions {
		all = append(all, protocol.Object{Name: string(rune('a' + i)), Version: v})
	}
	return all
}

func TestTheCountFollowsWhoRenews(t *testing.T) {
	var c census.Census
	now := time.Unix(100, 0)
	require.Equal(t, census.Least, c.Count(now), "nothing is known")
	c.Seen(records(1, 2, 3), now)
	require.Equal(t, 3, c.Count(now))
	for i := range 10 {
		now = now.Add(census.Look)
		c.Seen(records(uint64(10+i), 2, uint64(20+i)), now)
	}
	require.Equal(t, 2, c.Count(now), "one has not renewed its record")
	require.Empty(t, c.Forgotten(now))
	now = now.Add(8 * time.Minute)
	c.Seen(records(90, 2, 91), now)
	require.Len(t, c.Forgotten(now), 1)
	require.Equal(t, "b", c.Forgotten(now)[0].Name())
	require.Equal(t, uint64(2), c.Forgotten(now)[0].Version())
	c.Seen(nil, now)
	require.Equal(t, 1, c.Count(now), "an entry counts itself")
}
