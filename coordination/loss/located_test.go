// SPDX-License-Identifier: Apache-2.0

package loss_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/protocol"
)

func misplaced(by string, ms int) loss.Report {
	return loss.NewReport("e", "a", protocol.LossMisplaced, at(ms)).WithOccupant(by)
}

func TestOneWitnessTellsWhoHasAnAddress(t *testing.T) {
	var b loss.Tracker
	require.Equal(t, loss.OccupantObserved{}, b.Apply(misplaced("other", 0), 80, at(10)))
	require.Equal(t, loss.NoChange{}, b.Apply(misplaced("other", 300), 80, at(310)), "it is known")
	require.Equal(t, loss.OccupantObserved{}, b.Apply(misplaced("third", 400), 80, at(410)))
	back := loss.NewReport("e", "a", protocol.LossAnswered, at(500)).WithOccupant("e")
	require.Equal(t, loss.OccupantObserved{}, b.Apply(back, 80, at(510)))
	require.Equal(t, loss.NoChange{}, b.Apply(misplaced("third", 450), 80, at(520)), "met before it answered itself")
	require.Equal(t, loss.OccupantObserved{}, b.Apply(misplaced("third", 600), 80, at(610)))
	require.Equal(t, loss.OccupantObserved{}, b.Apply(misplaced("third", 1700), 80, at(1710)), "met again much later")
}

// TestAllEnginesMayBeMisplaced: unlike a loss it was met in an answer, so that no entry which
// reaches nobody can tell of it.
func TestAllEnginesMayBeMisplaced(t *testing.T) {
	var b loss.Tracker
	for i := range 80 {
		r := loss.NewReport(fmt.Sprint("e", i), "a", protocol.LossMisplaced, at(0))
		require.Equal(t, loss.OccupantObserved{}, b.Apply(r, 80, at(0)))
	}
	require.IsType(t, loss.Lost{}, b.Apply(loss.NewReport("e0", "a", protocol.LossRefused, at(1)), 80, at(1)), "none was lost by that")
}

func TestSignsOfAnEarlierLifeSayNothingOfTheNext(t *testing.T) {
	var b loss.Tracker
	of := func(life protocol.Incarnation, ms int) loss.Report {
		return loss.NewReport("e", "a", protocol.LossRefused, at(ms)).WithIncarnation(life)
	}
	require.IsType(t, loss.Lost{}, b.Apply(of(10, 0), 80, at(0)))
	require.IsType(t, loss.Lost{}, b.Apply(of(20, 1), 80, at(1)), "the next life is lost too")
	require.Equal(t, loss.NoChange{}, b.Apply(of(10, 2), 80, at(2)), "that life is over")
	require.Equal(t, loss.NoChange{}, b.Apply(of(0, 3), 80, at(3)), "it is known")
}
