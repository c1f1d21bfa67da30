// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsWaitForAnEntryThatOpens plays callers that come back while entries start:
// one whose entry opens meanwhile waits just for that, one whose entry does not open is
// told so in half a second, and afterwards nobody waits.
func TestRequestsWaitForAnEntryThatOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waits := func(o *opening, caller context.Context) time.Duration {
			begun := time.Now()
			o.wait(caller)
			return time.Since(begun)
		}
		var o opening
		require.Zero(t, waits(&o, t.Context()), "nothing is awaited before the start")
		o.begin(time.Now())
		time.AfterFunc(130*time.Millisecond, o.end)
		require.Equal(t, 130*time.Millisecond, waits(&o, t.Context()))
		require.Zero(t, waits(&o, t.Context()), "it is open")
		o.end()

		o.begin(time.Now())
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, opensWithin-100*time.Millisecond, waits(&o, t.Context()))
		require.Zero(t, waits(&o, t.Context()), "it did not open in time")

		o.begin(time.Now())
		caller, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		require.Equal(t, 50*time.Millisecond, waits(&o, caller), "the caller has left")
	})
}
