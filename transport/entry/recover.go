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

// checkOverdue classifies the steps whose reply is overdue and abandons the
// request's path if one of them is lost.
func (m *modelRun) checkOverdue(ctx context.Context) error {
	now := time.Now()
	for i := range m.inFlight {
		f := &m.inFlight[i]
		if now.Before(f.checkAt) {
			continue
		}
		switch v := detect.Classify(f.runner, f.step, now).(type) {
		case detect.Busy:
			f.checkAt = v.Until()
		case detect.Lost:
			return m.abandonStep(ctx, *f, v)
		}
	}
	m.resetReplyTimer()
	return nil
}

// abandonStep records that a runner did not reply in time and retries the request.
func (m *modelRun) abandonStep(ctx context.Context, inFlight inFlightStep, lost detect.Lost) error {
	elapsed := time.Since(inFlight.step.SentAt)
	m.entry.detectionTimes.Record(elapsed)
	cause := "too slow"
	inFlight.runner.ObserveTimeout(elapsed, inFlight.step.ExpectedSeconds, time.Now())
	if lost.Dead() {
		cause = "silence"
		inFlight.runner.Failed(time.Now())
		m.entry.counters.CountEjection(metric.EjectedSilent)
	}
	event.RunnerEjected.Log(m.entry.Logger, slog.String("runner", inFlight.runner.Name()), slog.String("cause", cause))
	return m.retry(ctx, metric.Silence, inFlight.runner)
}

// abort ends a request whose deadline has passed or whose caller has disconnected.
func (m *modelRun) abort(ctx context.Context) error {
	m.cancelPath()
	kind, message := protocol.CallerGone, "the caller closed the connection"
	if !clock.Now().Before(m.deadline) {
		kind, message = protocol.DeadlinePassed, "the deadline passed"
	}
	if m.mayHaveRun {
		return protocol.Uncertain(kind, message).WithCause(ctx.Err())
	}
	return protocol.Refuse(kind, message).WithCause(ctx.Err())
}

// retry starts another attempt on another path, if the outcome so far and the
// retry budget allow it.
func (m *modelRun) retry(ctx context.Context, reason metric.Reason, failed *fleet.Runner) error {
	if m.failedAt.IsZero() && (reason == metric.StreamError || reason == metric.Silence) {
		m.failedAt = time.Now()
	}
	m.endIsolatedRun()
	m.cancelPath()
	if m.mayHaveRun && !m.repeatable {
		return protocol.Uncertain(protocol.StageFailed, "a stage failed ("+string(reason)+") and the request may not run twice")
	}
	if failed != nil {
		m.excluded = append(m.excluded, failed)
	}
	now := time.Now()
	d := m.entry.retryBudget.decide(retry.Query{
		Now: now, Deadline: clock.TimerDeadline(m.deadline), Attempts: m.attempts,
		Resuming: len(m.machine.Emitted()) > 0, Rand: m.rand,
	})
	wait, ok := d.(retry.Wait)
	if !ok {
		return m.retryDenied(d.(retry.Stop), reason)
	}
	m.entry.counters.CountRetry(reason)
	m.trace.Add(now, trace.Retried, string(reason)+" at "+runnerName(failed))
	event.RequestRetried.Log(m.entry.Logger, slog.String("request", m.id.String()),
		slog.String("reason", string(reason)), slog.String("runner", runnerName(failed)))
	if !m.sleepUntil(ctx, wait.Until()) {
		return m.abort(ctx)
	}
	return m.startAttempt(ctx)
}

// retryDenied returns the refusal for a request that may not be retried.
func (m *modelRun) retryDenied(stop retry.Stop, reason metric.Reason) error {
	message := "a stage failed (" + string(reason) + ") and no further try is allowed"
	if m.mayHaveRun {
		return protocol.Uncertain(stop.Kind(), message)
	}
	return protocol.Refuse(stop.Kind(), message).WithRetryAt(time.Now().Add(time.Second))
}

// sleepUntil sleeps until a time and reports whether ctx is still valid then.
func (m *modelRun) sleepUntil(ctx context.Context, until time.Time) bool {
	d := time.Until(until)
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

// runnerName returns the runner's name, or "-" for nil.
func runnerName(r *fleet.Runner) string {
	if r == nil {
		return "-"
	}
	return r.Name()
}
