// SPDX-License-Identifier: Apache-2.0

package logs_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/logs"
)

// BenchmarkLine measures one log line of a request on its way into the buffer, and one below
// the log level. It bypasses the budget of the event, which would drop most lines here.
func BenchmarkLine(b *testing.B) {
	for _, c := range []struct {
		name  string
		level slog.Level
	}{{"written", slog.LevelInfo}, {"below the level", slog.LevelError}} {
		b.Run(c.name, func(b *testing.B) {
			w := &logs.Writer{Out: io.Discard}
			w.Start()
			defer func() { w.Close(time.Now().Add(time.Second)) }()
			logger := slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: c.level})).With(slog.String("entry", "front-1"))
			b.ReportAllocs()
			for b.Loop() {
				event.RequestSent.Log(logger, slog.String("request", "9c41d07be2a35f68"), slog.Int("attempt", 1),
					slog.String("path", "i-7a1dc9a1ef=0-15 i-9a5bd5533d=15-30 i-18945a20de=30-39 i-295b58be20=39-48 i-40e098adbb=48-57"),
					slog.Uint64("routing", 16), slog.String("after", ""))
			}
		})
	}
}
