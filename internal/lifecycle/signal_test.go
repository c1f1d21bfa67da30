// SPDX-License-Identifier: Apache-2.0

package lifecycle_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/lifecycle"
)

func TestBroadcastWakesCurrentWaitersOnly(t *testing.T) {
	var s lifecycle.Signal
	s.Broadcast() // no waiters
	one, two := s.Changed(), s.Changed()
	s.Broadcast()
	<-one
	<-two
	select {
	case <-s.Changed():
		require.Fail(t, "an earlier broadcast wakes no later waiter")
	default:
	}
}
