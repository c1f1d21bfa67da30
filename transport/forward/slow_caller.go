// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"pinerun.example/pinerun/coordination/pressure"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
)

// pourBytes is how much of a whole answer is written before its caller must have taken all
// of it, in bytes, so that no more than twice as much waits for one caller.
const pourBytes = 32 << 10

// refusalMost is how long a refusal waits for a caller that does not read. It is short, so
// only those wait whose callers have left answers before it unread.
const refusalMost = 10 * time.Second

// incoming returns the channel of what attempts tell, nil while the exchange is paused.
func (x *exchange) incoming() <-chan message {
	if x.paused {
		return nil
	}
	return x.messages
}

// callerNews returns the channel that signals that the caller read or that its connection
// failed.
func (x *exchange) callerNews() <-chan struct{} {
	if x.caller == nil {
		return nil
	}
	return x.caller.Progress()
}

// heed acts on whether the caller keeps up with its stream. Bytes that wait before the
// stream has begun belong to the connection's answer before.
func (x *exchange) heed(now time.Time) {
	if x.finished || !x.headSent {
		return
	}
	if x.caller.Err() != nil {
		x.writeFailed()
		return
	}
	d := x.caller.Decide(now)
	if x.parked != nil {
		x.heedParked(d, now)
		return
	}
	switch d := d.(type) {
	case pressure.Continue:
		x.readOn(now)
	case pressure.Pause:
		x.stopReading(d, now)
	case pressure.DropAttempt:
		x.park(now)
	case pressure.Abort:
		x.endForRoom()
	}
}

// readOn ends the pause: what attempts tell is taken again.
func (x *exchange) readOn(now time.Time) {
	if !x.paused {
		return
	}
	x.paused = false
	x.rhythm.last = now // the silence was this entry's, not the engine's
	x.rhythm.restart(now)
}

// stopReading pauses the exchange. Attempts that can't tell it anything stop reading their
// engines.
func (x *exchange) stopReading(d pressure.Pause, now time.Time) {
	if !x.paused {
		x.paused = true
		x.flush()
		x.forwarder.Counters.Add(metric.PressureStopped, 1)
		x.forwarder.log(event.AnswerStopped, x.id(), slog.Int64("waiting_bytes", x.caller.Held()), slog.Int("events", x.events))
	}
	x.lookAt = x.deadline
	if d.Until().After(now) && d.Until().Before(x.deadline) {
		x.lookAt = d.Until()
	}
}

// park ends the open attempt before its engine, which is left unread, cuts it off. The
// stream goes on elsewhere after the last event written, once the caller has read that.
func (x *exchange) park(now time.Time) {
	if len(x.live) == 0 {
		x.lookAt = x.deadline
		return
	}
	x.parked = x.live[0]
	x.stopAll()
	x.lookAt = x.deadline
	x.forwarder.Counters.Add(metric.PressureDropped, 1)
	x.heed(now)
}

// heedParked sends the request elsewhere once the caller has read everything. Sooner would
// waste the reading of the prompt on a caller that takes an event now and then.
func (x *exchange) heedParked(d pressure.Decision, now time.Time) {
	if _, ended := d.(pressure.Abort); ended {
		x.endForRoom()
		return
	}
	if _, free := d.(pressure.Continue); !free || x.caller.Held() > 0 {
		return
	}
	a := x.parked
	x.parked = nil
	x.readOn(now)
	x.mayHave = true
	x.goOn(a, retry.Broken, nil, now)
}

// writeFailed ends a stream whose caller's connection can't be written to any more.
func (x *exchange) writeFailed() {
	if x.caller != nil && errors.Is(x.caller.Err(), backlog.ErrOverBudget) {
		x.endForRoom()
		return
	}
	x.callerLeft()
	x.finished = true
}

// endForRoom breaks the answer off, because the budget gave its room to others.
func (x *exchange) endForRoom() {
	x.finish(protocol.Uncertain(protocol.CallerGone, "the caller did not read its answer, and its room was needed"))
}

// pour writes a whole answer as fast as its caller reads, and reports whether the caller
// took all of it.
func (x *exchange) pour(body []byte) bool {
	for len(body) > pourBytes {
		if _, err := x.writer.Write(body[:pourBytes]); err != nil {
			return false
		}
		body = body[pourBytes:]
		if !x.drained() {
			return false
		}
	}
	if _, err := x.writer.Write(body); err != nil {
		return false
	}
	return x.drained()
}

// drained waits until the caller has taken what waits for it, and reports whether it did.
// The write deadline bounds the wait.
func (x *exchange) drained() bool {
	if x.caller == nil || x.caller.Held() == 0 {
		return true
	}
	x.flush()
	for x.caller.Held() > 0 && x.caller.Err() == nil {
		select {
		case <-x.caller.Progress():
		case <-x.request.Context().Done():
			return false
		}
	}
	return x.caller.Err() == nil
}

// serve tells the caller's connection whose answer it carries. One that is not admitted is
// nobody's, and gives way first: else callers without a key would displace those with one.
func (x *exchange) serve(admitted bool) {
	switch {
	case x.caller == nil:
	case admitted:
		x.caller.Assign(x.teamName(), x.urgency(), x.route.Resumable && x.route.MayRepeat())
	default:
		x.caller.Assign("", mostUrgency, true)
	}
}

// awaitTaken waits until the caller has taken a refusal. Otherwise who sends requests one
// behind the other and reads nothing has a refusal of each held, as much as the budget is.
func (x *exchange) awaitTaken() {
	if x.caller == nil {
		return
	}
	rc := http.NewResponseController(x.writer)
	_ = rc.SetWriteDeadline(time.Now().Add(refusalMost)) // fails only once the connection has
	if rc.Flush() == nil {
		x.drained()
	}
}
