// SPDX-License-Identifier: Apache-2.0

package place

import (
	"cmp"
	"math"
	"slices"

	"pinerun.example/pinerun/protocol"
)

const (
	// lossWeight is what a layout is worth after the loss of one of its engines, against
	// what it is worth whole: with a loss every ten seconds or so somewhere, and as long
	// until the engine is back, a data center misses an engine a third of the time.
	lossWeight = 0.35
	// soleWeight is what it costs that an engine is the only holder of some layer: every
	// request of the data center passes it, so it can't be left out while it is slow or
	// breaks answers off, which engines do a twentieth of the time.
	soleWeight = 0.04
	// noticeSeconds is how long it takes from a loss to the order that mends it, and
	// missedSeconds the time over which an outage is weighed: that of a loss.
	noticeSeconds = 1.2
	missedSeconds = 10.0
	// mendingEngines is how many engines load the layers of a hole at the same time.
	mendingEngines = 2
	// mostMissed bounds the part of that time in which nothing is served, also when a loss
	// can't be mended: the engine comes back, and other data centers serve its callers.
	mostMissed = 0.95
	// missingWeight is what a layer without a holder costs while a hole is filled.
	missingWeight = 10
	// leastRoom is the room below which a layout is not told apart from worse ones.
	leastRoom = 0.5
	// mostRequests bounds the room of one engine that counts: no more run there at once.
	mostRequests = 192
	// hopMS is what a further stage costs a token: the way there and the wait for the
	// engine's pass.
	hopMS = 0.3
)

// worth returns what a layout is worth: the logarithm of the requests a second that it
// serves, whole and after the loss of each engine. What binds is the room for requests
// at the layer where there is least of it, over the time that a request takes; a layout
// of slow engines needs more room for the same requests. It is minus infinity with a
// hole.
func (p *pool) worth() float64 {
	w := p.weigh()
	w.countSpare()
	least := w.least()
	if least <= 0 {
		return math.Inf(-1)
	}
	seconds := w.seconds(least)
	whole := math.Log(least / seconds)
	lost, sole := 0.0, 0
	for i := range p.engines {
		m := &p.engines[i]
		lost += w.afterLoss(m, least, seconds)
		if !p.doubled(m.span) {
			sole++
		}
	}
	return (1-lossWeight)*whole + lossWeight*lost/float64(len(p.engines)) - soleWeight*float64(sole)
}

// Weighed is what a layout is worth, and the terms that it follows from.
type Weighed struct {
	worth   float64
	room    float64
	seconds float64
}

// Worth returns the logarithm of the requests a second, whole and after losses.
func (w Weighed) Worth() float64 { return w.worth }

// Room returns how many requests of usual size can be open, by the layer with the least.
func (w Weighed) Room() float64 { return w.room }

// Seconds returns how long each takes while that many are open.
func (w Weighed) Seconds() float64 { return w.seconds }

// PerSecond returns the requests a second that follow.
func (w Weighed) PerSecond() float64 {
	if w.seconds <= 0 {
		return 0
	}
	return w.room / w.seconds
}

// Weigh weighs the engines of a pool as they are laid out.
func Weigh(f *protocol.EngineFacts, engines []Engine) Weighed {
	p := newPool(f, engines)
	w := p.weigh()
	room := w.least()
	if room <= 0 {
		return Weighed{worth: math.Inf(-1)}
	}
	return Weighed{worth: p.worth(), room: room, seconds: w.seconds(room)}
}

// worthMending returns what a layout with holes is worth, as if a hole's layers had
// ample room: a layer without a holder counts more than any room.
func (p *pool) worthMending() float64 {
	w := p.weigh()
	missing := 0
	least := math.Inf(1)
	for l := range w.room {
		if p.cover[l] == 0 {
			missing++
			continue
		}
		least = min(least, w.room[l])
	}
	if missing == p.layers {
		return -missingWeight * float64(missing)
	}
	least = max(least, leastRoom)
	return math.Log(least/w.seconds(least)) - missingWeight*float64(missing)
}

// weighing is what is worked out of a layout.
type weighing struct {
	facts *protocol.EngineFacts
	pool  *pool
	room  []float64           // requests that fit at each layer
	kinds [][]byLayer         // of each accelerator, at each layer
	order []int               // the accelerators, the fastest first
	spare [len(roomSteps)]int // layers that engines can take over whose own others hold too, with each room
}

// byLayer is what the engines of one accelerator that hold a layer offer together.
type byLayer struct {
	room   float64
	held   int
	shares float64 // sum of the parts of a stage that the layer is
}

// weigh works a layout out. It uses the memory of the pool's last one: a plan weighs
// hundreds.
func (p *pool) weigh() *weighing {
	if p.weighed == nil || len(p.weighed.room) != p.layers {
		p.weighed = newWeighing(p.facts)
	}
	w := p.weighed
	w.pool = p
	w.spare = [len(roomSteps)]int{}
	clear(w.room)
	for k := range w.kinds {
		clear(w.kinds[k])
	}
	w.count()
	return w
}

func newWeighing(f *protocol.EngineFacts) *weighing {
	w := &weighing{facts: f, room: make([]float64, f.Layers), kinds: make([][]byLayer, len(f.Accelerators)), order: make([]int, len(f.Accelerators))}
	for k := range w.kinds {
		w.kinds[k] = make([]byLayer, f.Layers)
		w.order[k] = k
	}
	slices.SortFunc(w.order, func(a, b int) int {
		return cmp.Compare(f.Accelerators[a].StepFactor, f.Accelerators[b].StepFactor)
	})
	return w
}

func (w *weighing) count() {
	p := w.pool
	for i := range p.engines {
		m := &p.engines[i]
		layers := m.span.Layers()
		if layers == 0 {
			continue
		}
		room := w.roomOf(m)
		for l := max(0, m.span.From); l < min(m.span.To, p.layers); l++ {
			w.room[l] += room
			at := &w.kinds[m.kind][l]
			at.room += room
			at.held++
			at.shares += 1 / float64(layers)
		}
	}
}

// roomOf returns how many requests of usual size fit into an engine beside its layers.
func (w *weighing) roomOf(m *member) float64 {
	layers := float64(m.span.Layers())
	usual := float64(w.facts.UsualPrompt + w.facts.UsualAnswer)
	if layers == 0 || w.facts.TokenLayerMB <= 0 || usual == 0 {
		return 0
	}
	room := (m.memoryMB - layers*w.facts.LayerMB) / (layers * w.facts.TokenLayerMB * usual)
	return min(max(0, room), mostRequests)
}

// least returns the least room of the layers.
func (w *weighing) least() float64 { return slices.Min(w.room) }

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
func (w *weighing) afterLoss(m *member, least, seconds float64) float64 {
	own := w.roomOf(m)
	rest, hole := math.Inf(1), 0
	for l := range w.room {
		left := w.room[l]
		if l >= m.span.From && l < m.span.To {
			left -= own
			if w.pool.cover[l] < 2 {
				hole++
				continue
			}
		}
		rest = min(rest, left)
	}
	if hole == 0 {
		return math.Log(max(rest, 1) / seconds)
	}
	f := w.facts
	mended := min(rest, float64(w.roomToMend(m, hole)))
	missed := (noticeSeconds + float64(hole)/float64(f.Layers)*f.LoadMS/1000/mendingEngines) / missedSeconds
	return math.Log(max(mended*(1-min(mostMissed, missed)), least*(1-mostMissed)) / seconds)
}

// roomToMend returns the largest room for requests that engines can keep which take the
// layers of a lost one over: those whose layers others hold too, wherever they are, and
// those beside it as far as they have memory left. It is 0 if they can't.
func (w *weighing) roomToMend(lost *member, hole int) int {
	for i := len(roomSteps) - 1; i >= 0; i-- {
		room := roomSteps[i]
		if hole <= w.spare[i]+w.beside(lost.span.From, room, false)+w.beside(lost.span.To, room, true) {
			return room
		}
	}
	return 0
}

// beside returns how many layers the engine that ends or begins at a layer can take
// beside its own, with that room.
func (w *weighing) beside(at, room int, begins bool) int {
	most := 0
	for i := range w.pool.engines {
		m := &w.pool.engines[i]
		if m.span.Layers() == 0 || begins && m.span.From != at || !begins && m.span.To != at {
			continue
		}
		most = max(most, w.pool.fitting(m, room)-m.span.Layers())
	}
	return most
}

// countSpare adds up, for each room, how many layers the engines can take whose own
// layers others hold too.
func (w *weighing) countSpare() {
	p := w.pool
	for i := range p.engines {
		m := &p.engines[i]
		if !p.doubled(m.span) {
			continue
		}
		for r, room := range roomSteps {
			w.spare[r] += p.fitting(m, room)
		}
	}
}
