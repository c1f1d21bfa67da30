// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/state/fleet"
)

// TestSilentAttemptsStayOpenUntilAnotherReplacesThem has two attempts at engines that are reported lost, which may go on.
func TestSilentAttemptsStayOpenUntilAnotherReplacesThem(t *testing.T) {
	f, x := newForwarder(t, 3, nil)
	first := x.open[0]
	x.avoid = []*fleet.Runner{first.endpoint}
	p, found := x.pickPath(time.Now())
	require.True(t, found)
	require.True(t, x.startAttempt(&p))
	second := x.open[1]
	now := time.Now()
	for _, r := range f.Registry.View().Runners() {
		r.MarkLost(now, now.Add(time.Minute))
	}
	require.Equal(t, silenceNoPath, x.hedge(first, []*fleet.Runner{first.endpoint}, time.Now()))
	require.Equal(t, []*attempt{first, second}, x.open)
	for _, r := range f.Registry.View().Runners() {
		if r != first.endpoint && r != second.endpoint {
			r.ClearLost()
		}
	}
	x.avoid = []*fleet.Runner{first.endpoint, second.endpoint}
	require.Equal(t, silenceElsewhere, x.hedge(first, []*fleet.Runner{first.endpoint}, time.Now()))
	require.Len(t, x.open, maxOpenAttempts)
	require.False(t, slices.Contains(x.open, first))
}

// TestSilentEndpointIsNotAbandonedForQuarantinedWork has the only attempt of a request at an engine that is lost by a silence.
func TestSilentEndpointIsNotAbandonedForQuarantinedWork(t *testing.T) {
	_, x := newForwarder(t, 2, nil)
	only := x.open[0]
	x.timing.start(x.route, x.service, only.sentAt)
	lostAt := time.Now()
	only.endpoint.MarkLost(lostAt, lostAt.Add(time.Minute))
	require.False(t, x.abandonGone(only, lostAt.Add(900*time.Millisecond)))
	require.Equal(t, []*attempt{only}, x.open)
	require.True(t, x.abandonGone(only, lostAt.Add(time.Second)), "no sound endpoint is silent for so long")
}
