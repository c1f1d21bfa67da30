// SPDX-License-Identifier: Apache-2.0

package repath

import (
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// ordersMost is how often the path of one send is changed or tried to be: each change
	// has a stage read all tokens so far, and a caller who waits for a third is better
	// served by another path.
	ordersMost = 2
	// doubtFor is how long an order that was not answered is left to show: an engine that
	// took it sends the next event within tens of milliseconds, and the report by which its
	// first engine is asked then is some hundred milliseconds old.
	doubtFor = 300 * time.Millisecond
)

// stand is how far the change of a path has come.
type stand uint8

// Resting: none is under way. Ordered: an order is on its way. Doubted: it was not
// answered and may yet be taken. Asked: the first engine is asked whether the request
// still waits. Mixed: the request went on after an order in doubt, over either path.
const (
	resting stand = iota
	ordered
	doubted
	asked
	mixed
)

// Outcome is what an answer to an order means for the request.
type Outcome uint8

// Moved: it runs over the new path. Again: another stage may be tried. Given up: its path
// can't be changed. In doubt: nothing is known yet.
const (
	InDoubt Outcome = iota
	Moved
	Again
	GivenUp
)

// Course follows the orders to change the path of one send, one at a time. The zero value
// is one that was never ordered.
type Course struct {
	stand   stand
	next    path.Path // that was ordered and not yet taken for certain
	till    time.Time // until when an order in doubt is left to show
	orders  int
	barred  bool // no further order
	doubted bool // some order may still be taken late
}

// MayBegin reports whether a change may be ordered.
func (c *Course) MayBegin() bool { return c.stand == resting && !c.barred && c.orders < ordersMost }

// Begin notes that the change to a path is ordered.
func (c *Course) Begin(p *path.Path) {
	c.stand, c.next = ordered, *p
	c.orders++
}

// Pending reports whether an order is on its way or in doubt: the request must not be sent
// elsewhere, or two paths would run it.
func (c *Course) Pending() bool { return c.stand == ordered || c.stand == doubted || c.stand == asked }

// LateOrder reports whether an order that was given up may still be taken, as long as the
// send is open. It must end before the request is sent elsewhere; the engine then finds no
// such request.
func (c *Course) LateOrder() bool { return c.doubted }

// Next returns the path that was ordered, and whether it may be in use.
func (c *Course) Next() (*path.Path, bool) { return &c.next, c.stand != resting }

// Uses reports whether a stage of the path so far is surely in use: not if an order that
// replaces it may have been taken.
func (c *Course) Uses(r *fleet.Runner, span protocol.Span) bool {
	return c.stand == resting && !c.doubted || c.next.Has(r, span)
}

// Answered takes what became of the order. After an outcome other than InDoubt it is no
// longer known under Next.
func (c *Course) Answered(answer protocol.PathAnswer, now time.Time) Outcome {
	if c.stand != ordered {
		return InDoubt
	}
	switch answer.(type) {
	case protocol.PathTaken:
		c.stand = resting
		return Moved
	case protocol.PathUnfit:
		c.stand = resting
		if c.orders < ordersMost {
			return Again
		}
		return GivenUp
	case protocol.PathUnanswered:
		c.stand, c.doubted, c.barred = doubted, true, true
		c.till = now.Add(doubtFor)
		return InDoubt
	default:
		c.stand, c.barred = resting, true
		return GivenUp
	}
}

// Ask reports whether it is time to ask the first engine what became of an order in doubt,
// and notes that it is asked.
func (c *Course) Ask(now time.Time) bool {
	if c.stand != doubted || now.Before(c.till) {
		return false
	}
	c.stand = asked
	return true
}

// Reported takes what the first engine told: whether the request still waits for a runner,
// or that nothing is known because it did not report, which a stalled request is taken for:
// its path has lost its first stage too. A request that does not wait is left alone.
func (c *Course) Reported(waits bool, now time.Time) Outcome {
	switch {
	case c.stand != asked:
		return InDoubt
	case waits:
		c.stand = resting
		return GivenUp
	default:
		c.stand = doubted
		c.till = now.Add(doubtFor)
		return InDoubt
	}
}

// Spoke takes it that the request goes on. After an order in doubt either path may run it
// from then on.
func (c *Course) Spoke() {
	if c.stand == doubted || c.stand == asked {
		c.stand = mixed
	}
}
