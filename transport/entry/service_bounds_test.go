// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// TestAnswersWithLongHeadsAreErrors has services and runners answer with a head within its bound, and with a
// longer one.
func TestAnswersWithLongHeadsAreErrors(t *testing.T) {
	ctx, head := context.Background(), 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", head))
		_ = json.NewEncoder(w).Encode(protocol.LoadReport{})
	}))
	defer s.Close()
	spec := protocol.Runner{Name: "r", Address: strings.TrimPrefix(s.URL, "http://")}
	call := func(repeatable bool) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, http.NoBody)
		require.NoError(t, err)
		res, err := new(serviceClient).do(req, repeatable)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	calls := map[string]func() error{
		"repeatable": func() error { return call(true) },
		"once":       func() error { return call(false) },
		"director":   func() error { _, err := new(director).fetchLoad(ctx, spec); return err },
		"probe": func() error {
			_, err := (&crashProbe{runner: fleet.NewRunner(spec, "a")}).fetchLoad(ctx)
			return err
		},
	}
	for name, call := range calls {
		head = 1 << 10
		require.NoError(t, call(), name)
		head = 2 * limited.HeadBytes
		require.Error(t, call(), name)
	}
}
