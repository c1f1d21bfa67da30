// SPDX-License-Identifier: Apache-2.0

package bound

import (
	"math"
	"slices"
	"strings"

	"pinerun.example/pinerun/coordination/placement"
	"pinerun.example/pinerun/protocol"
)

// plansMost bounds how often a layout is worked out anew: each plan moves every engine
// once at most.
const plansMost = 20

// DataCenter is what the engines of one data center allow, laid out as placement does.
type DataCenter struct {
	name      string
	copies    float64
	stages    int
	room      float64
	lossRoom  float64
	byRoom    float64
	byReading float64
}

// Name returns the data center's name.
func (c DataCenter) Name() string { return c.name }

// Replicas returns how often the model is held.
func (c DataCenter) Replicas() float64 { return c.copies }

// Stages returns how many engines the shortest path has.
func (c DataCenter) Stages() int { return c.stages }

// Capacity returns how many requests of usual size can be open, by the layer with the
// least memory beside its weights.
func (c DataCenter) Capacity() float64 { return c.room }

// CapacityAfterLoss returns the room after the worst loss of one engine, once its layers are
// held again.
func (c DataCenter) CapacityAfterLoss() float64 { return c.lossRoom }

// CapacityLimit returns the requests a second that the room allows: as many as it holds, over
// the time that each takes while it is full.
func (c DataCenter) CapacityLimit() float64 { return c.byRoom }

// PrefillLimit returns the requests a second whose prompts can be read.
func (c DataCenter) PrefillLimit() float64 { return c.byReading }

// RequestsPerSecond returns the requests a second that both allow.
func (c DataCenter) RequestsPerSecond() float64 { return min(c.byRoom, c.byReading) }

// Bottleneck names which of the two binds.
func (c DataCenter) Bottleneck() string {
	if c.byRoom < c.byReading {
		return "room"
	}
	return "reading"
}

// DataCenters returns what each data center allows, in order of name. Layers that a data
// center can't hold leave it with nothing.
func DataCenters(f *protocol.EngineFacts, engines []placement.Engine) []DataCenter {
	byCenter := map[string][]placement.Engine{}
	var names []string
	for _, e := range engines {
		if byCenter[e.DataCenter] == nil {
			names = append(names, e.DataCenter)
		}
		byCenter[e.DataCenter] = append(byCenter[e.DataCenter], e)
	}
	slices.SortFunc(names, strings.Compare)
	var all []DataCenter
	for _, n := range names {
		all = append(all, centerOf(f, n, byCenter[n]))
	}
	return all
}

func centerOf(f *protocol.EngineFacts, name string, engines []placement.Engine) DataCenter {
	laid := layOut(f, slices.Clone(engines))
	c := DataCenter{name: name, room: room(f, laid), lossRoom: math.Inf(1)}
	for _, e := range laid {
		c.copies += float64(e.Held.Layers()) / float64(f.Layers)
	}
	for i := range laid {
		rest := slices.Delete(slices.Clone(laid), i, i+1)
		c.lossRoom = min(c.lossRoom, room(f, layOut(f, rest)))
	}
	var seconds float64
	c.stages, seconds = secondsPerToken(f, laid, c.room)
	c.byReading = Of(f.Layers, readers(f, laid)).Flow() / float64(f.UsualPrompt)
	if c.byReading > 0 {
		c.byRoom = c.room / (1/c.byReading + seconds*float64(f.UsualAnswer))
	}
	return c
}

// layOut gives engines their layers, as if each order had taken effect.
func layOut(f *protocol.EngineFacts, engines []placement.Engine) []placement.Engine {
	for range plansMost {
		moves := placement.Plan(placement.Query{Facts: f, Engines: engines})
		if len(moves) == 0 {
			break
		}
		for _, m := range moves {
			i := slices.IndexFunc(engines, func(e placement.Engine) bool { return e.ID == m.Engine() })
			engines[i].Held, engines[i].Serving = m.Span(), m.Span()
		}
	}
	return engines
}

// room returns how many requests of usual size fit beside the weights, by the layer
// whose holders have the least memory for it together.
func room(f *protocol.EngineFacts, engines []placement.Engine) float64 {
	tokens := make([]float64, f.Layers)
	for _, e := range engines {
		a, ok := f.Accelerator(e.Accelerator)
		held := float64(e.Held.Layers())
		if !ok || held == 0 || f.TokenLayerMB <= 0 {
			continue
		}
		free := max(0, a.MemoryMB-held*f.LayerMB) / (held * f.TokenLayerMB)
		for l := e.Held.From; l < e.Held.To; l++ {
			tokens[l] += free
		}
	}
	return slices.Min(tokens) / float64(f.UsualPrompt+f.UsualAnswer)
}

// readers returns the engines as runners whose speed is that of reading prompts.
func readers(f *protocol.EngineFacts, engines []placement.Engine) []protocol.Runner {
	var all []protocol.Runner
	for _, e := range engines {
		if a, ok := f.Accelerator(e.Accelerator); ok && e.Held.Layers() > 0 {
			all = append(all, protocol.Runner{
				Name: e.ID, From: e.Held.From, To: e.Held.To, Speed: f.ReadPerSecond * float64(f.Layers) / a.ReadFactor,
			})
		}
	}
	return all
}

// secondsPerToken returns how many stages the fastest path has and how long a token
// takes over it while that many requests are open.
func secondsPerToken(f *protocol.EngineFacts, engines []placement.Engine, open float64) (stages int, seconds float64) {
	best := make([]float64, f.Layers+1)
	count := make([]int, f.Layers+1)
	for l := 1; l <= f.Layers; l++ {
		best[l] = math.Inf(1)
		for _, e := range engines {
			a, ok := f.Accelerator(e.Accelerator)
			if !ok || l <= e.Held.From || l > e.Held.To {
				continue
			}
			from := e.Held.From
			share := float64(l-from) / float64(f.Layers)
			took := best[from] + (f.StepMS+f.SequenceMS*open)/1000*a.StepFactor*share
			if took < best[l] {
				best[l], count[l] = took, count[from]+1
			}
		}
	}
	return count[f.Layers], best[f.Layers]
}
