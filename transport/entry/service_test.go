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

// Calls to a plain service were late one after the other: the connections that its client kept had
// all fallen silent at once, without a reset, and each call took another one of them.
//
// Evidence: this test; with eight connections that rest, eight calls were not answered. Cause: the
// connection on which a call was not answered is not used again, but those that rested beside it were.
//
// TestOneCallFindsOutThatServicesFellSilent makes calls one after the other then.
func TestOneCallFindsOutThatServicesFellSilent(t *testing.T) {
	const resting = 8
	gate := make(chan struct{})
	came := make(chan struct{}, resting)
	hush := &platformtest.Hush{Listener: platformtest.Listen()}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			came <- struct{}{}
			<-gate
		}
	}))
	require.NoError(t, s.Listener.Close())
	s.Listener = hush
	s.Start()
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	c := &caller{url: s.URL, ended: make(chan error, resting)}
	for range resting {
		go c.run()
	}
	for range resting {
		<-came
	}
	close(gate)
	for range resting {
		require.NoError(t, <-c.ended)
	}
	hush.Silence()
	failed := 0
	for c.call("/", 100*time.Millisecond) != nil {
		failed++
	}
	require.Equal(t, 1, failed, "calls without an answer")
}

// caller calls a service.
type caller struct {
	client serviceClient
	url    string
	ended  chan error
}

func (c *caller) run() { c.ended <- c.call("/wait", time.Minute) }

// call makes one call that may be repeated, and reads its answer.
func (c *caller) call(path string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return err
	}
	res, err := c.client.do(req, true)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return errors.Join(err, res.Body.Close())
}
