// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestIncarnationOrderRequiresKnownStart(t *testing.T) {
	const unknown, first, second = protocol.Incarnation(0), protocol.Incarnation(1000), protocol.Incarnation(2000)
	require.True(t, first.Before(second))
	require.False(t, second.Before(first))
	require.False(t, first.Before(first))
	require.False(t, unknown.Before(second), "an unknown incarnation may be the same")
	require.False(t, first.Before(unknown))
	require.False(t, unknown.Known())
	require.EqualValues(t, 2000, second.Start().UnixMilli())
}

func TestLossReportRequiresValidIncarnation(t *testing.T) {
	for incarnation, valid := range map[protocol.Incarnation]bool{0: true, 1: true, -1: false} {
		b, err := protocol.RelayArrays.Encode(&protocol.RelayRequest{Losses: []protocol.LossReport{
			{Endpoint: "e", Incarnation: incarnation, Observer: "w", Observation: protocol.LossMismatch},
		}})
		require.NoError(t, err)
		got, err := protocol.RelayArrays.DecodeRequest(b)
		if !valid {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, incarnation, got.Losses[0].Incarnation)
		require.Equal(t, protocol.LossMismatch, got.Losses[0].Observation)
	}
}
