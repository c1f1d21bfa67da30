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
		all = append(all, protocol.Object{Name: string(rune('a' + i)), Version: protocol.Revision{Number: v}})
	}
	return all
}

func TestCountFollowsRenewedRecords(t *testing.T) {
	var c census.Counter
	now := time.Unix(100, 0)
	require.Equal(t, census.DefaultCount, c.Count(now), "no records read yet")
	c.Observe(records(1, 2, 3), now)
	require.Equal(t, 3, c.Count(now))
	for i := range 10 {
		now = now.Add(census.ReadInterval)
		c.Observe(records(uint64(10+i), 2, uint64(20+i)), now)
	}
	require.Equal(t, 2, c.Count(now), "one entry has not renewed its record")
	require.Empty(t, c.Stale(now))
	now = now.Add(8 * time.Minute)
	c.Observe(records(90, 2, 91), now)
	require.Len(t, c.Stale(now), 1)
	require.Equal(t, "b", c.Stale(now)[0].Name())
	require.Equal(t, uint64(2), c.Stale(now)[0].Version())
	c.Observe(nil, now)
	require.Equal(t, 1, c.Count(now), "an entry counts itself")
}
