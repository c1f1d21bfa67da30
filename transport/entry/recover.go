// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"log/slog"
	"time"

	"pinerun.example/pinerun/coordination/detect"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/trace"
)

// silent judges the steps that should have been answered by now.
func (m *modelRun) silent(ctx context.Context) error {
	now := time.Now()
	for i := range m.flights {
		f := &m.flights[i]
		if now.Before(f.look) {
			continue
		}
		switch v := detect.Classify(f.runner, f.step, now).(type) {
		case detect.Busy:
			f.look = v.Until()
		case detect.Lost:
			return m.unanswered(ctx, *f, v)
		}
	}
	m.setSilence()
	return nil
}

// unanswered gives a step up.
func (m *modelRun) unanswered(ctx context.Context, f flight, v detect.Lost) error {
	took := time.Since(f.step.SentAt)
	m.entry.detected.Record(took)
	cause := "too slow"
	f.runner.ObserveTimeout(took, f.step.ExpectedSeconds, time.Now())
	if v.Dead() {
		cause = "silence"
		f.runner.Failed(time.Now())
		m.entry.counters.Ejected(metric.EjectedSilent)
	}
	event.RunnerEjected.Log(m.entry.Logger, slog.String("runner", f.runner.Name()), slog.String("cause", cause))
	return m.again(ctx, metric.Silence, f.runner)
}

// givenUp ends a request whose deadline passed or whose caller left.
func (m *modelRun) givenUp(ctx context.Context) error {
	m.forgetPath()
	kind, message := protocol.CallerGone, "the caller closed the connection"
	if !clock.Now().Before(m.deadline) {
		kind, message = protocol.DeadlinePassed, "the deadline passed"
	}
	if m.ran {
		return protocol.Uncertain(kind, message).Because(ctx.Err())
	}
	return protocol.Refuse(kind, message).Because(ctx.Err())
}

// again tries on another path, where the outcome permits it.
func (m *modelRun) again(ctx context.Context, reason metric.Reason, failed *fleet.Runner) error {
	if m.lostAt.IsZero() && (reason == metric.StreamError || reason == metric.Silence) {
		m.lostAt = time.Now()
	}
	m.dismiss()
	m.forgetPath()
	if m.ran && !m.repeatable {
		return protocol.Uncertain(protocol.StageFailed, "a stage failed ("+string(reason)+") and the request may not run twice")
	}
	if failed != nil {
		m.avoid = append(m.avoid, failed)
	}
	now := time.Now()
	d := m.entry.retries.again(retry.Query{
		Now: now, Deadline: clock.Timer(m.deadline), Attempts: m.tries,
		Resuming: len(m.machine.Emitted()) > 0, Rand: m.draw,
	})
	wait, ok := d.(retry.Wait)
	if !ok {
		return m.stopped(d.(retry.Stop), reason)
	}
	m.entry.counters.Retried(reason)
	m.story.Add(now, trace.Retried, string(reason)+" at "+nameOf(failed))
	event.RequestRetried.Log(m.entry.Logger, slog.String("request", m.id.String()),
		slog.String("reason", string(reason)), slog.String("runner", nameOf(failed)))
	if !m.rest(ctx, wait.Until()) {
		return m.givenUp(ctx)
	}
	return m.begin(ctx)
}

func (m *modelRun) stopped(s retry.Stop, reason metric.Reason) error {
	message := "a stage failed (" + string(reason) + ") and no further try is allowed"
	if m.ran {
		return protocol.Uncertain(s.Kind(), message)
	}
	return protocol.Refuse(s.Kind(), message).Again(time.Now().Add(time.Second))
}

func (m *modelRun) rest(ctx context.Context, till time.Time) bool {
	d := time.Until(till)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func nameOf(r *fleet.Runner) string {
	if r == nil {
		return "-"
	}
	return r.Name()
}
