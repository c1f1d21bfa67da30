// SPDX-License-Identifier: Apache-2.0

package pressure_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/pressure"
)

const mb = 1 << 20

func TestInflightLimitShrinksAfterFailure(t *testing.T) {
	var f pressure.Inflight
	for range 10 {
		require.True(t, f.Admits(mb))
		f.Sent(mb)
	}
	f.Finished(mb, true)
	require.EqualValues(t, 5*mb, f.Limit())
	require.False(t, f.Admits(mb), "nine are still in flight")
	for range 9 {
		f.Finished(mb, true)
	}
	require.Zero(t, f.Bytes())
	require.True(t, f.Admits(100*mb), "a single request always may")
	low := f.Limit()
	f.Sent(mb)
	f.Finished(mb, false)
	require.Greater(t, f.Limit(), low)
}

// TestInflightLimitIgnoresFailureOfSmallRequests: a connection that breaks with few bytes in flight
// has another cause than memory.
func TestInflightLimitIgnoresFailureOfSmallRequests(t *testing.T) {
	var f pressure.Inflight
	before := f.Limit()
	f.Sent(1000)
	f.Finished(1000, true)
	require.Equal(t, before, f.Limit())
}

func TestInflightBytesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f pressure.Inflight
		var sent []int64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			n := rapid.Int64Range(1, 8*mb).Draw(t, "bytes")
			if f.Admits(n) {
				f.Sent(n)
				sent = append(sent, n)
				require.True(t, len(sent) == 1 || f.Bytes() <= f.Limit())
			}
			if len(sent) > 0 && rapid.Bool().Draw(t, "finishes") {
				f.Finished(sent[0], rapid.Bool().Draw(t, "broken"))
				sent = sent[1:]
			}
			sum := int64(0)
			for _, n := range sent {
				sum += n
			}
			require.Equal(t, sum, f.Bytes())
			require.GreaterOrEqual(t, f.Limit(), int64(mb))
		}
	})
}
