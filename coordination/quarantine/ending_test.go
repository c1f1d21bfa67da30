// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// TestWhatAnEndpointTellsOfItsLifeShowsWhetherAnEarlierOneEnded: work was sent at 2,000 ms.
func TestWhatAnEndpointTellsOfItsLifeShowsWhetherAnEarlierOneEnded(t *testing.T) {
	for _, c := range []struct {
		life, told protocol.Incarnation
		want       quarantine.Ending
	}{
		{1000, 0, quarantine.EndAnswers},
		{1000, 1000, quarantine.EndLives},
		{1000, 2500, quarantine.EndOver},
		{1000, 1500, quarantine.EndOver}, // it had ended before the work came
		{0, 0, quarantine.EndAnswers},
		{0, 1000, quarantine.EndAnswers},
		{0, 2500, quarantine.EndOver},
	} {
		require.Equal(t, c.want, quarantine.EndingOf(c.life, c.told, time.UnixMilli(2000)), "%+v", c)
	}
}
