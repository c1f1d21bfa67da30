// SPDX-License-Identifier: Apache-2.0

package part_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/part"
)

func TestASignalWakesAllWhoWaitAndNobodyAfter(t *testing.T) {
	var s part.Signal
	s.Tell() // nobody waits
	one, two := s.Awaited(), s.Awaited()
	s.Tell()
	<-one
	<-two
	select {
	case <-s.Awaited():
		require.Fail(t, "what was told before wakes nobody")
	default:
	}
}
