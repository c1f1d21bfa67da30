// SPDX-License-Identifier: Apache-2.0

package reroute

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
	// doubtFor is how long the effect of an order that was not answered is waited for before
	// the first engine is asked: an engine that took it sends the next event within tens of
	// milliseconds, and a report is some hundred milliseconds old.
	doubtFor = 300 * time.Millisecond
)

// progress is how far the change of a path has come.
type progress uint8

const (
	// resting: no order is under way.
	resting progress = iota
	// ordered: an order is on its way.
	ordered
	// doubted: the order was not answered and may yet be taken.
	doubted
	// asked: the first engine is asked whether the request still waits.
	asked
	// mixed: the request went on after an order in doubt, over either path.
	mixed
)

// Outcome is what an answer to an order means for the request.
type Outcome uint8

// What an answer may mean.
const (
	// Unresolved says that nothing is known yet.
	Unresolved Outcome = iota
	// PathChanged says that the request runs over the new path.
	PathChanged
	// RetryChange says that a change with another runner may be tried.
	RetryChange
	// Abandoned says that the path of the request can't be changed.
	Abandoned
)

// Tracker follows the orders to change the path of one send, one at a time. The zero value
// is one that was never ordered.
type Tracker struct {
	progress progress
	next     path.Path // the path of the latest order
	till     time.Time // when to ask what became of an order in doubt
	orders   int
	barred   bool // no further order may be given
	doubted  bool // an order that was not answered may still be taken
}

// CanStart reports whether a change may be ordered.
func (c *Tracker) CanStart() bool { return c.progress == resting && !c.barred && c.orders < ordersMost }

// Start notes that the change to a path is ordered.
func (c *Tracker) Start(p *path.Path) {
	c.progress, c.next = ordered, *p
	c.orders++
}

// Pending reports whether an order is on its way or in doubt: the request must not be sent
// elsewhere, or two paths would run it.
func (c *Tracker) Pending() bool {
	return c.progress == ordered || c.progress == doubted || c.progress == asked
}

// MayApplyLate reports whether an order that was given up may still be taken, as long as the
// send is open. It must end before the request is sent elsewhere; the engine then finds no
// such request.
func (c *Tracker) MayApplyLate() bool { return c.doubted }

// OrderedPath returns the path that was ordered, and whether it may be in use.
func (c *Tracker) OrderedPath() (*path.Path, bool) { return &c.next, c.progress != resting }

// UsesStage reports whether a stage of the path so far is surely still in use. It is not if an
// order that replaces it may have been taken.
func (c *Tracker) UsesStage(r *fleet.Runner, span protocol.Span) bool {
	return c.progress == resting && !c.doubted || c.next.HasStage(r, span)
}

// HandleAnswer takes what became of the order. After an outcome other than InDoubt it is no
// longer known under Next.
func (c *Tracker) HandleAnswer(answer protocol.PathAnswer, now time.Time) Outcome {
	if c.progress != ordered {
		return Unresolved
	}
	switch answer.(type) {
	case protocol.PathTaken:
		c.progress = resting
		return PathChanged
	case protocol.PathUnfit:
		c.progress = resting
		if c.orders < ordersMost {
			return RetryChange
		}
		return Abandoned
	case protocol.PathUnanswered:
		c.progress, c.doubted, c.barred = doubted, true, true
		c.till = now.Add(doubtFor)
		return Unresolved
	default:
		c.progress, c.barred = resting, true
		return Abandoned
	}
}

// StartQuery reports whether it is time to ask the first engine what became of an order in doubt,
// and notes that it is asked.
func (c *Tracker) StartQuery(now time.Time) bool {
	if c.progress != doubted || now.Before(c.till) {
		return false
	}
	c.progress = asked
	return true
}

// HandleReport takes what the first engine told: whether the request still waits for a runner.
// If it does, the change is given up. If it doesn't, the order may have been taken, and is in
// doubt for a while longer. An engine that does not report is taken to say that the request
// waits: the path has lost its first stage too.
func (c *Tracker) HandleReport(waits bool, now time.Time) Outcome {
	switch {
	case c.progress != asked:
		return Unresolved
	case waits:
		c.progress = resting
		return Abandoned
	default:
		c.progress = doubted
		c.till = now.Add(doubtFor)
		return Unresolved
	}
}

// HandleProgress notes that the request goes on. After an order in doubt either path may run it
// from then on.
func (c *Tracker) HandleProgress() {
	if c.progress == doubted || c.progress == asked {
		c.progress = mixed
	}
}
