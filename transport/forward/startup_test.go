// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStartupGateWaits checks how long callers wait that connect while an entry starts: until the
// entry is ready, until the gate's deadline if it does not get ready, or until the caller leaves.
// Afterwards no caller waits.
func TestStartupGateWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waited := func(gate *startupGate, caller context.Context) time.Duration {
			begun := time.Now()
			gate.wait(caller)
			return time.Since(begun)
		}
		var gate startupGate
		require.Zero(t, waited(&gate, t.Context()), "no wait before the start")
		gate.start(time.Now())
		time.AfterFunc(130*time.Millisecond, gate.open)
		require.Equal(t, 130*time.Millisecond, waited(&gate, t.Context()))
		require.Zero(t, waited(&gate, t.Context()), "the gate is open")
		gate.open()

		gate.start(time.Now())
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, startupTimeout-100*time.Millisecond, waited(&gate, t.Context()))
		require.Zero(t, waited(&gate, t.Context()), "the deadline has passed")

		gate.start(time.Now())
		caller, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		require.Equal(t, 50*time.Millisecond, waited(&gate, caller), "the caller has left")
	})
}
