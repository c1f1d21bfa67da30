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

// TestStartupGateCountsNoTimeInWhichTheEntryWasNotRun has callers arrive after the end of a gate whose
// entry was stopped right after its start. They were refused at once before.
func TestStartupGateCountsNoTimeInWhichTheEntryWasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := true
		gate := startupGate{lateSince: func(time.Time) bool { return late }}
		gate.start(time.Now())
		time.Sleep(3 * time.Second)
		begun := time.Now()
		time.AfterFunc(20*time.Millisecond, gate.open)
		gate.wait(t.Context())
		require.Equal(t, 20*time.Millisecond, time.Since(begun), "until the table is there")

		gate.start(time.Now())
		time.Sleep(3 * time.Second)
		begun = time.Now()
		gate.wait(t.Context())
		require.Equal(t, startupTimeout, time.Since(begun), "as long as after a start")
		late = false
		gate.wait(t.Context())
		require.Equal(t, startupTimeout, time.Since(begun), "an entry that ran has had its time")
	})
}
