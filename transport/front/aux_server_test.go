// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongHeadOfARequestIsRefused sends heads within and beyond the bound to a server for others than callers.
func TestLongHeadOfARequestIsRefused(t *testing.T) {
	var s auxServer
	require.NoError(t, s.open("127.0.0.1:0"))
	defer s.close()
	s.serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for length, status := range map[int]int{maxHeaderBytes / 2: http.StatusOK, 4 * maxHeaderBytes: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.socket.Addr().String(), http.NoBody)
		require.NoError(t, err)
		req.Header.Set("X-Long", strings.Repeat("x", length))
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, status, res.StatusCode)
	}
}
