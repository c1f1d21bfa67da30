// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

// TestProxiesListenWhereNoOtherTestDid: an endpoint is asked through its proxy. On a port
// that the system drew it is also asked by whoever asked the port's last owner, another
// test's server or a gone endpoint of a run beside this one, and takes that for a request
// that nobody sent.
func TestProxiesListenWhereNoOtherTestDid(t *testing.T) {
	p := newProxy(t, platformtest.NewService(t, "s").Address())
	_, port, err := net.SplitHostPort(p.address())
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	require.Less(t, n, 20000, "as stand-ins do, below the range from which the system draws")
}
