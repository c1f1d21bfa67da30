// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/stream"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/trace"
	"pinerun.example/pinerun/transport/engine"
)

// tokenSink receives the tokens of a response, each exactly once and in order.
type tokenSink interface{ writeToken(t int32) error }

// modelRun runs one model request on the runners until its response is complete
// or the request fails.
type modelRun struct {
	entry      *Entry
	id         protocol.RequestID
	model      protocol.Model
	repeatable bool
	deadline   time.Time // on the clock of clock.Now
	trace      *trace.Trace
	sink       tokenSink
	slot       *slot

	machine     stream.Machine
	mailbox     *engine.Mailbox
	rand        *rand.Rand
	excluded    []*fleet.Runner
	attempts    int
	mayHaveRun  bool // an engine may have run a step
	replyTimer  *time.Timer
	inFlight    []inFlightStep // steps that await a reply
	backlog     []int64        // layer passes added to the backlog of each stage's runner
	pathCounter uint64
	failedAt    time.Time // when a step failed; zero once the next token has arrived
	lastTokenAt time.Time // when the last token arrived

	call            *call
	messages        *protocol.ChatRequest
	workFingerprint protocol.Fingerprint   // zero until fingerprint computes it
	parts           []protocol.Fingerprint // of the messages that other requests may share, nil until sharedParts computes them
	isolatedOn      *fleet.Runner          // the runner reserved for an isolated run, nil for none
	firstTokenAt    time.Time              // when the first token arrived, on the clock of clock.Now
	safeReported    bool                   // peers have a report that the work ran well
	partsRecorded   bool                   // this entry has recorded that the messages ran well
}

// serve runs the request. A returned error is a Refusal whose outcome covers all
// attempts.
func (m *modelRun) serve(ctx context.Context, prompt []int32, limit int, priority uint8) error {
	m.machine.Open(m.id, m.model.Layers, prompt, limit, priority)
	m.mailbox = engine.NewMailbox()
	m.rand = rand.New(rand.NewPCG(uint64(m.id), 0))
	m.pathCounter = uint64(m.id)
	m.replyTimer = time.NewTimer(time.Hour)
	defer m.replyTimer.Stop()
	defer m.cancelPath()
	defer m.endIsolatedRun()
	m.entry.retryBudget.recordFirst()
	if err := m.startAttempt(ctx); err != nil {
		return err
	}
	for {
		finished, err := m.handleNext(ctx)
		if finished || err != nil {
			return err
		}
	}
}

// startAttempt chooses a path and dispatches the first step of a new attempt.
func (m *modelRun) startAttempt(ctx context.Context) error {
	m.attempts++
	p, err := m.awaitPath(ctx)
	if err != nil {
		return err
	}
	m.trace.Add(time.Now(), trace.Path, runnerNames(&p))
	m.startIsolatedRun(&p)
	first := m.machine.Begin(&p)
	m.addBacklog(&p)
	m.dispatch(first)
	return nil
}

// pathPolicy returns the path policy that the settings name.
func (m *modelRun) pathPolicy() path.Policy {
	switch m.entry.Settings.PathPolicy {
	case "report":
		return path.LowestReportedLoad{}
	case "turn":
		return path.RoundRobin{Counter: &m.pathCounter}
	case "chance":
		return path.Random{}
	case "chain":
		return path.FixedPipeline{Index: &m.pathCounter}
	default:
		return path.LowestCost{}
	}
}

// noPath returns the refusal for a layer that no usable runner holds.
func (m *modelRun) noPath(layer int) error {
	message := "no usable runner holds layer " + itoa(layer) + " of model " + m.model.Name
	retryAt := time.Now().Add(time.Second)
	if m.mayHaveRun {
		return protocol.Uncertain(protocol.NoPath, message).WithRetryAt(retryAt)
	}
	return protocol.Refuse(protocol.NoPath, message).WithRetryAt(retryAt)
}

// runnerNames returns the names of the runners on a path, separated by spaces.
func runnerNames(p *path.Path) string {
	names := make([]string, p.Len())
	for i := range names {
		names[i] = p.Runner(i).Name()
	}
	return strings.Join(names, " ")
}

// handleNext waits for the next arrival, timeout or cancellation and handles it.
func (m *modelRun) handleNext(ctx context.Context) (finished bool, err error) {
	select {
	case a := <-m.mailbox.Arrivals():
		return m.handleArrival(ctx, a)
	case <-m.replyTimer.C:
		return false, m.checkOverdue(ctx)
	case <-ctx.Done():
		return false, m.abort(ctx)
	}
}

func (m *modelRun) handleArrival(ctx context.Context, a engine.Arrival) (finished bool, err error) {
	switch a := a.(type) {
	case engine.Replied:
		return m.handleReply(ctx, a)
	case engine.ConnectionLost:
		inFlight, pending := m.removeInFlight(a.From())
		if !pending {
			return false, nil // a runner of an earlier attempt
		}
		m.mayHaveRun = m.mayHaveRun || a.Sent()
		if a.Sent() {
			m.reportConnectionLost(a.From(), a.Incarnation(), inFlight.step.SentAt)
		}
		m.entry.detectionTimes.Record(time.Since(inFlight.step.SentAt))
		reason := metric.StreamError
		if !a.Sent() {
			reason = metric.NotSent
		}
		return false, m.retry(ctx, reason, a.From())
	}
	return false, nil
}

func (m *modelRun) handleReply(ctx context.Context, a engine.Replied) (finished bool, err error) {
	d := m.machine.HandleReply(a.From(), a.Reply())
	if _, ignored := d.(stream.Ignore); !ignored {
		m.removeInFlight(a.From())
		m.reduceBacklog(a.From(), a.Reply().Count)
	}
	return m.applyDecision(ctx, d)
}

// applyDecision carries out what the stream machine decided on a reply.
func (m *modelRun) applyDecision(ctx context.Context, d stream.Decision) (finished bool, err error) {
	switch d := d.(type) {
	case stream.Dispatches:
		m.mayHaveRun = true
		for _, s := range d.All() {
			m.dispatch(s)
		}
	case stream.Emit:
		m.mayHaveRun = true
		if err := m.emitToken(d.Token()); err != nil {
			return false, err
		}
		m.dispatch(d.Next())
	case stream.Finish:
		m.mayHaveRun = true
		m.reportSafe()
		if t, ok := d.Token(); ok {
			return true, m.emitToken(t)
		}
		return true, nil
	case stream.Restart:
		return false, m.handleRestart(ctx, d)
	case stream.Ignore:
		m.entry.counters.Add(metric.RepliesDropped, 1)
	}
	return false, nil
}

// emitToken passes a token to the sink and updates the measurements.
func (m *modelRun) emitToken(t int32) error {
	now := time.Now()
	if len(m.machine.Emitted()) == 1 {
		m.trace.Add(now, trace.FirstToken, "")
	} else if !m.lastTokenAt.IsZero() && m.failedAt.IsZero() {
		m.slot.observeGap(now.Sub(m.lastTokenAt), m.model.TokenInterval())
	}
	m.lastTokenAt = now
	m.recordToken()
	m.entry.counters.Add(metric.TokensEmitted, 1)
	if !m.failedAt.IsZero() {
		m.entry.recoveryTimes.Record(time.Since(m.failedAt))
		m.failedAt = time.Time{}
	}
	if err := m.sink.writeToken(t); err != nil {
		return protocol.Uncertain(protocol.CallerGone, "the caller stopped reading").WithCause(err)
	}
	return nil
}

// handleRestart ejects the runner if it is leaving or sent an unexpected reply,
// then retries the request.
func (m *modelRun) handleRestart(ctx context.Context, restart stream.Restart) error {
	if restart.Reason() == metric.RunnerLeaving && restart.Runner().MarkLeaving() {
		event.RunnerEjected.Log(m.entry.Logger, slog.String("runner", restart.Runner().Name()), slog.String("cause", "it is leaving"))
	}
	if restart.Reason() == metric.BadReply {
		m.mayHaveRun = true
		restart.Runner().Failed(time.Now())
		m.entry.counters.CountEjection(metric.EjectedBadReply)
		event.RunnerEjected.Log(m.entry.Logger, slog.String("runner", restart.Runner().Name()), slog.String("cause", "a reply that was not asked for"))
	}
	return m.retry(ctx, restart.Reason(), restart.Runner())
}
