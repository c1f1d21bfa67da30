// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// weighing is what is worked out of a layout.
type weighing struct {
	facts *protocol.EngineFacts
	pool  *pool
	room  []float64             // requests that fit at each layer
	kinds [][]byLayer           // of each accelerator, at each layer
	order []int                 // the accelerators, the fastest first
	fits  [][len(roomSteps)]int // layers that an engine of each accelerator holds, with each room
	spare [len(roomSteps)]int   // layers that engines can take over whose own others hold too, with each room
	// below and above are the least room of the layers before a layer and from it on.
	below, above []float64
	// ending and beginning are how many layers the engine that ends or begins at a layer
	// can take beside its own, with each room.
	ending, beginning [][len(roomSteps)]int
}

// byLayer is what the engines of one accelerator that hold a layer offer together.
type byLayer struct {
	room   float64
	held   int
	shares float64 // sum of the parts of a stage that the layer is
}

// weighing returns the memory in which layouts of the pool are weighed: a plan weighs
// hundreds, one after the other.
func (p *pool) weighing() *weighing {
	if p.weighed == nil || len(p.weighed.room) != p.layers {
		p.weighed = newWeighing(p.facts)
	}
	return p.weighed
}

// weigh works a layout out. The result holds until the next is weighed.
func (p *pool) weigh() *weighing {
	w := p.weighing()
	w.pool = p
	clear(w.room)
	for k := range w.kinds {
		clear(w.kinds[k])
	}
	w.count()
	w.bound()
	return w
}

func newWeighing(f *protocol.EngineFacts) *weighing {
	w := &weighing{
		facts: f, room: make([]float64, f.Layers),
		kinds: make([][]byLayer, len(f.Accelerators)),
		order: make([]int, len(f.Accelerators)),
		fits:  make([][len(roomSteps)]int, len(f.Accelerators)),
		below: make([]float64, f.Layers+1), above: make([]float64, f.Layers+1),
		ending: make([][len(roomSteps)]int, f.Layers+1), beginning: make([][len(roomSteps)]int, f.Layers+1),
	}
	for k := range w.kinds {
		w.kinds[k] = make([]byLayer, f.Layers)
		w.order[k] = k
		for r, room := range roomSteps {
			w.fits[k][r] = LayerCapacity(f, f.Accelerators[k].MemoryMB, float64((f.UsualPrompt+f.UsualAnswer)*room))
		}
	}
	slices.SortFunc(w.order, func(a, b int) int {
		return cmp.Compare(f.Accelerators[a].StepFactor, f.Accelerators[b].StepFactor)
	})
	return w
}

func (w *weighing) count() {
	p := w.pool
	for i := range p.groups {
		g := &p.groups[i]
		layers := g.span.Layers()
		if layers == 0 {
			continue
		}
		n := float64(g.engines)
		room := n * w.roomOf(g)
		for l := max(0, g.span.From); l < min(g.span.To, p.layers); l++ {
			w.room[l] += room
			at := &w.kinds[g.kind][l]
			at.room += room
			at.held += g.engines
			at.shares += n / float64(layers)
		}
	}
}

// roomOf returns how many requests of usual size fit into each engine beside its layers.
func (w *weighing) roomOf(g *group) float64 {
	layers := float64(g.span.Layers())
	usual := float64(w.facts.UsualPrompt + w.facts.UsualAnswer)
	if layers == 0 || w.facts.TokenLayerMB <= 0 || usual == 0 {
		return 0
	}
	room := (g.memoryMB - layers*w.facts.LayerMB) / (layers * w.facts.TokenLayerMB * usual)
	return min(max(0, room), mostRequests)
}

// least returns the least room of the layers.
func (w *weighing) least() float64 { return w.below[len(w.room)] }

// seconds returns how long a request of usual size takes while that many are open, each
// layer's fastest holders full before slower ones take any.
func (w *weighing) seconds(open float64) float64 {
	f := w.facts
	perToken, perPrompt := 0.0, 0.0
	for l := range w.room {
		left := open
		for _, k := range w.order {
			at := &w.kinds[k][l]
			taken := min(left, at.room)
			if taken <= 0 {
				continue
			}
			left -= taken
			part := taken / open
			step := f.StepMS + f.SequenceMS*taken/float64(at.held)
			perToken += part * (f.Accelerators[k].StepFactor*step/float64(f.Layers) + hopMS*at.shares/float64(at.held))
			perPrompt += part * f.Accelerators[k].ReadFactor / float64(f.Layers)
		}
	}
	reading := 0.0
	if f.ReadPerSecond > 0 {
		reading = perPrompt * float64(f.UsualPrompt) / f.ReadPerSecond
	}
	return max(1e-6, perToken/1000*float64(f.UsualAnswer)+reading)
}

// afterLoss returns what the layout is worth without an engine: with the room of the
// other holders where there are any; otherwise with what memory is left once the hole is
// filled, less the time until then.
func (w *weighing) afterLoss(g *group, least, seconds float64) float64 {
	own := w.roomOf(g)
	from, to := max(0, g.span.From), min(g.span.To, w.pool.layers)
	rest, hole := least, 0
	if from < to {
		rest = min(w.below[from], w.above[to])
	}
	for l := from; l < to; l++ {
		if w.pool.cover[l] < 2 {
			hole++
			continue
		}
		rest = min(rest, w.room[l]-own)
	}
	if hole == 0 {
		return math.Log(max(rest, 1) / seconds)
	}
	f := w.facts
	mended := min(rest, float64(w.roomToMend(g, hole)))
	missed := (noticeSeconds + float64(hole)/float64(f.Layers)*f.LoadMS/1000/mendingEngines) / missedSeconds
	return math.Log(max(mended*(1-min(mostMissed, missed)), least*(1-mostMissed)) / seconds)
}

// roomToMend returns the largest room for requests that engines can keep which take the
// layers of a lost one over: those whose layers others hold too, wherever they are, and
// those beside it as far as they have memory left. It is 0 if they can't.
func (w *weighing) roomToMend(lost *group, hole int) int {
	before := &w.ending[max(0, lost.span.From)]
	after := &w.beginning[min(lost.span.To, w.pool.layers)]
	for i := len(roomSteps) - 1; i >= 0; i-- {
		if hole <= w.spare[i]+before[i]+after[i] {
			return roomSteps[i]
		}
	}
	return 0
}

// prepare works out what afterLoss needs of all layers and engines.
func (w *weighing) prepare() {
	w.spare = [len(roomSteps)]int{}
	clear(w.ending)
	clear(w.beginning)
	for i := range w.pool.groups {
		g := &w.pool.groups[i]
		if w.pool.doubled(g.span) {
			w.countSpare(g)
		}
		w.countBeside(g)
	}
}

// bound works out the least room before and after each layer.
func (w *weighing) bound() {
	n := len(w.room)
	w.below[0], w.above[n] = math.Inf(1), math.Inf(1)
	for l := range n {
		w.below[l+1] = min(w.below[l], w.room[l])
	}
	for l := n - 1; l >= 0; l-- {
		w.above[l] = min(w.above[l+1], w.room[l])
	}
}

// countSpare adds, for each room, how many layers engines can take whose own layers
// others hold too.
func (w *weighing) countSpare(g *group) {
	for r := range roomSteps {
		w.spare[r] += g.engines * w.fits[g.kind][r]
	}
}

// countBeside notes, for each room, how many layers an engine can take beside its own.
func (w *weighing) countBeside(g *group) {
	layers := g.span.Layers()
	if layers == 0 || g.span.From < 0 || g.span.To > w.pool.layers {
		return
	}
	ending, beginning := &w.ending[g.span.To], &w.beginning[g.span.From]
	for r := range roomSteps {
		more := w.fits[g.kind][r] - layers
		ending[r] = max(ending[r], more)
		beginning[r] = max(beginning[r], more)
	}
}
