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

// reference weighs a layout engine by engine and layer by layer, as plainly as the terms in
// worth.go say it.
type reference struct {
	p *pool
}

func (r reference) room(m *member) float64 {
	return r.p.weighing().roomOf(&group{memoryMB: m.memoryMB, span: m.span})
}

func (r reference) roomAt(l int, without *member) float64 {
	sum := 0.0
	for i := range r.p.engines {
		if m := &r.p.engines[i]; m != without && l >= m.span.From && l < m.span.To {
			sum += r.room(m)
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

func (r reference) doubled(m *member) bool {
	for l := m.span.From; l < m.span.To; l++ {
		if r.holders(l) < 2 {
			return false
		}
	}
	return true
}

func (r reference) worth() float64 {
	least := math.Inf(1)
	for l := range r.p.layers {
		least = min(least, r.roomAt(l, nil))
	}
	if least <= 0 {
		return math.Inf(-1)
	}
	seconds := r.p.weigh().seconds(least)
	lost, sole := 0.0, 0.0
	for i := range r.p.engines {
		lost += r.afterLoss(&r.p.engines[i], least, seconds)
		if !r.doubled(&r.p.engines[i]) {
			sole++
		}
	}
	return (1-lossWeight)*math.Log(least/seconds) + lossWeight*lost/float64(len(r.p.engines)) - soleWeight*sole
}

func (r reference) afterLoss(m *member, least, seconds float64) float64 {
	rest, hole := math.Inf(1), 0
	for l := range r.p.layers {
		if l >= m.span.From && l < m.span.To && r.holders(l) < 2 {
			hole++
			continue
		}
		rest = min(rest, r.roomAt(l, m))
	}
	if hole == 0 {
		return math.Log(max(rest, 1) / seconds)
	}
	mended := min(rest, r.roomToMend(m, hole))
	missed := (noticeSeconds + float64(hole)/float64(r.p.layers)*r.p.facts.LoadMS/1000/mendingEngines) / missedSeconds
	return math.Log(max(mended*(1-min(mostMissed, missed)), least*(1-mostMissed)) / seconds)
}

func (r reference) roomToMend(lost *member, hole int) float64 {
	for i := len(roomSteps) - 1; i >= 0; i-- {
		spare, before, after := 0, 0, 0
		for k := range r.p.engines {
			m := &r.p.engines[k]
			fits := r.p.fitting(m.memoryMB, roomSteps[i])
			if r.doubled(m) {
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
		if hole <= spare+before+after {
			return float64(roomSteps[i])
		}
	}
	return 0
}

// TestGroupsWeighWhatTheirEnginesDo draws layouts, moves engines about, and holds what is
// worked out over groups against what the engines give one by one.
func TestGroupsWeighWhatTheirEnginesDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &protocol.EngineFacts{
			Layers: rapid.IntRange(2, 12).Draw(t, "layers"), LayerMB: 1750, TokenLayerMB: 0.007375, UsualPrompt: 733, UsualAnswer: 224,
			StepMS: 1.02, SequenceMS: 0.00459, ReadPerSecond: 164_000, LoadMS: 14_000, LoadsAtOnce: 6,
			Accelerators: []protocol.AcceleratorFacts{
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
			p.hold(&p.engines[rapid.IntRange(0, len(engines)-1).Draw(t, "moved")], span("to"))
		}
		want := reference{p: p}.worth()
		if math.IsInf(want, -1) {
			require.True(t, math.IsInf(p.worth(), -1))
			return
		}
		require.InDelta(t, want, p.worth(), 1e-9)
	})
}
