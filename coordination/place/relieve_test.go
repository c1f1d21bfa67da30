// SPDX-License-Identifier: Apache-2.0

package place_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/place"
	"pinerun.example/pinerun/protocol"
)

// halves is a model of eight layers: one engine holds the first half alone, two hold the
// rest.
func halves() place.Query {
	f := &protocol.EngineFacts{
		Layers: 8, LayerMB: 1000, TokenLayerMB: 0.01, UsualPrompt: 700, UsualAnswer: 200, StepMS: 1, SequenceMS: 0.01,
		ReadPerSecond: 200_000, LoadMS: 8000, LoadsAtOnce: 16,
		Accelerators: []protocol.AcceleratorFacts{{Name: "l4", MemoryMB: 6000, StepFactor: 1, ReadFactor: 1}},
	}
	q := place.Query{Facts: f}
	add := func(id string, from, to int) {
		s := protocol.Span{From: from, To: to}
		q.Engines = append(q.Engines, place.Engine{ID: id, DataCenter: "a", Accelerator: "l4", Held: s, Serving: s})
	}
	add("alone", 0, 4)
	add("one", 4, 8)
	add("two", 4, 8)
	return q
}

func heldBy(q place.Query, moves []place.Reassignment) []place.Engine {
	after := append([]place.Engine(nil), q.Engines...)
	for _, m := range moves {
		for i := range after {
			if after[i].ID == m.Engine() {
				after[i].Held = m.Span()
				after[i].Serving = m.Span()
			}
		}
	}
	return after
}

// TestALayerThatOnlyASlowEngineHoldsGetsASecondHolder, without cutting anything off, and
// nothing moves when the engine is fast again and slow anew.
func TestALayerThatOnlyASlowEngineHoldsGetsASecondHolder(t *testing.T) {
	q := halves()
	require.Empty(t, place.Plan(q), "while all work as usual the layout is good enough")
	q.Engines[0].Slow = true
	moves := place.Plan(q)
	require.Len(t, moves, 1)
	require.Equal(t, place.ReasonSpareReplica, moves[0].Reason())
	require.False(t, moves[0].Interrupts())
	require.NotEqual(t, "alone", moves[0].Engine())
	require.Equal(t, protocol.Span{From: 0, To: 4}, moves[0].Span())
	q.Engines = heldBy(q, moves)
	for _, slow := range []bool{true, false, true} {
		q.Engines[0].Slow = slow
		require.Empty(t, place.Plan(q), "slow %v", slow)
	}
}

// TestAnUrgentPlanRelievesNobody: what is slow serves.
func TestAnUrgentPlanRelievesNobody(t *testing.T) {
	q := halves()
	q.Engines[0].Slow = true
	q.Urgent = true
	require.Empty(t, place.Plan(q))
}

// TestNobodyGivesUpWhatItAloneHoldsForASlowOne.
func TestNobodyGivesUpWhatItAloneHoldsForASlowOne(t *testing.T) {
	q := halves()
	q.Engines = q.Engines[:2]
	q.Engines[0].Slow = true
	require.Empty(t, place.Plan(q))
}
