// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

// TestProxyListensBelowEphemeralPortRange guards against requests that reach the wrong endpoint.
// If a proxy listens on an ephemeral port, clients of the port's previous owner may still connect
// to it: that owner is a server of another test or a removed endpoint of a parallel run. The
// endpoint then receives a request that no caller of its own run sent.
func TestProxyListensBelowEphemeralPortRange(t *testing.T) {
	p := newProxy(t, platformtest.NewService(t, "s").Address())
	_, port, err := net.SplitHostPort(p.address())
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	require.Less(t, n, 20000, "the port is below the ephemeral range, as those of the stand-ins")
}
