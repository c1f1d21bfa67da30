// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/protocol"
)

// TestDirectorWithoutConfigurationGivesNoOrders guards against a panic in a
// director that holds the lease before any configuration is in force. This happens
// when the platform serves the lease sooner than the manifest.
func TestDirectorWithoutConfigurationGivesNoOrders(t *testing.T) {
	e := &Entry{}
	d := &director{entry: e, holdsLease: true}
	d.lease.Self = "e1"
	now := time.Now()
	d.lease.Observe(protocol.Revision{}, lease.Record{}, now)
	_, writes := d.lease.Next(now).(lease.Write)
	require.True(t, writes)
	d.lease.WriteSucceeded(protocol.Revision{Number: 1})
	_, holding := d.lease.Epoch(now)
	require.True(t, holding)
	require.NotPanics(t, func() { d.reconcile(t.Context()) })
}
