// SPDX-License-Identifier: Apache-2.0

package loss_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/protocol"
)

func misplacedReport(owner string, ms int) loss.Report {
	return loss.NewReport("e", "a", protocol.LossMismatch, at(ms)).WithAddressOwner(owner)
}

func TestOneObserverSufficesForAddressOwner(t *testing.T) {
	var tracker loss.Tracker
	require.Equal(t, loss.AddressOwnerObserved{}, tracker.Apply(misplacedReport("other", 0), 80, at(10)))
	require.Equal(t, loss.NoChange{}, tracker.Apply(misplacedReport("other", 300), 80, at(310)), "already known")
	require.Equal(t, loss.AddressOwnerObserved{}, tracker.Apply(misplacedReport("third", 400), 80, at(410)))
	recovered := loss.NewReport("e", "a", protocol.LossAnswered, at(500)).WithAddressOwner("e")
	require.Equal(t, loss.AddressOwnerObserved{}, tracker.Apply(recovered, 80, at(510)))
	require.Equal(t, loss.NoChange{}, tracker.Apply(misplacedReport("third", 450), 80, at(520)), "observed before the endpoint answered itself")
	require.Equal(t, loss.AddressOwnerObserved{}, tracker.Apply(misplacedReport("third", 600), 80, at(610)))
	require.Equal(t, loss.AddressOwnerObserved{}, tracker.Apply(misplacedReport("third", 1700), 80, at(1710)), "observed again much later")
}

// TestAddressOwnerReportsAreNotLimited: unlike a loss, such a report is based on an answer, so an
// entry that reaches no endpoint cannot make it.
func TestAddressOwnerReportsAreNotLimited(t *testing.T) {
	var tracker loss.Tracker
	for i := range 80 {
		r := loss.NewReport(fmt.Sprint("e", i), "a", protocol.LossMismatch, at(0))
		require.Equal(t, loss.AddressOwnerObserved{}, tracker.Apply(r, 80, at(0)))
	}
	require.IsType(t, loss.Lost{}, tracker.Apply(loss.NewReport("e0", "a", protocol.LossRefused, at(1)), 80, at(1)), "no endpoint was lost by these reports")
}

func TestReportsOfEarlierIncarnationAreIgnored(t *testing.T) {
	var tracker loss.Tracker
	refused := func(incarnation protocol.Incarnation, ms int) loss.Report {
		return loss.NewReport("e", "a", protocol.LossRefused, at(ms)).WithIncarnation(incarnation)
	}
	require.IsType(t, loss.Lost{}, tracker.Apply(refused(10, 0), 80, at(0)))
	require.IsType(t, loss.Lost{}, tracker.Apply(refused(20, 1), 80, at(1)), "the next incarnation is lost too")
	require.Equal(t, loss.NoChange{}, tracker.Apply(refused(10, 2), 80, at(2)), "that incarnation is over")
	require.Equal(t, loss.NoChange{}, tracker.Apply(refused(0, 3), 80, at(3)), "already known")
}
