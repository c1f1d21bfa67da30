// SPDX-License-Identifier: Apache-2.0

package logs

import (
	"context"
	"log/slog"
	"sync"

	"pinerun.example/pinerun/internal/event"
)

const (
	// ordinaryBudget and warnBudget are how many lines per second one event may write. Events
	// below the level Warn have the smaller budget.
	ordinaryBudget = 150
	warnBudget     = 600
)

// Handler is a slog.Handler with a line budget for each event.
type Handler struct {
	slog.Handler

	writer *Writer
	shared *budgets
}

// budgets counts the lines of each event in the current second.
type budgets struct {
	mutex    sync.Mutex
	second   int64
	count    map[string]int
	reported int64
}

// NewHandler returns a handler that writes JSON lines.
func NewHandler(w *Writer, level slog.Level) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		writer:  w,
		shared:  &budgets{count: make(map[string]int)},
	}
}

// Handle writes a record if its event has budget left.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	dropped, allowed := h.shared.take(r, h.writer)
	if dropped > 0 {
		line := slog.NewRecord(r.Time, event.LinesDropped.Level(), event.LinesDropped.Name(), 0)
		line.AddAttrs(slog.Int("event", event.LinesDropped.Number()), slog.Int64("lines", dropped))
		if err := h.Handler.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !allowed {
		h.writer.drop(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// take counts a record against the budget of its event and reports whether it may be written.
// Once a second, it also returns how many dropped lines to report.
func (b *budgets) take(r slog.Record, w *Writer) (int64, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var dropped int64
	if second := r.Time.Unix(); second != b.second {
		b.second = second
		clear(b.count)
		total := w.Dropped()
		dropped, b.reported = total-b.reported, total
	}
	limit := ordinaryBudget
	if r.Level >= slog.LevelWarn {
		limit = warnBudget
	}
	b.count[r.Message]++
	return dropped, b.count[r.Message] <= limit
}

// WithAttrs returns a handler that adds attributes to each line and shares the budgets.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), writer: h.writer, shared: h.shared}
}

// WithGroup returns a handler that puts later attributes into a group and shares the budgets.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), writer: h.writer, shared: h.shared}
}
