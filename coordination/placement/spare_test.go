// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/placement"
	"pinerun.example/pinerun/protocol"
)

// halfReplicated returns a query with a model of eight layers. One engine alone holds the first
// half, two engines hold the second.
func halfReplicated() placement.Query {
	f := &protocol.EngineSpec{
		Layers: 8, LayerMB: 1000, TokenLayerMB: 0.01, TypicalPrompt: 700, TypicalAnswer: 200, StepMS: 1, SequenceMS: 0.01,
		PrefillPerSecond: 200_000, LoadMS: 8000, LoadsAtOnce: 16,
		Accelerators: []protocol.AcceleratorSpec{{Name: "l4", MemoryMB: 6000, StepFactor: 1, ReadFactor: 1}},
	}
	q := placement.Query{Spec: f}
	add := func(id string, from, to int) {
		s := protocol.Span{From: from, To: to}
		q.Engines = append(q.Engines, placement.Engine{ID: id, DataCenter: "a", Accelerator: "l4", Held: s, Serving: s})
	}
	add("alone", 0, 4)
	add("one", 4, 8)
	add("two", 4, 8)
	return q
}

func applied(q placement.Query, reassignments []placement.Reassignment) []placement.Engine {
	after := append([]placement.Engine(nil), q.Engines...)
	for _, r := range reassignments {
		for i := range after {
			if after[i].ID == r.Engine() {
				after[i].Held = r.Span()
				after[i].Serving = r.Span()
			}
		}
	}
	return after
}

// TestSlowOnlyHolderGetsSecondHolder checks that the layers of a slow engine get a second holder
// without aborting any request, and that nothing is reassigned when the engine becomes fast or slow
// again.
func TestSlowOnlyHolderGetsSecondHolder(t *testing.T) {
	q := halfReplicated()
	require.Empty(t, placement.Plan(q), "without slow engines the layout stays")
	q.Engines[0].Slow = true
	reassignments := placement.Plan(q)
	require.Len(t, reassignments, 1)
	require.Equal(t, placement.ReasonSpareReplica, reassignments[0].Reason())
	require.False(t, reassignments[0].Interrupts())
	require.NotEqual(t, "alone", reassignments[0].Engine())
	require.Equal(t, protocol.Span{From: 0, To: 4}, reassignments[0].Span())
	q.Engines = applied(q, reassignments)
	for _, slow := range []bool{true, false, true} {
		q.Engines[0].Slow = slow
		require.Empty(t, placement.Plan(q), "slow %v", slow)
	}
}

// TestUrgentPlanAddsNoSpareReplica checks that an urgent plan ignores slow engines, since they
// still serve.
func TestUrgentPlanAddsNoSpareReplica(t *testing.T) {
	q := halfReplicated()
	q.Engines[0].Slow = true
	q.Urgent = true
	require.Empty(t, placement.Plan(q))
}

// TestSoleHolderIsNotReassignedForSlowEngine checks that an engine does not give up layers that it
// alone holds to take over those of a slow engine.
func TestSoleHolderIsNotReassignedForSlowEngine(t *testing.T) {
	q := halfReplicated()
	q.Engines = q.Engines[:2]
	q.Engines[0].Slow = true
	require.Empty(t, placement.Plan(q))
}
