// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
)

// TestHistoryKeepsPartsInUse records far more parts than a history holds.
func TestHistoryKeepsPartsInUse(t *testing.T) {
	var h quarantine.History
	const parts = 100_000
	for i := range parts {
		h.Record(fingerprint(1+i), startTime.Add(time.Duration(i)))
		h.Record(fingerprint(0), startTime.Add(time.Duration(i)))
	}
	require.Equal(t, parts, h.Runs(fingerprint(0)).Count())
	require.Equal(t, startTime.Add(parts-1), h.Runs(fingerprint(0)).Last())
	require.Zero(t, h.Runs(fingerprint(1)).Count())
	require.True(t, h.Runs(fingerprint(1)).Last().IsZero())
}
