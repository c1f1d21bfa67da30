// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// TestClassifyAnswer: the work was sent at 2,000 ms.
func TestClassifyAnswer(t *testing.T) {
	for _, c := range []struct {
		incarnation, reported protocol.Incarnation
		want                  quarantine.ProbeResult
	}{
		{1000, 0, quarantine.ProbeAnswered},
		{1000, 1000, quarantine.ProbeSameIncarnation},
		{1000, 2500, quarantine.ProbeCrashed},
		{1000, 1500, quarantine.ProbeCrashed}, // it had crashed before the work was sent
		{0, 0, quarantine.ProbeAnswered},
		{0, 1000, quarantine.ProbeAnswered},
		{0, 2500, quarantine.ProbeCrashed},
	} {
		require.Equal(t, c.want, quarantine.ClassifyAnswer(c.incarnation, c.reported, time.UnixMilli(2000)), "%+v", c)
	}
}
