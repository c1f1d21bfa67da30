// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// writeGrace is how long after its deadline a request's response may still be written to a caller
// that reads slowly.
const writeGrace = 400 * time.Millisecond

// copyHead copies an endpoint's head into the response.
func (x *exchange) copyHead(head *http.Response) {
	h := x.writer.Header()
	for name, values := range head.Header {
		h[name] = values
	}
	stripHopHeaders(h)
	x.announceClose(false)
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// announceClose tells the caller that its connection closes after this response, if the entry stops or another entry
// should get its next request.
func (x *exchange) announceClose(elsewhere bool) {
	if elsewhere || x.forwarder.closing.Load() {
		x.writer.Header().Set("Connection", "close")
	}
}

// deliver passes a whole response on to the caller.
func (x *exchange) deliver(m *responseReceived) {
	x.finished = true
	x.copyHead(m.head)
	if m.head.StatusCode != http.StatusNoContent && m.head.StatusCode != http.StatusNotModified && x.request.Method != http.MethodHead {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(m.body)))
	}
	x.setWriteDeadline()
	x.writer.WriteHeader(m.head.StatusCode)
	if !x.writeBody(m.body) {
		x.recordCallerLeft()
		return
	}
	x.recordAnswered(m.head.StatusCode)
}

// writeStreamHead passes the head of a stream on to the caller.
func (x *exchange) writeStreamHead(head *http.Response) {
	x.headSent = true
	x.copyHead(head)
	x.writer.Header().Del("Content-Length")
	x.setWriteDeadline()
	x.resetUnlessComplete(true)
	x.writer.WriteHeader(head.StatusCode)
}

// resetUnlessComplete makes the end of the caller's connection a reset as long as the stream is not complete, also if this
// process is killed: a caller by HTTP/1.0 gets no chunks and takes the end of the connection for that of the stream.
func (x *exchange) resetUnlessComplete(incomplete bool) {
	if x.caller != nil && !x.request.ProtoAtLeast(1, 1) {
		x.caller.SetReset(incomplete)
	}
}

func (x *exchange) setWriteDeadline() {
	err := http.NewResponseController(x.writer).SetWriteDeadline(clock.TimerDeadline(x.deadline.Add(writeGrace)))
	if err != nil {
		x.forwarder.log(event.CallerUnbounded, x.requestAttr(), slog.String("cause", err.Error()))
	}
}

func (x *exchange) flush() {
	if err := http.NewResponseController(x.writer).Flush(); err != nil && !x.finished {
		x.handleWriteError()
	}
}

// endStream completes a stream that ended properly.
func (x *exchange) endStream() {
	x.finished = true
	if !x.headSent {
		x.fail(protocol.Uncertain(protocol.StageFailed, "the stream had no event"))
		return
	}
	if !x.drain() {
		x.recordCallerLeft()
		return
	}
	x.resetUnlessComplete(false)
	x.recordAnswered(http.StatusOK)
}

// recordAnswered counts and logs a request with a complete response.
func (x *exchange) recordAnswered(status int) {
	f := x.forwarder
	took := clock.Since(x.begun)
	f.Counters.RecordDuration(metric.WholeAnswer, took)
	if status < http.StatusMultipleChoices {
		f.answerTimes.record(x.service.Name, clock.Since(x.sentAt))
	}
	if x.events > 1 {
		f.Counters.RecordDuration(metric.Pause, x.timing.longestPause)
	}
	f.Counters.Add(metric.AnsweredInTime, 1)
	f.log(event.RequestAnswered, x.requestAttr(), slog.Int("status", status), slog.Int("events", x.events),
		slog.Int64("took_ms", took.Milliseconds()), slog.Int("sends", x.attempts),
		slog.Int64("first_ms", x.timing.timeToFirstEvent(x.begun).Milliseconds()), slog.Int64("pause_ms", x.timing.longestPause.Milliseconds()))
}

// fail ends the request without a complete response. It aborts a stream that has begun, so that the
// stream can't look complete.
func (x *exchange) fail(r *protocol.Refusal) {
	x.finished = true
	if x.headSent {
		x.closeAttempts()
		x.flush() // the events received so far belong to the caller
		x.drain()
		x.forwarder.Counters.CountRefusal(r.Kind())
		x.forwarder.log(event.StreamCut, x.requestAttr(), slog.String("kind", string(r.Kind())), slog.Int("events", x.events),
			slog.Int64("took_ms", clock.Since(x.begun).Milliseconds()), slog.Int("sends", x.attempts))
		panic(http.ErrAbortHandler)
	}
	x.refuse(r)
}

// refusalBody encodes a refusal for the caller.
func refusalBody(r *protocol.Refusal) []byte {
	body, err := json.Marshal(struct {
		Kind    protocol.Kind `json:"kind"`
		Outcome string        `json:"outcome"`
		Message string        `json:"message"`
		Remedy  string        `json:"remedy"`
	}{r.Kind(), r.Outcome().String(), r.Message(), r.Remedy()})
	if err != nil {
		return []byte("{}") // cannot happen: the fields are strings
	}
	return body
}

// refuse responds with a refusal. Every refusal of an admitted request passes here, so no caller is told
// that its request did not run while an attempt may have run it.
func (x *exchange) refuse(r *protocol.Refusal) {
	f := x.forwarder
	x.finished = true
	if r.Outcome() == protocol.NotRun && (x.mayHaveRun || len(x.open) > 0) {
		r = protocol.Uncertain(r.Kind(), r.Message())
	}
	f.Counters.CountRefusal(r.Kind())
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	if !r.RetryAt().IsZero() {
		wait := max(0, clock.Until(r.RetryAt()).Seconds())
		h.Set("Retry-After", strconv.FormatFloat(wait, 'f', 3, 64))
	}
	x.announceClose(r.Kind() == protocol.Stopping || r.Kind() == protocol.NoConfiguration || r.Kind() == protocol.PlatformDown)
	body := refusalBody(r)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(r.Status())
	if _, err := x.writer.Write(body); err != nil {
		x.recordCallerLeft()
	}
	x.logRefusal(r)
	x.waitForRead()
}

func (x *exchange) logRefusal(r *protocol.Refusal) {
	f := x.forwarder
	details := []slog.Attr{
		x.requestAttr(), slog.String("kind", string(r.Kind())), slog.Int("status", r.Status()), slog.String("outcome", r.Outcome().String()),
		slog.String("message", r.Message()), slog.Int("sends", x.attempts), slog.Int64("took_ms", clock.Since(x.begun).Milliseconds()),
		slog.Int64("confirmed_ms", clock.Since(f.Routing.ConfirmedAt()).Milliseconds()),
	}
	if x.table != nil {
		details = append(details, slog.Uint64("routing", x.table.Version()))
	}
	f.log(event.RequestRefused, details...)
}
