// SPDX-License-Identifier: Apache-2.0

package logs

import (
	"context"
	"log/slog"
	"sync"

	"pinerun.example/pinerun/internal/event"
)

const (
	// ordinaryBudget and gravestBudget are how many lines a second one event may
	// write: ordinary decisions give way first.
	ordinaryBudget = 150
	gravestBudget  = 600
)

// Handler is a slog.Handler with a budget for each event.
type Handler struct {
	slog.Handler

	writer *Writer
	shared *budgets
}

// budgets counts the lines of each event in the current second.
type budgets struct {
	mutex  sync.Mutex
	second int64
	count  map[string]int
	told   int64
}

// NewHandler returns a handler that writes JSON lines.
func NewHandler(w *Writer, level slog.Level) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		writer:  w,
		shared:  &budgets{count: make(map[string]int)},
	}
}

// Handle writes a line if its event has budget left.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	told, allowed := h.shared.take(r, h.writer)
	if told > 0 {
		line := slog.NewRecord(r.Time, event.LinesDropped.Level(), event.LinesDropped.Name(), 0)
		line.AddAttrs(slog.Int("event", event.LinesDropped.Number()), slog.Int64("lines", told))
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

// take counts a line against its budget. It also returns how many dropped lines
// are to be told of, once a second.
func (b *budgets) take(r slog.Record, w *Writer) (int64, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var told int64
	if second := r.Time.Unix(); second != b.second {
		b.second = second
		clear(b.count)
		total := w.Dropped()
		told, b.told = total-b.told, total
	}
	most := ordinaryBudget
	if r.Level >= slog.LevelWarn {
		most = gravestBudget
	}
	b.count[r.Message]++
	return told, b.count[r.Message] <= most
}

// WithAttrs returns a handler that adds details to each line, with the same
// budgets.
func (h *Handler) WithAttrs(details []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(details), writer: h.writer, shared: h.shared}
}

// WithGroup returns a handler that puts later details into a group, with the
// same budgets.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), writer: h.writer, shared: h.shared}
}
