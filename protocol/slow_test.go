// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestNewsOfSlowEndpointsKeepTheirShape(t *testing.T) {
	good := protocol.SlownessReport{Endpoint: "e", Incarnation: 7, Observer: "w", Number: 3, Observation: protocol.SlowReported, Slowdown: 12, AgoMS: 4}
	b, err := protocol.EncodeRelay(protocol.RelayFrame{FailedMS: -1, Slow: []protocol.SlownessReport{good}})
	require.NoError(t, err)
	f, err := protocol.DecodeRelayFrame(b)
	require.NoError(t, err)
	require.Equal(t, []protocol.SlownessReport{good}, f.Slow)
	for name, spoil := range map[string]func(s *protocol.SlownessReport){
		"no endpoint":   func(s *protocol.SlownessReport) { s.Endpoint = "" },
		"no witness":    func(s *protocol.SlownessReport) { s.Observer = "" },
		"no sign":       func(s *protocol.SlownessReport) { s.Observation = 0 },
		"unknown sign":  func(s *protocol.SlownessReport) { s.Observation = protocol.SlowMeasured + 1 },
		"no pace":       func(s *protocol.SlownessReport) { s.Slowdown = 0 },
		"not a pace":    func(s *protocol.SlownessReport) { s.Slowdown = math.NaN() },
		"infinite pace": func(s *protocol.SlownessReport) { s.Slowdown = math.Inf(1) },
		"of the future": func(s *protocol.SlownessReport) { s.AgoMS = -1 },
		"before time":   func(s *protocol.SlownessReport) { s.Incarnation = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := good
			spoil(&bad)
			b, err := protocol.EncodeRelay(protocol.RelayRequest{Slow: []protocol.SlownessReport{bad}})
			require.NoError(t, err)
			_, err = protocol.DecodeRelayRequest(b)
			require.Error(t, err)
		})
	}
}
