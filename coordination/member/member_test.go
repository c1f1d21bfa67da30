// SPDX-License-Identifier: Apache-2.0

package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/member"
	"pinerun.example/pinerun/protocol"
)

var now = time.Unix(1_800_000_000, 0)

func entries(n, centers int) []protocol.Member {
	list := make([]protocol.Member, n)
	for i := range list {
		list[i] = protocol.Member{
			Name: fmt.Sprint("entry-", i), DataCenter: fmt.Sprint("dc-", i%centers),
			Address: fmt.Sprint("127.0.0.1:", 1000+i), Incarnation: 1,
		}
	}
	return list
}

// TestLosingAnEntryMovesOnlyItsTasks suspects one entry of a random set. Its tasks get
// other owners, and every other task keeps its owner.
func TestLosingAnEntryMovesOnlyItsTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table member.Table
		list := entries(rapid.IntRange(2, 40).Draw(t, "entries"), 3)
		table.Learn(list, now)
		lost := rapid.SampledFrom(list).Draw(t, "lost").Name
		var tasks []string
		before := map[string]string{}
		for i := range 30 {
			task := fmt.Sprint("claim-", i)
			tasks = append(tasks, task)
			owner, _ := table.Owner(task, now)
			before[task] = owner.Name
		}
		table.Suspect(lost, now)
		for _, task := range tasks {
			after, _ := table.Owner(task, now)
			require.NotEqual(t, lost, after.Name)
			if before[task] != lost {
				require.Equal(t, before[task], after.Name)
			}
		}
	})
}

func TestConnectionsGrowWithDataCentersNotEntries(t *testing.T) {
	for _, n := range []int{40, 380} {
		var table member.Table
		list := entries(n, 9)
		table.Learn(list, now)
		relays := 0
		for _, m := range list {
			peers := table.Peers(m, now)
			if table.IsRelay(m, now) {
				relays++
				require.Len(t, peers, 9*member.RelaysPerDataCenter-1)
			} else {
				require.Len(t, peers, member.RelaysPerDataCenter)
			}
		}
		require.Equal(t, 9*member.RelaysPerDataCenter, relays)
	}
}

func TestFewEntriesFormFullMesh(t *testing.T) {
	var table member.Table
	list := entries(8, 3)
	table.Learn(list, now)
	require.Len(t, table.Peers(list[0], now), 7)
}

func TestSeedsAreUsedOnlyWithoutKnownEntries(t *testing.T) {
	var table member.Table
	self := entries(1, 1)[0]
	table.Learn([]protocol.Member{self, member.Seed("127.0.0.1:1001")}, now)
	require.Len(t, table.Peers(self, now), 1)
	require.Len(t, table.Alive(now), 1, "a seed takes no part in rankings")
	table.Learn(entries(2, 1), now)
	require.Equal(t, "entry-1", table.Peers(self, now)[0].Name)
}

func TestUnlistedEntriesAreForgotten(t *testing.T) {
	var table member.Table
	list := entries(3, 1)
	table.Learn(list, now)
	later := now.Add(time.Minute)
	table.MarkAlive("entry-1", later)
	table.Learn(list[:1], later)
	require.Len(t, table.Known(), 2)
	table.Forget("entry-1")
	require.Len(t, table.Known(), 1)
}

func TestSuspicionGrowsUntilHeartbeat(t *testing.T) {
	var table member.Table
	table.Learn(entries(1, 1), now)
	at := now
	for _, wait := range []time.Duration{5, 10, 20, 40, 60, 60} {
		table.Suspect("entry-0", at)
		require.Empty(t, table.Alive(at.Add(wait*time.Second-1)))
		at = at.Add(wait * time.Second)
		require.Len(t, table.Alive(at), 1)
	}
	table.MarkAlive("entry-0", at)
	table.Suspect("entry-0", at)
	require.Len(t, table.Alive(at.Add(5*time.Second)), 1)
}

func TestSweepMeasuresAgeByOwnObservation(t *testing.T) {
	var s member.Sweep
	objects := []protocol.Object{{Name: "a", Version: protocol.Revision{Number: 1}}, {Name: "b", Version: protocol.Revision{Number: 2}}}
	require.Empty(t, s.Stale(objects, now))
	objects[0].Version = protocol.Revision{Number: 3} // a is written again
	require.Empty(t, s.Stale(objects, now.Add(10*time.Minute)))
	stale := s.Stale(objects, now.Add(16*time.Minute))
	require.Len(t, stale, 1)
	require.Equal(t, "b", stale[0].Name)
}
