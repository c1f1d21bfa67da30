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

// TestCallEndsWhenDeadlinePassesDuringVMSuspension suspends the VM beyond a call's deadline, in the
// middle of a stream that takes half a minute. Timers do not advance during a suspension, so such a
// call used to run to its last token although its caller had given up.
func TestCallEndsWhenDeadlinePassesDuringVMSuspension(t *testing.T) {
	e := startEntry(t, startDeployment(t, slow), settings.TLS{})
	waitUntilServed(t, e)
	resp, err := requestStream(http.DefaultClient, "http://"+e.CallerAddress(), 1000)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_, err = io.ReadFull(resp.Body, make([]byte, 1)) // the stream has started
	require.NoError(t, err)
	t.Cleanup(clock.SimulateSuspension(time.Hour))
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "deadline_passed")
	require.NotContains(t, string(body), "[DONE]")
}
