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

// writeChunkBytes is how many bytes of a whole response are written before the caller must have
// read all of them, so that at most twice as much is buffered for one caller.
const writeChunkBytes = 32 << 10

// refusalReadTimeout is how long a refusal waits for a caller that does not read. Refusals are
// short, so only those wait whose callers have left earlier responses unread.
const refusalReadTimeout = 10 * time.Second

// incoming returns the channel of the attempts' messages, nil while the exchange is paused.
func (x *exchange) incoming() <-chan message {
	if x.paused {
		return nil
	}
	return x.messages
}

// callerUpdates returns the channel that signals that the caller read or that its connection
// failed.
func (x *exchange) callerUpdates() <-chan struct{} {
	if x.caller == nil {
		return nil
	}
	return x.caller.Progress()
}

// checkCaller reacts to whether the caller keeps up with its stream. Bytes that are buffered before
// the stream has begun belong to the previous response on the connection.
func (x *exchange) checkCaller(now time.Time) {
	if x.finished || !x.headSent {
		return
	}
	if x.caller.Err() != nil {
		x.handleWriteError()
		return
	}
	d := x.caller.Decide(now)
	if x.parked != nil {
		x.checkParked(d, now)
		return
	}
	switch d := d.(type) {
	case pressure.Continue:
		x.resumeReading(now)
	case pressure.Pause:
		x.pauseReading(d, now)
	case pressure.DropAttempt:
		x.park(now)
	case pressure.Abort:
		x.failForMemory()
	}
}

// resumeReading ends the pause: messages of attempts are received again.
func (x *exchange) resumeReading(now time.Time) {
	if !x.paused {
		return
	}
	x.paused = false
	x.timing.lastEvent = now // the silence was caused by this entry, not by the engine
	x.timing.restart(now)
}

// pauseReading pauses the exchange. Attempts that can't deliver messages stop reading from their
// engines.
func (x *exchange) pauseReading(d pressure.Pause, now time.Time) {
	if !x.paused {
		x.paused = true
		x.flush()
		x.forwarder.Counters.Add(metric.PressureStopped, 1)
		x.forwarder.log(event.AnswerStopped, x.requestAttr(), slog.Int64("waiting_bytes", x.caller.Held()), slog.Int("events", x.events))
	}
	x.recheckAt = x.deadline
	if d.Until().After(now) && d.Until().Before(x.deadline) {
		x.recheckAt = d.Until()
	}
}

// park closes the open attempt before its engine, whose response is left unread, cuts it off. The
// stream continues elsewhere after the last event written, once the caller has read that.
func (x *exchange) park(now time.Time) {
	if len(x.open) == 0 {
		x.recheckAt = x.deadline
		return
	}
	x.parked = x.open[0]
	x.closeAttempts()
	x.recheckAt = x.deadline
	x.forwarder.Counters.Add(metric.PressureDropped, 1)
	x.checkCaller(now)
}

// checkParked sends the request elsewhere once the caller has read everything. An earlier attempt
// would waste a prefill on a caller that reads an event now and then.
func (x *exchange) checkParked(d pressure.Decision, now time.Time) {
	if _, aborted := d.(pressure.Abort); aborted {
		x.failForMemory()
		return
	}
	if _, canContinue := d.(pressure.Continue); !canContinue || x.caller.Held() > 0 {
		return
	}
	a := x.parked
	x.parked = nil
	x.resumeReading(now)
	x.mayHaveRun = true
	x.retryOrFinish(a, retry.Broken, nil, now)
}

// handleWriteError ends a stream whose caller's connection can no longer be written to.
func (x *exchange) handleWriteError() {
	if x.caller != nil && errors.Is(x.caller.Err(), backlog.ErrOverBudget) {
		x.failForMemory()
		return
	}
	x.recordCallerLeft()
	x.finished = true
}

// failForMemory aborts the response, because the budget gave its memory to others.
func (x *exchange) failForMemory() {
	x.fail(protocol.Uncertain(protocol.CallerGone, "the caller did not read its answer, and its room was needed"))
}

// writeBody writes a whole response as fast as its caller reads, and reports whether the caller
// read all of it.
func (x *exchange) writeBody(body []byte) bool {
	for len(body) > writeChunkBytes {
		if _, err := x.writer.Write(body[:writeChunkBytes]); err != nil {
			return false
		}
		body = body[writeChunkBytes:]
		if !x.drain() {
			return false
		}
	}
	if _, err := x.writer.Write(body); err != nil || !x.flushAll() {
		return false
	}
	return x.drain()
}

// flushAll passes what the server buffers on to the connection, and reports whether that took it. The server writes a short
// answer only after its handler has returned, when nobody notices that the connection has ended.
func (x *exchange) flushAll() bool {
	err := http.NewResponseController(x.writer).Flush()
	return err == nil || errors.Is(err, http.ErrNotSupported)
}

// drain waits until the caller has read what is buffered for it, and reports whether it did. The
// write deadline bounds the wait. A caller that shut down its sending side may still read.
func (x *exchange) drain() bool {
	if x.caller == nil || x.caller.Held() == 0 {
		return true
	}
	x.flush()
	for x.caller.Held() > 0 && x.caller.Err() == nil {
		<-x.caller.Progress()
	}
	return x.caller.Err() == nil
}

// tagCallerConn tells the caller's connection whose response it carries. The connection of a
// request that is not admitted belongs to no team and gives way first: otherwise callers without a
// key would displace callers with one.
func (x *exchange) tagCallerConn(admitted bool) {
	switch {
	case x.caller == nil:
	case admitted:
		x.caller.Assign(x.teamName(), x.urgency(), x.route.Resumable && x.mayRepeat())
	default:
		x.caller.Assign("", protocol.LeastUrgent, true)
	}
}

// waitForRead waits until the caller has read a refusal. Otherwise a caller that sends requests one
// after the other and reads nothing could fill the whole budget with refusals.
func (x *exchange) waitForRead() {
	if x.caller == nil {
		return
	}
	rc := http.NewResponseController(x.writer)
	_ = rc.SetWriteDeadline(time.Now().Add(refusalReadTimeout)) // fails only if the connection has failed
	if rc.Flush() == nil {
		x.drain()
	}
}
