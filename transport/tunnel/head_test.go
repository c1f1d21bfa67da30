// SPDX-License-Identifier: Apache-2.0

package tunnel_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/limited"
)

func TestTunnelIsNotOpenedByAHeadThatIsTooLong(t *testing.T) {
	endpoint := newEchoEndpoint(t)
	entries := newEntries(t, 2, endpoint)
	for _, length := range []int{1 << 10, 1 << 20} {
		entries[1].head = strings.Repeat("x", length)
		c, err := entries[0].dialer.DialPeers(context.Background(), endpoint.address())
		if length > limited.HeadBytes {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
}
