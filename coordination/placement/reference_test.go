// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
)

// reference scores a layout engine by engine and layer by layer, directly by the definitions in
// score.go.
type reference struct {
	p *pool
}

func (r reference) engineCapacity(m *member) float64 {
	return r.p.sharedEvaluator().engineCapacity(&group{memoryMB: m.memoryMB, span: m.span})
}

func (r reference) layerCapacity(l int, excluded *member) float64 {
	sum := 0.0
	for i := range r.p.engines {
		if m := &r.p.engines[i]; m != excluded && l >= m.span.From && l < m.span.To {
			sum += r.engineCapacity(m)
		}
	}
	return sum
}

func (r reference) holders(l int) int {
	n := 0
	for i := range r.p.engines {
		if m := &r.p.engines[i]; l >= m.span.From && l < m.span.To {
			n++
		}
	}
	return n
}

func (r reference) replicated(m *member) bool {
	for l := m.span.From; l < m.span.To; l++ {
		if r.holders(l) < 2 {
			return false
		}
	}
	return true
}

func (r reference) score() float64 {
	capacity := math.Inf(1)
	for l := range r.p.layers {
		capacity = min(capacity, r.layerCapacity(l, nil))
	}
	if capacity <= 0 {
		return math.Inf(-1)
	}
	seconds := r.p.evaluate().requestSeconds(capacity)
	afterLoss, soleHolders := 0.0, 0.0
	for i := range r.p.engines {
		afterLoss += r.scoreAfterLoss(&r.p.engines[i], capacity, seconds)
		if !r.replicated(&r.p.engines[i]) {
			soleHolders++
		}
	}
	return (1-lossWeight)*math.Log(capacity/seconds) + lossWeight*afterLoss/float64(len(r.p.engines)) - soleHolderPenalty*soleHolders
}

func (r reference) scoreAfterLoss(m *member, capacity, seconds float64) float64 {
	remaining, uncovered := math.Inf(1), 0
	for l := range r.p.layers {
		if l >= m.span.From && l < m.span.To && r.holders(l) < 2 {
			uncovered++
			continue
		}
		remaining = min(remaining, r.layerCapacity(l, m))
	}
	if uncovered == 0 {
		return math.Log(max(remaining, 1) / seconds)
	}
	repaired := min(remaining, r.repairCapacity(m, uncovered))
	outage := (detectionSeconds + float64(uncovered)/float64(r.p.layers)*r.p.spec.LoadMS/1000/repairEngines) / outageWindowSeconds
	return math.Log(max(repaired*(1-min(maxOutageShare, outage)), capacity*(1-maxOutageShare)) / seconds)
}

func (r reference) repairCapacity(lost *member, uncovered int) float64 {
	for i := len(capacitySteps) - 1; i >= 0; i-- {
		spare, before, after := 0, 0, 0
		for k := range r.p.engines {
			m := &r.p.engines[k]
			fits := r.p.layerCapacity(m.memoryMB, capacitySteps[i])
			if r.replicated(m) {
				spare += fits
			}
			if m.span.Layers() == 0 {
				continue
			}
			if m.span.To == lost.span.From {
				before = max(before, fits-m.span.Layers())
			}
			if m.span.From == lost.span.To {
				after = max(after, fits-m.span.Layers())
			}
		}
		if uncovered <= spare+before+after {
			return float64(capacitySteps[i])
		}
	}
	return 0
}

// TestGroupScoreMatchesReference draws layouts and reassigns engines. The score that is computed
// over groups must equal the score that the reference computes from the single engines.
func TestGroupScoreMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &protocol.EngineSpec{
			Layers: rapid.IntRange(2, 12).Draw(t, "layers"), LayerMB: 1750, TokenLayerMB: 0.007375, TypicalPrompt: 733, TypicalAnswer: 224,
			StepMS: 1.02, SequenceMS: 0.00459, PrefillPerSecond: 164_000, LoadMS: 14_000, LoadsAtOnce: 6,
			Accelerators: []protocol.AcceleratorSpec{
				{Name: "large", MemoryMB: 14400, StepFactor: 2.4, ReadFactor: 3.2},
				{Name: "small", MemoryMB: 7200, StepFactor: 16, ReadFactor: 8.2},
			},
		}
		span := func(name string) protocol.Span {
			from := rapid.IntRange(0, f.Layers-1).Draw(t, name)
			return protocol.Span{From: from, To: min(f.Layers, from+rapid.IntRange(1, f.Layers).Draw(t, name))}
		}
		var engines []Engine
		for i := range rapid.IntRange(1, 9).Draw(t, "engines") {
			e := Engine{ID: fmt.Sprint(i), DataCenter: "a", Accelerator: rapid.SampledFrom([]string{"large", "small"}).Draw(t, "kind")}
			if rapid.IntRange(0, 5).Draw(t, "empty") > 0 {
				e.Held = span("span")
			}
			engines = append(engines, e)
		}
		p := newPool(f, engines)
		for range rapid.IntRange(0, 3).Draw(t, "moves") {
			p.assign(&p.engines[rapid.IntRange(0, len(engines)-1).Draw(t, "moved")], span("to"))
		}
		want := reference{p: p}.score()
		if math.IsInf(want, -1) {
			require.True(t, math.IsInf(p.score(), -1))
			return
		}
		require.InDelta(t, want, p.score(), 1e-9)
	})
}
