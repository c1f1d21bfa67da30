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

// logsBy is how long the last lines may take to be written.
const logsBy = 200 * time.Millisecond

// frontVerb runs one entry of a deployed system until it is told to stop.
type frontVerb struct{ file string }

func (v *frontVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("front")
	s.Description = "Run one entry before endpoints that answer HTTP themselves: pinerun front -settings FILE"
	s.String(&v.file, "s", "settings", "the settings file")
	return s
}

func (v *frontVerb) run(ctx context.Context, o *output) int {
	hangups := catchHangups()
	file, ok := readSettings(v.file, o)
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
	defer func() { writer.Close(time.Now().Add(logsBy)) }()
	logger := slog.New(logs.NewHandler(writer, logLevel(s.LogLevel))).With(slog.String("entry", s.Name))
	f := &front.Front{Settings: s, Dependencies: platform.NewDependencies(s.Store, counters, logger), Counters: counters, Logger: logger}
	if err := f.Start(); err != nil {
		return o.fail(exitFailed, fmt.Errorf("the entry can't start: %w; check the addresses in its settings", err))
	}
	w := &settingsWatch{file: v.file, logger: logger, signals: hangups, done: ctx.Done()}
	go w.run()
	<-ctx.Done()
	f.Stop(clock.Now())
	return exitGood
}

func logLevel(text string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(text)); err != nil {
		return slog.LevelInfo
	}
	return l
}
