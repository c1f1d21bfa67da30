// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/settings"
)

// TestACallWhoseDeadlinePassedWhileTheVMWasSuspendedEnds suspends the VM for longer than a caller
// waits, in the middle of a stream that would take half a minute. Timers stand still meanwhile, so it
// used to run to its last token, for nobody.
func TestACallWhoseDeadlinePassedWhileTheVMWasSuspendedEnds(t *testing.T) {
	e := start(t, deployment(t, slow), settings.TLS{})
	untilServed(t, e)
	res, err := ask(http.DefaultClient, "http://"+e.CallerAddress(), 1000)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusOK, res.StatusCode)
	_, err = io.ReadFull(res.Body, make([]byte, 1)) // it has begun
	require.NoError(t, err)
	t.Cleanup(clock.Suspend(time.Hour))
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "deadline_passed")
	require.NotContains(t, string(body), "[DONE]")
}
