// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
)

// TestUnreadableValuesAreRelayedUnchanged sends values that are not valid JSON or UTF-8, in a short
// delta and in a compressed one.
func TestUnreadableValuesAreRelayedUnchanged(t *testing.T) {
	for _, long := range []int{0, 4 * minCompressSize} {
		sent := mirror.Delta{After: protocol.Revision{Number: 3}, To: protocol.Revision{Number: 9}}
		for i, value := range [][]byte{[]byte("too long"), []byte("\xff\xfe\x00"), []byte(`{"service":`), nil, bytes.Repeat([]byte{0xc3}, long)} {
			o := protocol.Object{Kind: "servers", Name: string(rune('a' + i)), Version: protocol.Revision{Number: 9}, Value: value}
			sent.Changes = append(sent.Changes, protocol.Change{Object: o})
		}
		var encoder deltaEncoder
		delta, err := encoder.encode("servers", sent)
		require.NoError(t, err)
		b, err := protocol.RelayArrays.Encode(&protocol.RelayFrame{Deltas: []protocol.RelayDelta{delta}})
		require.NoError(t, err)
		frame, err := protocol.RelayArrays.DecodeFrame(b)
		require.NoError(t, err)
		got, err := decode(&frame.Deltas[0])
		require.NoError(t, err)
		require.Len(t, got.Changes, len(sent.Changes))
		for i, c := range got.Changes {
			require.Equal(t, sent.Changes[i].Object.Name, c.Object.Name)
			require.True(t, bytes.Equal(sent.Changes[i].Object.Value, c.Object.Value), "%d", i)
		}
	}
}
