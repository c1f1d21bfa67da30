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

var begin = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func TestARefusedConnectionIsCertain(t *testing.T) {
	var b loss.Tracker
	v := b.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(0)), 80, at(20))
	lost, ok := v.(loss.Lost)
	require.True(t, ok)
	require.Equal(t, at(0), lost.At())
	require.Equal(t, at(20).Add(loss.ReportTTL), lost.Until())
	require.Equal(t, loss.NoChange{}, b.Apply(loss.NewReport("e", "b", protocol.LossRefused, at(10)), 80, at(30)), "it is known")
}

func TestSilenceTakesTwoWitnesses(t *testing.T) {
	var b loss.Tracker
	require.Equal(t, loss.Suspected{}, b.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(0)), 80, at(0)))
	require.Equal(t, loss.NoChange{}, b.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(300)), 80, at(300)), "the same witness again")
	require.IsType(t, loss.Lost{}, b.Apply(loss.NewReport("e", "b", protocol.LossSilent, at(310)), 80, at(310)))
}

func TestAnAnswerDisprovesWhatWasMetBeforeIt(t *testing.T) {
	var b loss.Tracker
	b.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(0)), 80, at(0))
	b.Apply(loss.NewReport("e", "b", protocol.LossSilent, at(100)), 80, at(100))
	require.Equal(t, loss.NoChange{}, b.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(50)), 80, at(200)), "an answer on its way since before")
	require.Equal(t, loss.Recovered{}, b.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(150)), 80, at(200)))
	require.Equal(t, loss.NoChange{}, b.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(250)), 80, at(300)), "nothing is said of it any more")
}

// TestWhatWasMetBeforeAnAnswerStaysDisproved: reports take ways of different lengths.
func TestWhatWasMetBeforeAnAnswerStaysDisproved(t *testing.T) {
	var b loss.Tracker
	b.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(0)), 80, at(0))
	require.Equal(t, loss.Recovered{}, b.Apply(loss.NewReport("e", "c", protocol.LossAnswered, at(150)), 80, at(200)))
	require.Equal(t, loss.NoChange{}, b.Apply(loss.NewReport("e", "b", protocol.LossRefused, at(100)), 80, at(250)), "met before the answer")
	require.IsType(t, loss.Lost{}, b.Apply(loss.NewReport("e", "b", protocol.LossRefused, at(300)), 80, at(300)), "met after it")
}

func TestOldAndFutureReportsCountForNothing(t *testing.T) {
	var b loss.Tracker
	late := at(0).Add(loss.ReportTTL + time.Millisecond)
	require.Equal(t, loss.NoChange{}, b.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(0)), 80, late))
	require.Equal(t, loss.NoChange{}, b.Apply(loss.NewReport("e", "a", protocol.LossRefused, at(1)), 80, at(0)))
}

func TestWitnessesFarApartDoNotAddUp(t *testing.T) {
	var b loss.Tracker
	b.Apply(loss.NewReport("e", "a", protocol.LossSilent, at(0)), 80, at(0))
	later := at(0).Add(loss.ReportTTL + time.Second)
	require.Equal(t, loss.Suspected{}, b.Apply(loss.NewReport("e", "b", protocol.LossSilent, later), 80, later))
}

// TestEntriesThatReachNobodyDoNotEmptyTheLists lets two entries find every endpoint dead.
func TestEntriesThatReachNobodyDoNotEmptyTheLists(t *testing.T) {
	var b loss.Tracker
	lost := 0
	for i := range 90 {
		for _, w := range []string{"a", "b"} {
			if _, ok := b.Apply(loss.NewReport(fmt.Sprint("e", i), w, protocol.LossRefused, at(0)), 90, at(0)).(loss.Lost); ok {
				lost++
			}
		}
	}
	require.LessOrEqual(t, lost, 31)
	require.Greater(t, lost, 15, "what is known to happen at once is told")
}

// TestBooksOfAnyReports draws reports in any order: an endpoint that one entry alone finds
// silent is never lost, one that is lost and answers is back, and however many are
// reported, at least half of the endpoints stay in use.
func TestBooksOfAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b loss.Tracker
		known := rapid.IntRange(6, 40).Draw(t, "known")
		now := begin
		till := map[string]time.Time{}
		silent := map[string]map[string]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			e := fmt.Sprint(rapid.IntRange(1, known).Draw(t, "endpoint"))
			w := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "witness")
			sign := protocol.LossObservation(rapid.IntRange(1, 3).Draw(t, "sign"))
			age := time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond
			v := b.Apply(loss.NewReport(e, w, sign, now.Add(-age)), known, now)
			if sign == protocol.LossSilent {
				if silent[e] == nil {
					silent[e] = map[string]time.Time{}
				}
				silent[e][w] = now
			}
			switch v := v.(type) {
			case loss.Lost:
				require.True(t, sign == protocol.LossRefused || len(silent[e]) >= 2, "one silent witness is not enough")
				require.True(t, v.Until().After(now))
				till[e] = v.Until()
			case loss.Recovered:
				require.Equal(t, protocol.LossAnswered, sign)
				delete(till, e)
				delete(silent, e)
			}
			lost := 0
			for _, end := range till {
				if end.After(now) {
					lost++
				}
			}
			require.LessOrEqual(t, lost, known/2)
		}
	})
}
