// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestNewsOfSlowEndpointsKeepTheirShape(t *testing.T) {
	good := protocol.RelaySlow{Endpoint: "e", Incarnation: 7, Observer: "w", Number: 3, Observation: protocol.SlowTold, Pace: 12, AgoMS: 4}
	b, err := protocol.EncodeRelay(protocol.RelayFrame{FailedMS: -1, Slow: []protocol.RelaySlow{good}})
	require.NoError(t, err)
	f, err := protocol.DecodeRelayFrame(b)
	require.NoError(t, err)
	require.Equal(t, []protocol.RelaySlow{good}, f.Slow)
	for name, spoil := range map[string]func(s *protocol.RelaySlow){
		"no endpoint":   func(s *protocol.RelaySlow) { s.Endpoint = "" },
		"no witness":    func(s *protocol.RelaySlow) { s.Observer = "" },
		"no sign":       func(s *protocol.RelaySlow) { s.Observation = 0 },
		"unknown sign":  func(s *protocol.RelaySlow) { s.Observation = protocol.SlowSeen + 1 },
		"no pace":       func(s *protocol.RelaySlow) { s.Pace = 0 },
		"not a pace":    func(s *protocol.RelaySlow) { s.Pace = math.NaN() },
		"infinite pace": func(s *protocol.RelaySlow) { s.Pace = math.Inf(1) },
		"of the future": func(s *protocol.RelaySlow) { s.AgoMS = -1 },
		"before time":   func(s *protocol.RelaySlow) { s.Incarnation = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := good
			spoil(&bad)
			b, err := protocol.EncodeRelay(protocol.RelayAsk{Slow: []protocol.RelaySlow{bad}})
			require.NoError(t, err)
			_, err = protocol.DecodeRelayAsk(b)
			require.Error(t, err)
		})
	}
}
