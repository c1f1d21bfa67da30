// SPDX-License-Identifier: Apache-2.0

package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
)

var testStatus = protocol.FleetStatus{
	Entry: "front-1", DataCenter: "a", Routing: 7,
	Endpoints: []protocol.EndpointStatus{
		{ID: "e-1", Service: "llm", DataCenter: "b", Address: "10.0.0.1:80", Accelerator: "t4", From: 5, To: 10, State: protocol.EndpointServing, Utilization: 0.25},
		{ID: "e-2", Service: "llm", DataCenter: "a", Address: "10.0.0.2:80", Accelerator: "l4", From: 4, To: 10, State: protocol.EndpointLost, StartedMS: 1000},
		{ID: "e-3", Service: "llm", DataCenter: "a", Address: "10.0.0.3:80", Accelerator: "l4", From: 0, To: 4, State: protocol.EndpointServing},
		{ID: "e-4", Service: "llm", DataCenter: "a", Address: "10.0.0.5:80", Accelerator: "l4", State: protocol.EndpointEmpty, OrderedFrom: 4, OrderedTo: 10},
		{ID: "p-1", Service: "plain", DataCenter: "a", Address: "10.0.0.4:80", State: protocol.EndpointEjected},
	},
	Waiting: []protocol.WaitingStatus{
		{Service: "llm", Priority: 0, Team: "desk", Requests: 12, OldestMS: 340}, {Service: "llm", Priority: 2, Team: "batch", Requests: 3, OldestMS: 2100},
	},
}

const expectedTable = `entry front-1 in a, routing table 7

llm in a: 1 of 3 serve, 0 % of their room is taken
  layers [4,10): held by 0 that serve
  e-4  10.0.0.5:80  l4  - > [4,10)  empty     0 %  
  e-3  10.0.0.3:80  l4  [0,4)       serves    0 %  
  e-2  10.0.0.2:80  l4  [4,10)      lost      0 %  since 1970-01-01 00:00:01

llm in b: 1 of 1 serve, 25 % of their room is taken
  layers [0,5): held by 0 that serve
  e-1  10.0.0.1:80  t4  [5,10)  serves   25 %  

plain in a: 0 of 1 serve, 0 % of their room is taken
  p-1  10.0.0.4:80    -  rests    0 %  

waiting for room
  llm  priority 0  desk   12 requests  for up to 0.3 s
  llm  priority 2  batch  3 requests   for up to 2.1 s
`

func TestFleetTableIsSortedByServiceDataCenterAndLayers(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/fleet", r.URL.Path)
		require.NoError(t, json.NewEncoder(w).Encode(testStatus))
	}))
	defer s.Close()
	var out, errs bytes.Buffer
	require.Equal(t, exitOK, Main([]string{"fleet", "-entry", s.URL}, &out, &errs))
	require.Equal(t, expectedTable, out.String())
	out.Reset()
	require.Equal(t, exitOK, Main([]string{"fleet", "-entry", s.URL, "-json"}, &out, &errs))
	var decoded protocol.FleetStatus
	require.NoError(t, json.Unmarshal(out.Bytes(), &decoded))
	require.Equal(t, testStatus, decoded)
}

func TestFleetErrorSuggestsCheckingEntryAddress(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	var out, errs bytes.Buffer
	require.Equal(t, exitFailed, Main([]string{"fleet", "-entry", s.URL}, &out, &errs))
	require.Contains(t, errs.String(), "is -entry the metrics address of a front?")
	s.Close()
	require.Equal(t, exitFailed, Main([]string{"fleet", "-entry", s.URL}, &out, &errs))
	require.Contains(t, errs.String(), "check -entry")
	require.Empty(t, out.String())
}

func TestAnswerBeyondItsBoundIsNotPrinted(t *testing.T) {
	head, blanks := 0, 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", head))
		_, _ = w.Write([]byte("{}" + strings.Repeat(" ", blanks)))
	}))
	defer s.Close()
	for _, length := range []struct{ head, blanks int }{{2 * limited.HeadBytes, 0}, {0, maxResponseBytes}} {
		head, blanks = length.head, length.blanks
		var out, errs bytes.Buffer
		require.Equal(t, exitFailed, Main([]string{"fleet", "-entry", s.URL, "-json"}, &out, &errs))
		require.Empty(t, out.String())
	}
}
