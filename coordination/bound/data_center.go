// SPDX-License-Identifier: Apache-2.0

package bound

import (
	"math"
	"slices"
	"strings"

	"pinerun.example/pinerun/coordination/placement"
	"pinerun.example/pinerun/protocol"
)

// maxPlans limits how often a layout is planned again. Each plan reassigns every engine at most
// once.
const maxPlans = 20

// DataCenter holds the bounds for the engines of one data center, with the layers where the
// placement puts them.
type DataCenter struct {
	name              string
	replicas          float64
	stages            int
	capacity          float64
	capacityAfterLoss float64
	capacityLimit     float64
	prefillLimit      float64
}

// Name returns the data center's name.
func (d DataCenter) Name() string { return d.name }

// Replicas returns how many replicas of the model the engines hold.
func (d DataCenter) Replicas() float64 { return d.replicas }

// Stages returns the number of engines on the fastest path.
func (d DataCenter) Stages() int { return d.stages }

// Capacity returns how many requests of typical size can be open, limited by the layer with the
// least memory beside its weights.
func (d DataCenter) Capacity() float64 { return d.capacity }

// CapacityAfterLoss returns the capacity after the worst loss of one engine, once other engines
// hold its layers.
func (d DataCenter) CapacityAfterLoss() float64 { return d.capacityAfterLoss }

// CapacityLimit returns the requests a second that the capacity allows: the number of open requests
// divided by the duration of each while all of them are open.
func (d DataCenter) CapacityLimit() float64 { return d.capacityLimit }

// PrefillLimit returns the requests a second whose prompts the engines can prefill.
func (d DataCenter) PrefillLimit() float64 { return d.prefillLimit }

// RequestsPerSecond returns the requests a second that both limits allow.
func (d DataCenter) RequestsPerSecond() float64 { return min(d.capacityLimit, d.prefillLimit) }

// Bottleneck returns the name of the lower limit: "room" for CapacityLimit, "reading" for
// PrefillLimit.
func (d DataCenter) Bottleneck() string {
	if d.capacityLimit < d.prefillLimit {
		return "room"
	}
	return "reading"
}

// DataCenters returns the bounds of each data center, in order of name. The bounds of a data center
// that can't hold the complete model are zero.
func DataCenters(spec *protocol.EngineSpec, engines []placement.Engine) []DataCenter {
	byDataCenter := map[string][]placement.Engine{}
	var names []string
	for _, e := range engines {
		if byDataCenter[e.DataCenter] == nil {
			names = append(names, e.DataCenter)
		}
		byDataCenter[e.DataCenter] = append(byDataCenter[e.DataCenter], e)
	}
	slices.SortFunc(names, strings.Compare)
	var all []DataCenter
	for _, n := range names {
		all = append(all, evaluateDataCenter(spec, n, byDataCenter[n]))
	}
	return all
}

func evaluateDataCenter(spec *protocol.EngineSpec, name string, engines []placement.Engine) DataCenter {
	layout := layOut(spec, slices.Clone(engines))
	d := DataCenter{name: name, capacity: requestCapacity(spec, layout), capacityAfterLoss: math.Inf(1)}
	for _, e := range layout {
		d.replicas += float64(e.Held.Layers()) / float64(spec.Layers)
	}
	for i := range layout {
		rest := slices.Delete(slices.Clone(layout), i, i+1)
		d.capacityAfterLoss = min(d.capacityAfterLoss, requestCapacity(spec, layOut(spec, rest)))
	}
	var seconds float64
	d.stages, seconds = secondsPerToken(spec, layout, d.capacity)
	d.prefillLimit = Of(spec.Layers, prefillRunners(spec, layout)).Flow() / float64(spec.TypicalPrompt)
	if d.prefillLimit > 0 {
		d.capacityLimit = d.capacity / (1/d.prefillLimit + seconds*float64(spec.TypicalAnswer))
	}
	return d
}

// layOut assigns layers to the engines as if each order had taken effect.
func layOut(spec *protocol.EngineSpec, engines []placement.Engine) []placement.Engine {
	for range maxPlans {
		reassignments := placement.Plan(placement.Query{Spec: spec, Engines: engines})
		if len(reassignments) == 0 {
			break
		}
		for _, r := range reassignments {
			i := slices.IndexFunc(engines, func(e placement.Engine) bool { return e.ID == r.Engine() })
			engines[i].Held, engines[i].Serving = r.Span(), r.Span()
		}
	}
	return engines
}

// requestCapacity returns how many requests of typical size fit beside the weights, limited by the
// layer whose holders together have the least free memory.
func requestCapacity(spec *protocol.EngineSpec, engines []placement.Engine) float64 {
	tokens := make([]float64, spec.Layers)
	for _, e := range engines {
		a, ok := spec.Accelerator(e.Accelerator)
		layers := float64(e.Held.Layers())
		if !ok || layers == 0 || spec.TokenLayerMB <= 0 {
			continue
		}
		free := max(0, a.MemoryMB-layers*spec.LayerMB) / (layers * spec.TokenLayerMB)
		for l := e.Held.From; l < e.Held.To; l++ {
			tokens[l] += free
		}
	}
	return slices.Min(tokens) / float64(spec.TypicalPrompt+spec.TypicalAnswer)
}

// prefillRunners returns the engines as runners whose speed is their prefill speed.
func prefillRunners(spec *protocol.EngineSpec, engines []placement.Engine) []protocol.Runner {
	var all []protocol.Runner
	for _, e := range engines {
		if a, ok := spec.Accelerator(e.Accelerator); ok && e.Held.Layers() > 0 {
			all = append(all, protocol.Runner{
				Name: e.ID, From: e.Held.From, To: e.Held.To, Speed: spec.PrefillPerSecond * float64(spec.Layers) / a.ReadFactor,
			})
		}
	}
	return all
}

// secondsPerToken returns the number of stages on the fastest path and the duration of a token over
// it while that many requests are open.
func secondsPerToken(spec *protocol.EngineSpec, engines []placement.Engine, open float64) (stages int, seconds float64) {
	best := make([]float64, spec.Layers+1)
	stageCount := make([]int, spec.Layers+1)
	for l := 1; l <= spec.Layers; l++ {
		best[l] = math.Inf(1)
		for _, e := range engines {
			a, ok := spec.Accelerator(e.Accelerator)
			if !ok || l <= e.Held.From || l > e.Held.To {
				continue
			}
			from := e.Held.From
			share := float64(l-from) / float64(spec.Layers)
			duration := best[from] + (spec.StepMS+spec.SequenceMS*open)/1000*a.StepFactor*share
			if duration < best[l] {
				best[l], stageCount[l] = duration, stageCount[from]+1
			}
		}
	}
	return stageCount[spec.Layers], best[spec.Layers]
}
