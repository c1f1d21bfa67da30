// SPDX-License-Identifier: Apache-2.0

package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
)

// inEra returns an endpoint as read in an era, after a number of heartbeats.
func inEra(e protocol.Endpoint, era uint64, heartbeats int) protocol.Endpoint {
	e.Era, e.Heartbeats = era, heartbeats
	return e
}

// TestLeavingEndpointStaysLeavingAfterRestore restores a copy in which the endpoint was still ready.
func TestLeavingEndpointStaysLeavingAfterRestore(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	e := engine("x", "a", 0, 10)
	leaving := e
	leaving.Leaving = true
	r.Replace([]protocol.Endpoint{inEra(e, 1, 5)}, now)
	r.Update(inEra(leaving, 1, 7), now)
	for range 2 { // the copy may be listed again
		r.Replace([]protocol.Endpoint{inEra(e, 2, 5)}, now)
		require.True(t, r.Endpoints()[0].Leaving)
	}
	r.Update(inEra(leaving, 2, 8), now)
	require.True(t, r.Endpoints()[0].Leaving)
	r.Update(inEra(e, 2, 9), now)
	require.False(t, r.Endpoints()[0].Leaving, "it wrote that itself")
}

// TestGoneEndpointStaysGoneAfterRestore restores a copy that still has the record of an endpoint that has
// ended. If it lives after all, its record remains.
func TestGoneEndpointStaysGoneAfterRestore(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	e := engine("x", "a", 0, 10)
	r.Replace([]protocol.Endpoint{inEra(e, 1, 5)}, now)
	require.True(t, r.Remove("x", now))
	for range 2 {
		r.Replace([]protocol.Endpoint{inEra(e, 2, 4)}, now)
		require.Empty(t, r.Endpoints())
	}
	r.Sweep(now.Add(registry.ProbeGrace + time.Millisecond))
	require.Equal(t, []string{"x"}, ids(r.Endpoints()))
}

// TestNewerRecordAfterRestoreCountsAtOnce has an endpoint write again before an entry reads the copy.
func TestNewerRecordAfterRestoreCountsAtOnce(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{inEra(engine("x", "a", 0, 5), 1, 5), inEra(engine("y", "a", 0, 5), 1, 5)}, now)
	require.True(t, r.Remove("y", now))
	r.Replace([]protocol.Endpoint{inEra(engine("x", "a", 0, 10), 2, 6), inEra(engine("y", "a", 0, 10), 2, 6)}, now)
	require.Equal(t, []string{"x", "y"}, ids(r.Endpoints()))
	for _, e := range r.Endpoints() {
		require.Equal(t, 10, e.Layers.To)
	}
}

// TestHeartbeatsThatFallByRestoreAreNoRestart restores a copy of a record with fewer heartbeats.
func TestHeartbeatsThatFallByRestoreAreNoRestart(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{inEra(engine("x", "a", 0, 5), 1, 5)}, now)
	require.NotEqual(t, registry.Restarted, r.Update(inEra(engine("x", "a", 0, 5), 2, 3), now))
	require.Empty(t, r.TakeRestarted())
	r.Update(inEra(engine("x", "a", 0, 5), 2, 6), now)
	require.Empty(t, r.TakeRestarted())
}

// TestRecordsMissingAfterRestoreAreAwaited restores a copy without the record of a running endpoint.
func TestRecordsMissingAfterRestoreAreAwaited(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{inEra(engine("x", "a", 0, 5), 1, 5)}, now)
	r.MarkOutage(now)
	require.Empty(t, r.Replace(nil, now))
	require.Equal(t, []string{"x"}, ids(r.Endpoints()))
}
