// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// TestGaugesAreGroupedByDataCenterAndTeam checks the text of all gauges for endpoints of two data
// centers and one queue.
func TestGaugesAreGroupedByDataCenterAndTeam(t *testing.T) {
	s := protocol.FleetStatus{
		Endpoints: []protocol.EndpointStatus{
			{Service: "llm", DataCenter: "b", State: protocol.EndpointServing, Utilization: 0.25, OpenLayerPasses: 8, ReachedMS: ago(3000)},
			{Service: "llm", DataCenter: "a", State: protocol.EndpointLost, Utilization: 1},
			{Service: "llm", DataCenter: "b", State: protocol.EndpointSlow, Utilization: 0.75, ReachedMS: ago(3001)},
			{Service: "llm", DataCenter: "b", State: protocol.EndpointServing, Utilization: 0.5, OpenLayerPasses: 2},
		},
		Waiting: []protocol.WaitingStatus{{Service: "llm", Priority: 1, Team: "desk \"a\"", Requests: 3, OldestMS: 1500}},
	}
	var b bytes.Buffer
	require.NoError(t, writeGauges(&b, s))
	require.Equal(t, `pinerun_endpoints{service="llm",data_center="a",state="lost"} 1
pinerun_endpoints_reached{service="llm",data_center="a"} 0
pinerun_open_passes{service="llm",data_center="a"} 0
pinerun_endpoints{service="llm",data_center="b",state="serves"} 2
pinerun_endpoints{service="llm",data_center="b",state="slow"} 1
pinerun_endpoints_reached{service="llm",data_center="b"} 1
pinerun_open_passes{service="llm",data_center="b"} 10
pinerun_room_taken{service="llm",data_center="b"} 0.5
pinerun_waiting{service="llm",priority="1",team="desk \"a\""} 3
pinerun_waiting_oldest_seconds{service="llm",priority="1",team="desk \"a\""} 1.5
`, b.String())
}

// ago returns a time in milliseconds for a status.
func ago(ms int64) *int64 { return &ms }

// TestStateAgeIsThatOfEachKind guards against an age that is told of a kind and belongs to another.
func TestStateAgeIsThatOfEachKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEntryFleet(t, 1, 1)
		time.Sleep(10 * time.Second)
		f.entries[0].client.setAccess(hangs)
		time.Sleep(2 * time.Second)
		var b strings.Builder
		known := f.entries[0].source.KnownKinds()
		require.Len(t, known, 2)
		require.NoError(t, writeStateAges(&b, known, known[0].CompleteAt().Add(5*time.Second)))
		require.Contains(t, b.String(), "pinerun_state_age_seconds{objects=\"config\"} 5\n")
		require.Contains(t, b.String(), "pinerun_state_age_seconds{objects=\"servers\"} ")
	})
}
