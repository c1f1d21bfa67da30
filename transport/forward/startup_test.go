// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStartupGateWaits plays callers that come back while entries start:
// one whose entry opens meanwhile waits just for that, one whose entry does not open is
// told so in half a second, and afterwards nobody waits.
func TestStartupGateWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waits := func(o *startupGate, caller context.Context) time.Duration {
			begun := time.Now()
			o.wait(caller)
			return time.Since(begun)
		}
		var o startupGate
		require.Zero(t, waits(&o, t.Context()), "nothing is awaited before the start")
		o.start(time.Now())
		time.AfterFunc(130*time.Millisecond, o.open)
		require.Equal(t, 130*time.Millisecond, waits(&o, t.Context()))
		require.Zero(t, waits(&o, t.Context()), "it is open")
		o.open()

		o.start(time.Now())
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, startupTimeout-100*time.Millisecond, waits(&o, t.Context()))
		require.Zero(t, waits(&o, t.Context()), "it did not open in time")

		o.start(time.Now())
		caller, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		require.Equal(t, 50*time.Millisecond, waits(&o, caller), "the caller has left")
	})
}
