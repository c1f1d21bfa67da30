// SPDX-License-Identifier: Apache-2.0

package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

// TestPartOfAnObjectIsNotTakenForTheWhole guards against objects that are cut at the bound on their length.
func TestPartOfAnObjectIsNotTakenForTheWhole(t *testing.T) {
	size := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", size)))
	}))
	defer s.Close()
	c := &platform.Client{Base: s.URL, Counters: &metric.Set{}}
	for size = protocol.MaxObjectBytes - 1; size <= protocol.MaxObjectBytes+1; size++ {
		o, err := c.Get(context.Background(), "kind", "name")
		if size > protocol.MaxObjectBytes {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Len(t, o.Value, size)
	}
}

func TestAnswersBeyondTheirBoundsAreErrors(t *testing.T) {
	head, blanks := 0, 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", head))
		_, _ = w.Write([]byte("[]" + strings.Repeat(" ", blanks)))
	}))
	defer s.Close()
	ctx, c := context.Background(), &platform.Client{Base: s.URL, Counters: &metric.Set{}}
	_, err := c.VMs(ctx)
	require.NoError(t, err)
	head = 2 * limited.HeadBytes
	_, err = c.VMs(ctx)
	require.Error(t, err)
	_, err = c.Put(ctx, "kind", "name", protocol.Revision{}, nil)
	require.ErrorAs(t, err, new(*platform.Uncertain))
	head, blanks = 0, 64<<20
	_, err = c.List(ctx, "kind")
	require.ErrorAs(t, err, new(*limited.TooLong))
}
