// SPDX-License-Identifier: Apache-2.0

package reroute

import (
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// maxOrders is how often a change of the path of one attempt is ordered. Each change makes a
	// stage prefill all tokens processed so far, and a caller that would wait for a third change is
	// better served by another path.
	maxOrders = 2
	// queryDelay is how long to wait for the effect of an unanswered order before the first engine
	// is asked. An engine that took the order sends the next event within tens of milliseconds, and
	// a report is some hundred milliseconds old.
	queryDelay = 300 * time.Millisecond
)

// progress is the state of a change of path.
type progress uint8

const (
	// idle: no order is pending.
	idle progress = iota
	// ordered: an order has been sent and not answered yet.
	ordered
	// unresolved: the order got no answer and may still be applied.
	unresolved
	// queried: the first engine has been asked whether the request still waits.
	queried
	// eitherPath: the request continued after an unresolved order, over the old or the new path.
	eitherPath
)

// Outcome is what an answer to an order means for the request.
type Outcome uint8

// The outcomes of an answer.
const (
	// Unresolved says that the effect of the order is not known yet.
	Unresolved Outcome = iota
	// PathChanged says that the request runs over the new path.
	PathChanged
	// RetryChange says that a change with another runner may be tried.
	RetryChange
	// Abandoned says that the path of the request can't be changed.
	Abandoned
)

// Tracker tracks the orders to change the path of one attempt, one order at a time. Its zero value
// is an attempt without orders.
type Tracker struct {
	progress     progress
	orderedPath  path.Path // path of the latest order
	queryAt      time.Time // when to ask for the effect of an unresolved order
	orders       int
	closed       bool // no further order may be given
	mayApplyLate bool // an unanswered order may still be applied
}

// CanStart reports whether a change of path may be ordered.
func (t *Tracker) CanStart() bool { return t.progress == idle && !t.closed && t.orders < maxOrders }

// Start records that a change to a path is ordered.
func (t *Tracker) Start(p *path.Path) {
	t.progress, t.orderedPath = ordered, *p
	t.orders++
}

// Pending reports whether an order is sent or unresolved. Until it is settled, the request must not
// be sent over another path, or two paths would run it.
func (t *Tracker) Pending() bool {
	return t.progress == ordered || t.progress == unresolved || t.progress == queried
}

// MayApplyLate reports whether the engine may still apply an order that was abandoned, as long as
// the attempt is open. The attempt must end before the request is sent over another path. The
// engine then finds no such request.
func (t *Tracker) MayApplyLate() bool { return t.mayApplyLate }

// OrderedPath returns the path of the latest order, and whether it may be in use.
func (t *Tracker) OrderedPath() (*path.Path, bool) { return &t.orderedPath, t.progress != idle }

// UsesStage reports whether a stage of the path so far is certain to be still in use. It is not if
// an order that replaces it may have been applied.
func (t *Tracker) UsesStage(r *fleet.Runner, span protocol.Span) bool {
	return t.progress == idle && !t.mayApplyLate || t.orderedPath.HasStage(r, span)
}

// HandleAnswer records the answer to the order and returns its outcome. After an outcome other than
// Unresolved, OrderedPath no longer reports the path as in use.
func (t *Tracker) HandleAnswer(answer protocol.PathAnswer, now time.Time) Outcome {
	if t.progress != ordered {
		return Unresolved
	}
	switch answer.(type) {
	case protocol.PathAccepted:
		t.progress = idle
		return PathChanged
	case protocol.PathStageUnavailable:
		t.progress = idle
		if t.orders < maxOrders {
			return RetryChange
		}
		return Abandoned
	case protocol.PathUnanswered:
		t.progress, t.mayApplyLate, t.closed = unresolved, true, true
		t.queryAt = now.Add(queryDelay)
		return Unresolved
	default:
		t.progress, t.closed = idle, true
		return Abandoned
	}
}

// StartQuery reports whether it is time to ask the first engine for the effect of an unresolved
// order. If so, it records that the engine is asked.
func (t *Tracker) StartQuery(now time.Time) bool {
	if t.progress != unresolved || now.Before(t.queryAt) {
		return false
	}
	t.progress = queried
	return true
}

// HandleReport records what the first engine reported: whether the request still waits for a
// runner. If it waits, the change is abandoned. Otherwise the order may have been applied, and
// stays unresolved for another queryDelay. An engine that does not report counts as one where the
// request waits, since the path has lost its first stage too.
func (t *Tracker) HandleReport(waits bool, now time.Time) Outcome {
	switch {
	case t.progress != queried:
		return Unresolved
	case waits:
		t.progress = idle
		return Abandoned
	default:
		t.progress = unresolved
		t.queryAt = now.Add(queryDelay)
		return Unresolved
	}
}

// HandleProgress records that the request continues. After an unresolved order, either path may run
// it from then on.
func (t *Tracker) HandleProgress() {
	if t.progress == unresolved || t.progress == queried {
		t.progress = eitherPath
	}
}
