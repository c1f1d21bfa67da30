// SPDX-License-Identifier: Apache-2.0

package loss_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/protocol"
)

var startTime = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func TestRefusedConnectionMeansLost(t *testing.T) {
	var tracker loss.Tracker
	change := tracker.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(0)), 80, at(20))
	lost, ok := change.(loss.Lost)
	require.True(t, ok)
	require.Equal(t, at(0), lost.At())
	require.Equal(t, at(20).Add(loss.ReportTTL), lost.Until())
	require.Equal(t, loss.NoChange{}, tracker.Apply(loss.NewReport("e", "b", protocol.LossRefused, at(10)), 80, at(30)), "already known")
}

func TestSilenceNeedsTwoObservers(t *testing.T) {
	var tracker loss.Tracker
	require.Equal(t, loss.Suspected{}, tracker.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(0)), 80, at(0)))
	require.Equal(t, loss.NoChange{}, tracker.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(300)), 80, at(300)), "the same observer again")
	require.IsType(t, loss.Lost{}, tracker.Apply(loss.NewReport("e", "b", protocol.LossSilent, at(310)), 80, at(310)))
}

func TestAnswerDisprovesEarlierFailures(t *testing.T) {
	var tracker loss.Tracker
	tracker.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(0)), 80, at(0))
	tracker.Apply(loss.NewReport("e", "b", protocol.LossSilent, at(100)), 80, at(100))
	require.Equal(t, loss.NoChange{}, tracker.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(50)), 80, at(200)), "the answer is older than the failures")
	require.Equal(t, loss.Recovered{}, tracker.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(150)), 80, at(200)))
	require.Equal(t, loss.NoChange{}, tracker.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(250)), 80, at(300)), "it is no longer suspected")
}

// TestFailureBeforeAnswerStaysDisproved: reports take paths of different lengths, so an older
// failure may arrive after the answer that disproves it.
func TestFailureBeforeAnswerStaysDisproved(t *testing.T) {
	var tracker loss.Tracker
	tracker.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(0)), 80, at(0))
	require.Equal(t, loss.Recovered{}, tracker.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(150)), 80, at(200)))
	require.Equal(t, loss.NoChange{}, tracker.Apply(loss.NewReport("e", "b", protocol.LossRefused, at(100)), 80, at(250)), "observed before the answer")
	require.IsType(t, loss.Lost{}, tracker.Apply(loss.NewReport("e", "b", protocol.LossRefused, at(300)), 80, at(300)), "observed after the answer")
}

func TestOldAndFutureReportsAreIgnored(t *testing.T) {
	var tracker loss.Tracker
	late := at(0).Add(loss.ReportTTL + time.Millisecond)
	require.Equal(t, loss.NoChange{}, tracker.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(0)), 80, late))
	require.Equal(t, loss.NoChange{}, tracker.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(1)), 80, at(0)))
}

func TestExpiredObservationsDoNotAddUp(t *testing.T) {
	var tracker loss.Tracker
	tracker.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(0)), 80, at(0))
	later := at(0).Add(loss.ReportTTL + time.Second)
	require.Equal(t, loss.Suspected{}, tracker.Apply(loss.NewReport("e", "b", protocol.LossSilent, later), 80, later))
}

// TestDisconnectedEntriesCannotMarkAllEndpointsLost: two entries that cannot reach any endpoint
// report that all of them refuse connections.
func TestDisconnectedEntriesCannotMarkAllEndpointsLost(t *testing.T) {
	var tracker loss.Tracker
	lost := 0
	for i := range 90 {
		for _, observer := range []string{"a", "b"} {
			if _, ok := tracker.Apply(loss.NewReport(fmt.Sprint("e", i), observer, protocol.LossRefused, at(0)), 90, at(0)).(loss.Lost); ok {
				lost++
			}
		}
	}
	require.LessOrEqual(t, lost, 31)
	require.Greater(t, lost, 15, "simultaneous losses that do occur are reported")
}

// TestTrackerInvariants applies random reports in any order. An endpoint that only one entry finds
// silent is never lost, a lost endpoint that answers recovers, and at least half of the endpoints
// stay in use however many are reported.
func TestTrackerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker loss.Tracker
		known := rapid.IntRange(6, 40).Draw(t, "known")
		now := startTime
		lostUntil := map[string]time.Time{}
		silent := map[string]map[string]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			e := fmt.Sprint(rapid.IntRange(1, known).Draw(t, "endpoint"))
			observer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "observer")
			observation := protocol.LossObservation(rapid.IntRange(1, 3).Draw(t, "observation"))
			age := time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond
			change := tracker.Apply(loss.NewReport(e, observer, observation, now.Add(-age)), known, now)
			if observation == protocol.LossSilent {
				if silent[e] == nil {
					silent[e] = map[string]time.Time{}
				}
				silent[e][observer] = now
			}
			switch change := change.(type) {
			case loss.Lost:
				require.True(t, observation == protocol.LossRefused || len(silent[e]) >= 2, "one observer of silence is not enough")
				require.True(t, change.Until().After(now))
				lostUntil[e] = change.Until()
			case loss.Recovered:
				require.Equal(t, protocol.LossAnswered, observation)
				delete(lostUntil, e)
				delete(silent, e)
			}
			lost := 0
			for _, end := range lostUntil {
				if end.After(now) {
					lost++
				}
			}
			require.LessOrEqual(t, lost, known/2)
		}
	})
}
