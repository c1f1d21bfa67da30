// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// TestNoKindPromisesNotRunOfWhatMayHaveRun guards against a status that says "not run" beside the outcome
// "may have run".
func TestNoKindPromisesNotRunOfWhatMayHaveRun(t *testing.T) {
	for _, k := range protocol.Kinds() {
		require.False(t, protocol.PromisesNotRun(protocol.Uncertain(k, "").Status()), k)
		require.NotContains(t, protocol.Uncertain(k, "").Remedy(), "has not run", k)
	}
}
