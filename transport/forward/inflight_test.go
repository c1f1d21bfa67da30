// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestALargeRequestWaitsWhereItsEngineHoldsTooManyBytes, and a small one does not.
func TestALargeRequestWaitsWhereItsEngineHoldsTooManyBytes(t *testing.T) {
	f, x := engines(t, 1, nil)
	engine := x.live[0].endpoint.Name()
	const large = 20 << 20
	f.inflight.sent(engine, large)
	x.body = make([]byte, large)
	_, ready := x.pickReady(time.Now())
	require.False(t, ready)
	f.inflight.ended(engine, large, false)
	_, ready = x.pickReady(time.Now())
	require.True(t, ready)

	f.inflight.sent(engine, large)
	x.body = make([]byte, smallBytes)
	_, ready = x.pickReady(time.Now())
	require.True(t, ready)
}

// TestAnEngineThatBreaksOffUnderLargeRequestsIsGivenLess from then on.
func TestAnEngineThatBreaksOffUnderLargeRequestsIsGivenLess(t *testing.T) {
	f, x := engines(t, 1, nil)
	x.stopAll()
	x.body = make([]byte, 4<<20)
	p, found := x.pick(time.Now())
	require.True(t, found)
	x.send(&p)
	engine := x.live[0].endpoint.Name()
	f.inflight.sent(engine, 4<<20)
	before := f.inflight.at[engine].Limit()
	x.takeEnd(attemptEnded{attempt: x.live[0], cause: errors.New("reset")})
	require.Less(t, f.inflight.at[engine].Limit(), before)
}
