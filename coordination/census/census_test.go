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
	c.Observe(protocol.Listing{Objects: records(1, 2, 3)}, now)
	require.Equal(t, 3, c.Count(now))
	for i := range 10 {
		now = now.Add(census.ReadInterval)
		c.Observe(protocol.Listing{Objects: records(uint64(10+i), 2, uint64(20+i))}, now)
	}
	require.Equal(t, 2, c.Count(now), "one entry has not renewed its record")
	require.Empty(t, c.Stale(now))
	now = now.Add(8 * time.Minute)
	c.Observe(protocol.Listing{Objects: records(90, 2, 91)}, now)
	require.Len(t, c.Stale(now), 1)
	require.Equal(t, "b", c.Stale(now)[0].Name())
	require.Equal(t, protocol.Revision{Number: 2}, c.Stale(now)[0].Version())
	c.Observe(protocol.Listing{Objects: nil}, now)
	require.Equal(t, 1, c.Count(now), "an entry counts itself")
}

// TestCountDoesNotFollowRestoredPlatform restores a copy from before the entries wrote their records.
func TestCountDoesNotFollowRestoredPlatform(t *testing.T) {
	var c census.Counter
	now := time.Unix(1000, 0)
	list := func(era uint64, names ...string) protocol.Listing {
		l := protocol.Listing{Revision: protocol.Revision{Era: era, Number: 50}}
		for _, n := range names {
			l.Objects = append(l.Objects, protocol.Object{Name: n, Version: protocol.Revision{Era: era, Number: 7}})
		}
		return l
	}
	c.Observe(list(0, "a", "b", "c", "d"), now)
	require.Len(t, c.Observe(list(1), now), 4)
	require.Equal(t, 4, c.Count(now))
	now = now.Add(census.ReturnPeriod - time.Second)
	require.Len(t, c.Observe(list(1, "a", "b", "c"), now), 4, "they are still on their way")
	now = now.Add(2 * time.Second)
	require.Len(t, c.Observe(list(1, "a", "b", "c"), now), 3, "the fourth did not come back")
	require.Equal(t, 3, c.Count(now))
	require.Len(t, c.Observe(list(1, "a", "b"), now), 2, "removed in the same era")
}
