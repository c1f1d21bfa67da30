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

// tokenSink gets the tokens of an answer, each once and in order.
type tokenSink interface{ token(t int32) error }

// modelRun carries one model request over the runners until its answer is whole
// or it is given up.
type modelRun struct {
	entry      *Entry
	id         protocol.RequestID
	model      protocol.Model
	repeatable bool
	deadline   time.Time // of clock.Now
	story      *trace.Trace
	sink       tokenSink
	place      *pass

	machine stream.Machine
	mailbox *engine.Mailbox
	draw    *rand.Rand
	avoid   []*fleet.Runner
	tries   int
	ran     bool // some engine may have run a step
	silence *time.Timer
	flights []flight // steps in flight
	pledges []int64  // layer passes pledged at each stage of the path
	turn    uint64
	lostAt  time.Time // when a step was given up; zero once a token came since
	tokenAt time.Time // when the last token came

	call    *call
	work    protocol.Fingerprint // zero until it is asked for
	trial   *fleet.Runner        // at which the work is on trial, nil for none
	firstAt time.Time            // of the first token, of clock.Now
	proven  bool                 // it was told that the work ran well
}

// serve runs the request. The error, if any, is a Refusal with a true outcome.
func (m *modelRun) serve(ctx context.Context, prompt []int32, limit int, priority uint8) error {
	m.machine.Open(m.id, m.model.Layers, prompt, limit, priority)
	m.mailbox = engine.NewMailbox()
	m.draw = rand.New(rand.NewPCG(uint64(m.id), 0))
	m.turn = uint64(m.id)
	m.silence = time.NewTimer(time.Hour)
	defer m.silence.Stop()
	defer m.forgetPath()
	defer m.dismiss()
	m.entry.retries.first()
	if err := m.begin(ctx); err != nil {
		return err
	}
	for {
		finished, err := m.wait(ctx)
		if finished || err != nil {
			return err
		}
	}
}

// begin chooses a path and sends the first step of a new attempt.
func (m *modelRun) begin(ctx context.Context) error {
	m.tries++
	p, err := m.await(ctx)
	if err != nil {
		return err
	}
	m.story.Add(time.Now(), trace.Path, describe(&p))
	m.enrol(&p)
	first := m.machine.Begin(&p)
	m.pledge(&p)
	m.send(first)
	return nil
}

func (m *modelRun) policy() path.Policy {
	switch m.entry.Settings.PathPolicy {
	case "report":
		return path.LowestReportedLoad{}
	case "turn":
		return path.RoundRobin{Counter: &m.turn}
	case "chance":
		return path.Random{}
	case "chain":
		return path.FixedPipeline{Index: &m.turn}
	default:
		return path.LowestCost{}
	}
}

func (m *modelRun) noPath(layer int) error {
	message := "no usable runner holds layer " + itoa(layer) + " of model " + m.model.Name
	again := time.Now().Add(time.Second)
	if m.ran {
		return protocol.Uncertain(protocol.NoPath, message).Again(again)
	}
	return protocol.Refuse(protocol.NoPath, message).Again(again)
}

func describe(p *path.Path) string {
	names := make([]string, p.Len())
	for i := range names {
		names[i] = p.Runner(i).Name()
	}
	return strings.Join(names, " ")
}

// wait takes the next arrival and acts on it.
func (m *modelRun) wait(ctx context.Context) (finished bool, err error) {
	select {
	case a := <-m.mailbox.Arrivals():
		return m.arrived(ctx, a)
	case <-m.silence.C:
		return false, m.silent(ctx)
	case <-ctx.Done():
		return false, m.givenUp(ctx)
	}
}

func (m *modelRun) arrived(ctx context.Context, a engine.Arrival) (finished bool, err error) {
	switch a := a.(type) {
	case engine.Replied:
		return m.replied(ctx, a)
	case engine.ConnectionLost:
		f, waited := m.landed(a.From())
		if !waited {
			return false, nil // an older attempt's runner
		}
		m.ran = m.ran || a.Sent()
		if a.Sent() {
			m.broke(a.From(), a.Incarnation(), f.step.SentAt)
		}
		m.entry.detected.Record(time.Since(f.step.SentAt))
		reason := metric.StreamError
		if !a.Sent() {
			reason = metric.NotSent
		}
		return false, m.again(ctx, reason, a.From())
	}
	return false, nil
}

func (m *modelRun) replied(ctx context.Context, a engine.Replied) (finished bool, err error) {
	d := m.machine.HandleReply(a.From(), a.Reply())
	if _, ignored := d.(stream.Ignore); !ignored {
		m.landed(a.From())
		m.redeem(a.From(), a.Reply().Count)
	}
	return m.decide(ctx, d)
}

func (m *modelRun) decide(ctx context.Context, d stream.Decision) (finished bool, err error) {
	switch d := d.(type) {
	case stream.Dispatches:
		m.ran = true
		for _, s := range d.All() {
			m.send(s)
		}
	case stream.Emit:
		m.ran = true
		if err := m.emit(d.Token()); err != nil {
			return false, err
		}
		m.send(d.Next())
	case stream.Finish:
		m.ran = true
		m.ranWell()
		if t, ok := d.Token(); ok {
			return true, m.emit(t)
		}
		return true, nil
	case stream.Restart:
		return false, m.broken(ctx, d)
	case stream.Ignore:
		m.entry.counters.Add(metric.RepliesDropped, 1)
	}
	return false, nil
}

func (m *modelRun) emit(t int32) error {
	now := time.Now()
	if len(m.machine.Emitted()) == 1 {
		m.story.Add(now, trace.FirstToken, "")
	} else if !m.tokenAt.IsZero() && m.lostAt.IsZero() {
		m.place.observe(now.Sub(m.tokenAt), m.model.Gap())
	}
	m.tokenAt = now
	m.runsOn()
	m.entry.counters.Add(metric.TokensEmitted, 1)
	if !m.lostAt.IsZero() {
		m.entry.recovery.Record(time.Since(m.lostAt))
		m.lostAt = time.Time{}
	}
	if err := m.sink.token(t); err != nil {
		return protocol.Uncertain(protocol.CallerGone, "the caller stopped reading").Because(err)
	}
	return nil
}

func (m *modelRun) broken(ctx context.Context, b stream.Restart) error {
	if b.Reason() == metric.RunnerLeaving && b.Runner().MarkLeaving() {
		event.RunnerEjected.Log(m.entry.Logger, slog.String("runner", b.Runner().Name()), slog.String("cause", "it is leaving"))
	}
	if b.Reason() == metric.BadReply {
		m.ran = true
		b.Runner().Failed(time.Now())
		m.entry.counters.Ejected(metric.EjectedBadReply)
		event.RunnerEjected.Log(m.entry.Logger, slog.String("runner", b.Runner().Name()), slog.String("cause", "a reply that was not asked for"))
	}
	return m.again(ctx, b.Reason(), b.Runner())
}
