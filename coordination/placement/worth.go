// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"

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
	least := w.least()
	if least <= 0 {
		return math.Inf(-1)
	}
	w.prepare()
	seconds := w.seconds(least)
	whole := math.Log(least / seconds)
	lost, sole := 0.0, 0
	for i := range p.groups {
		g := &p.groups[i]
		lost += float64(g.engines) * w.afterLoss(g, least, seconds)
		if !p.doubled(g.span) {
			sole += g.engines
		}
	}
	return (1-lossWeight)*whole + lossWeight*lost/float64(len(p.engines)) - soleWeight*float64(sole)
}

// Evaluation is what a layout is worth, and the terms that it follows from.
type Evaluation struct {
	worth   float64
	room    float64
	seconds float64
}

// Score returns the logarithm of the requests a second, whole and after losses.
func (w Evaluation) Score() float64 { return w.worth }

// Capacity returns how many requests of usual size can be open, by the layer with the least.
func (w Evaluation) Capacity() float64 { return w.room }

// RequestSeconds returns how long each takes while that many are open.
func (w Evaluation) RequestSeconds() float64 { return w.seconds }

// RequestsPerSecond returns the requests a second that follow.
func (w Evaluation) RequestsPerSecond() float64 {
	if w.seconds <= 0 {
		return 0
	}
	return w.room / w.seconds
}

// Evaluate weighs the engines of a pool as they are laid out.
func Evaluate(f *protocol.EngineFacts, engines []Engine) Evaluation {
	p := newPool(f, engines)
	w := p.weigh()
	room := w.least()
	if room <= 0 {
		return Evaluation{worth: math.Inf(-1)}
	}
	return Evaluation{worth: p.worth(), room: room, seconds: w.seconds(room)}
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
