// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLargeRequestWaitsForInflightBytes checks that a large request is not sent to an engine that
// already holds too many bytes, and that a small one is.
func TestLargeRequestWaitsForInflightBytes(t *testing.T) {
	f, x := newForwarder(t, 1, nil)
	engine := x.open[0].endpoint.Name()
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

// TestDisconnectLowersInflightLimit checks that an engine which closes the connection under large
// requests gets fewer bytes from then on.
func TestDisconnectLowersInflightLimit(t *testing.T) {
	f, x := newForwarder(t, 1, nil)
	x.closeAttempts()
	x.body = make([]byte, 4<<20)
	p, found := x.pickPath(time.Now())
	require.True(t, found)
	x.startAttempt(&p)
	engine := x.open[0].endpoint.Name()
	f.inflight.sent(engine, 4<<20)
	before := f.inflight.byEndpoint[engine].Limit()
	x.handleEnd(attemptEnded{attempt: x.open[0], cause: errors.New("reset")})
	require.Less(t, f.inflight.byEndpoint[engine].Limit(), before)
}
