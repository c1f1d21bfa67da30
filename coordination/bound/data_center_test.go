// SPDX-License-Identifier: Apache-2.0

package bound_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/bound"
	"pinerun.example/pinerun/coordination/placement"
	"pinerun.example/pinerun/protocol"
)

// smallModel has ten layers of 100 MB. The KV cache of a token takes 0.1 MB in each layer.
func smallModel() *protocol.EngineSpec {
	return &protocol.EngineSpec{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.1, StepMS: 10, SequenceMS: 0.1, PrefillPerSecond: 1000, TypicalPrompt: 8, TypicalAnswer: 2,
		Accelerators: []protocol.AcceleratorSpec{{Name: "big", MemoryMB: 2000, StepFactor: 1, ReadFactor: 1}, {Name: "small", MemoryMB: 700, StepFactor: 2, ReadFactor: 4}},
	}
}

func engines(accelerator string, n int) []placement.Engine {
	var all []placement.Engine
	for i := range n {
		all = append(all, placement.Engine{ID: fmt.Sprint(accelerator, "-", i), DataCenter: "a", Accelerator: accelerator})
	}
	return all
}

func TestOneEngineHoldsAllLayers(t *testing.T) {
	c := bound.DataCenters(smallModel(), engines("big", 1))[0]
	require.InDelta(t, 1, c.Replicas(), 1e-9)
	require.Equal(t, 1, c.Stages())
	require.InDelta(t, 100, c.Capacity(), 1e-9, "1,000 MB beside the weights, 1 MB a token, 10 tokens a request")
	require.InDelta(t, 125, c.PrefillLimit(), 1e-9, "1,000 tokens a second, 8 a prompt")
	require.InDelta(t, 100/(1.0/125+2*0.020), c.CapacityLimit(), 1e-9, "10 ms a step and 0.1 ms for each of 100 requests")
	require.Equal(t, "reading", c.Bottleneck())
	require.InDelta(t, 0, c.CapacityAfterLoss(), 1e-9)
}

func TestDataCenterWithoutReplicaServesNothing(t *testing.T) {
	c := bound.DataCenters(smallModel(), engines("small", 1))[0]
	require.Zero(t, c.Capacity())
	require.Zero(t, c.RequestsPerSecond())
}

// TestBoundsOfAnyFleet checks that a loss never raises the capacity, and that no bound is negative.
func TestBoundsOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := engines("big", rapid.IntRange(0, 3).Draw(t, "big"))
		all = append(all, engines("small", rapid.IntRange(1, 6).Draw(t, "small"))...)
		for _, c := range bound.DataCenters(smallModel(), all) {
			require.LessOrEqual(t, c.CapacityAfterLoss(), c.Capacity()+1e-9)
			require.GreaterOrEqual(t, c.CapacityAfterLoss(), 0.0)
			require.GreaterOrEqual(t, c.RequestsPerSecond(), 0.0)
			require.LessOrEqual(t, c.RequestsPerSecond(), c.PrefillLimit())
		}
	})
}
