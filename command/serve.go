// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/standin"
	"pinerun.example/pinerun/transport/entry"
)

// entryCommand runs one entry until it receives a stop signal.
type entryCommand struct{ file string }

func (c *entryCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("entry")
	s.Description = "Run one entry: pinerun entry -settings examples/tekweni-entry-1.jsonc"
	s.String(&c.file, "s", "settings", "the settings file")
	return s
}

func (c *entryCommand) run(ctx context.Context, o *output) int {
	f, ok := readSettings(c.file, o)
	if !ok {
		return exitUsage
	}
	if f.Entry == nil {
		return o.fail(exitUsage, errors.New(`the settings have no section "entry"; add it`))
	}
	e := &entry.Entry{Settings: *f.Entry, Logger: o.logger(f.Entry.LogLevel)}
	if err := e.Start(); err != nil {
		return o.fail(exitFailed, fmt.Errorf("the entry can't start: %w; check the addresses in its settings", err))
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithDeadline(context.Background(), e.Settings.StopBy(time.Now()))
	defer cancel()
	e.Stop(stopCtx)
	return exitOK
}

// standinCommand simulates the platform, the engines and the services until it receives a
// stop signal.
type standinCommand struct{ file string }

func (c *standinCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("standin")
	s.Description = "Play the platform, engines and services: pinerun standin -settings examples/tekweni.jsonc"
	s.String(&c.file, "s", "settings", "the settings file")
	return s
}

func (c *standinCommand) run(ctx context.Context, o *output) int {
	f, ok := readSettings(c.file, o)
	if !ok {
		return exitUsage
	}
	if f.Standin == nil {
		return o.fail(exitUsage, errors.New(`the settings have no section "standin"; add it`))
	}
	d := &standin.Deployment{}
	defer d.Close()
	if err := d.Start(*f.Standin); err != nil {
		return o.fail(exitFailed, fmt.Errorf("the stand-ins can't start: %w; check the addresses in the settings", err))
	}
	fmt.Fprintf(o.out, "serving the platform on %s, %d runners and %d service endpoints\n",
		d.Platform.Address(), len(d.Runners), len(d.Services))
	<-ctx.Done()
	return exitOK
}
