// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bytes"
	"testing"

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
