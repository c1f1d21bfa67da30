// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/placement"
	"pinerun.example/pinerun/protocol"
)

// halves is a model of eight layers: one engine holds the first half alone, two hold the
// rest.
func halves() placement.Query {
	f := &protocol.EngineFacts{
		Layers: 8, LayerMB: 1000, TokenLayerMB: 0.01, UsualPrompt: 700, UsualAnswer: 200, StepMS: 1, SequenceMS: 0.01,
		ReadPerSecond: 200_000, LoadMS: 8000, LoadsAtOnce: 16,
		Accelerators: []protocol.AcceleratorFacts{{Name: "l4", MemoryMB: 6000, StepFactor: 1, ReadFactor: 1}},
	}
	q := placement.Query{Facts: f}
	add := func(id string, from, to int) {
		s := protocol.Span{From: from, To: to}
		q.Engines = append(q.Engines, placement.Engine{ID: id, DataCenter: "a", Accelerator: "l4", Held: s, Serving: s})
	}
	add("alone", 0, 4)
	add("one", 4, 8)
	add("two", 4, 8)
	return q
}

func heldBy(q placement.Query, moves []placement.Reassignment) []placement.Engine {
	after := append([]placement.Engine(nil), q.Engines...)
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
	require.Empty(t, placement.Plan(q), "while all work as usual the layout is good enough")
	q.Engines[0].Slow = true
	moves := placement.Plan(q)
	require.Len(t, moves, 1)
	require.Equal(t, placement.ReasonSpareReplica, moves[0].Reason())
	require.False(t, moves[0].Interrupts())
	require.NotEqual(t, "alone", moves[0].Engine())
	require.Equal(t, protocol.Span{From: 0, To: 4}, moves[0].Span())
	q.Engines = heldBy(q, moves)
	for _, slow := range []bool{true, false, true} {
		q.Engines[0].Slow = slow
		require.Empty(t, placement.Plan(q), "slow %v", slow)
	}
}

// TestAnUrgentPlanRelievesNobody: what is slow serves.
func TestAnUrgentPlanRelievesNobody(t *testing.T) {
	q := halves()
	q.Engines[0].Slow = true
	q.Urgent = true
	require.Empty(t, placement.Plan(q))
}

// TestNobodyGivesUpWhatItAloneHoldsForASlowOne.
func TestNobodyGivesUpWhatItAloneHoldsForASlowOne(t *testing.T) {
	q := halves()
	q.Engines = q.Engines[:2]
	q.Engines[0].Slow = true
	require.Empty(t, placement.Plan(q))
}
