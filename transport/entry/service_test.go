// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

// TestOneFailedCallDropsSilentIdleConnections makes successive calls after all idle connections to
// a service have gone silent without a reset. Only the first call may time out.
//
// It guards against calls that time out one after the other. The client does not reuse the connection
// of a call that timed out, but it reused the other idle ones: with eight of them, eight calls failed.
func TestOneFailedCallDropsSilentIdleConnections(t *testing.T) {
	const idle = 8
	respond := make(chan struct{})
	arrived := make(chan struct{}, idle)
	listener := &platformtest.SilentListener{Listener: platformtest.Listen()}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			arrived <- struct{}{}
			<-respond
		}
	}))
	require.NoError(t, s.Listener.Close())
	s.Listener = listener
	s.Start()
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	c := &serviceCaller{url: s.URL, results: make(chan error, idle)}
	for range idle {
		go c.run()
	}
	for range idle {
		<-arrived
	}
	close(respond)
	for range idle {
		require.NoError(t, <-c.results)
	}
	listener.Silence()
	failed := 0
	for c.call("/", 100*time.Millisecond) != nil {
		failed++
	}
	require.Equal(t, 1, failed, "calls without a response")
}

// serviceCaller calls a service.
type serviceCaller struct {
	client  serviceClient
	url     string
	results chan error
}

func (c *serviceCaller) run() { c.results <- c.call("/wait", time.Minute) }

// call makes one call that may be repeated, and reads its response.
func (c *serviceCaller) call(path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.do(req, true)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}
