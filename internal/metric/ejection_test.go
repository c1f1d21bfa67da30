// SPDX-License-Identifier: Apache-2.0

package metric_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
)

func TestEjectionsAndOrdersCountTotalAndReason(t *testing.T) {
	var s metric.Set
	for _, e := range metric.Ejections() {
		s.CountEjection(e)
		require.EqualValues(t, 1, s.Value("runners_ejected_by."+string(e)))
	}
	require.EqualValues(t, len(metric.Ejections()), s.Value("runners_ejected"))
	s.CountOrder("hole")
	s.CountOrder("copy")
	require.EqualValues(t, 1, s.Value("orders_given_by.hole"))
	require.EqualValues(t, 2, s.Value("orders_given"))
}
