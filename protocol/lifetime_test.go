// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestOnlyToldLivesAreInOrder(t *testing.T) {
	const untold, first, second = protocol.Incarnation(0), protocol.Incarnation(1000), protocol.Incarnation(2000)
	require.True(t, first.Before(second))
	require.False(t, second.Before(first))
	require.False(t, first.Before(first))
	require.False(t, untold.Before(second), "a life that was not told may be the same")
	require.False(t, first.Before(untold))
	require.False(t, untold.Known())
	require.EqualValues(t, 2000, second.Start().UnixMilli())
}

func TestNewsOfALossNameALifeThatCanBe(t *testing.T) {
	for life, sound := range map[protocol.Incarnation]bool{0: true, 1: true, -1: false} {
		b, err := protocol.EncodeRelay(protocol.RelayRequest{Losses: []protocol.LossReport{
			{Endpoint: "e", Incarnation: life, Observer: "w", Observation: protocol.LossMismatch},
		}})
		require.NoError(t, err)
		got, err := protocol.DecodeRelayRequest(b)
		if !sound {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, life, got.Losses[0].Incarnation)
		require.Equal(t, protocol.LossMismatch, got.Losses[0].Observation)
	}
}
