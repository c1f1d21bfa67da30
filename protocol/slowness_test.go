// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestSlownessReportValidation(t *testing.T) {
	good := protocol.SlownessReport{Endpoint: "e", Incarnation: 7, Observer: "w", Number: 3, Observation: protocol.SlowReported, Slowdown: 12, AgoMS: 4}
	b, err := protocol.RelayArrays.Encode(&protocol.RelayFrame{FailedMS: -1, Slow: []protocol.SlownessReport{good}})
	require.NoError(t, err)
	f, err := protocol.RelayArrays.DecodeFrame(b)
	require.NoError(t, err)
	require.Equal(t, []protocol.SlownessReport{good}, f.Slow)
	for name, corrupt := range map[string]func(s *protocol.SlownessReport){
		"no endpoint":          func(s *protocol.SlownessReport) { s.Endpoint = "" },
		"no observer":          func(s *protocol.SlownessReport) { s.Observer = "" },
		"no observation":       func(s *protocol.SlownessReport) { s.Observation = 0 },
		"unknown observation":  func(s *protocol.SlownessReport) { s.Observation = protocol.SlowMeasured + 1 },
		"zero slowdown":        func(s *protocol.SlownessReport) { s.Slowdown = 0 },
		"NaN slowdown":         func(s *protocol.SlownessReport) { s.Slowdown = math.NaN() },
		"infinite slowdown":    func(s *protocol.SlownessReport) { s.Slowdown = math.Inf(1) },
		"in the future":        func(s *protocol.SlownessReport) { s.AgoMS = -1 },
		"negative incarnation": func(s *protocol.SlownessReport) { s.Incarnation = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := good
			corrupt(&bad)
			b, err := protocol.RelayArrays.Encode(&protocol.RelayRequest{Slow: []protocol.SlownessReport{bad}})
			require.NoError(t, err)
			_, err = protocol.RelayArrays.DecodeRequest(b)
			require.Error(t, err)
		})
	}
}
