// SPDX-License-Identifier: Apache-2.0

package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// TestSlowForLongAfterLoadTime uses an engine that holds 10 of 80 layers. All 80 take 14 s to load,
// so its own take 1.75 s.
func TestSlowForLongAfterLoadTime(t *testing.T) {
	f := &protocol.EngineSpec{Layers: 80, LoadMS: 14_000}
	held := protocol.Span{From: 20, To: 30}
	now := time.Unix(100, 0)
	r := fleet.NewRunner(protocol.Runner{Name: "e", Speed: 1}, "a")
	require.False(t, slowForLong(f, r, held, now))
	require.False(t, slowForLong(f, nil, held, now), "an engine without a runner")
	r.MarkSlow(12, now, now.Add(10*time.Second))
	require.False(t, slowForLong(f, r, held, now.Add(1700*time.Millisecond)))
	require.True(t, slowForLong(f, r, held, now.Add(1750*time.Millisecond)))
	require.False(t, slowForLong(f, r, protocol.Span{From: 0, To: 40}, now.Add(1750*time.Millisecond)), "more layers take longer")
	r.ClearSlow()
	require.False(t, slowForLong(f, r, held, now.Add(5*time.Second)))
}
