// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/logs"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/platform"
	"pinerun.example/pinerun/transport/front"
)

// logFlushTimeout bounds the writing of buffered log lines at shutdown.
const logFlushTimeout = 200 * time.Millisecond

// frontCommand runs one entry of a deployed system until it receives a stop signal.
type frontCommand struct{ file string }

func (c *frontCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("front")
	s.Description = "Run one entry before endpoints that answer HTTP themselves: pinerun front -settings FILE"
	s.String(&c.file, "s", "settings", "the settings file")
	return s
}

func (c *frontCommand) run(ctx context.Context, o *output) int {
	hangups := notifyHangup()
	file, ok := readSettings(c.file, o)
	if !ok {
		return exitUsage
	}
	if file.Front == nil {
		return o.fail(exitUsage, errors.New(`the settings have no section "front"; add it`))
	}
	s := *file.Front
	if limit := s.HeapLimitBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	counters := &metric.Set{}
	writer := &logs.Writer{Out: o.out, Counters: counters}
	writer.Start()
	defer func() { writer.Close(time.Now().Add(logFlushTimeout)) }()
	logger := slog.New(logs.NewHandler(writer, logLevel(s.LogLevel))).With(slog.String("entry", s.Name))
	f := &front.Front{Settings: s, Dependencies: platform.NewDependencies(s.Store, counters, logger), Counters: counters, Logger: logger}
	if err := f.Start(); err != nil {
		return o.fail(exitFailed, fmt.Errorf("the entry can't start: %w; check the addresses in its settings", err))
	}
	w := &settingsWatcher{file: c.file, logger: logger, signals: hangups, done: ctx.Done()}
	go w.run()
	<-ctx.Done()
	f.Stop(clock.Now())
	return exitOK
}

// logLevel parses a level. An unknown one means info.
func logLevel(text string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(text)); err != nil {
		return slog.LevelInfo
	}
	return l
}
