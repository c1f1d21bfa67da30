// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/load"
	"pinerun.example/pinerun/standin"
)

// loadCommand sends a fixed number of requests to entries that run in other processes.
type loadCommand struct {
	file     string
	requests int
	rate     float64
	seed     uint64
}

func (c *loadCommand) define() *flaggy.Subcommand {
	c.requests, c.rate, c.seed = 200, 20, 1
	s := flaggy.NewSubcommand("load")
	s.Description = "Offer a bounded load to running entries: pinerun load -settings examples/tekweni.jsonc"
	s.String(&c.file, "s", "settings", "the settings file")
	s.Int(&c.requests, "n", "requests", "how many requests")
	s.Float64(&c.rate, "r", "rate", "requests a second")
	s.UInt64(&c.seed, "", "seed", "seed of the load")
	return s
}

func (c *loadCommand) run(ctx context.Context, o *output) int {
	f, ok := readSettings(c.file, o)
	if !ok {
		return exitUsage
	}
	if f.Load == nil {
		return o.fail(exitUsage, errors.New(`the settings have no section "load"; add it`))
	}
	if c.requests <= 0 || c.rate <= 0 {
		return o.fail(exitUsage, errors.New("nothing to do; give -requests and -rate above 0"))
	}
	l := f.Load
	run := &load.Run{
		Entries: l.Entries, Keys: l.Keys, Model: l.Model, Service: l.Service,
		Requests: c.requests, Rate: c.rate, MaxPromptBytes: demoMaxPromptBytes, MaxTokens: l.MaxTokens, Seed: c.seed,
		Progress: o.progress(),
	}
	if l.Layers > 0 {
		run.Expect = func(prompt []int32, limit int) []int32 { return standin.ExpectedAnswer(l.Layers, prompt, limit) }
	}
	report := run.Do(ctx)
	run.ApplyBounds(&report, []load.Bounds{{Flow: l.FlowBound, Fleet: l.FleetBound}})
	if err := report.Write(o.out); err != nil {
		return o.fail(exitFailed, err)
	}
	if !report.Passed() {
		return o.fail(exitFailed, errors.New("a promise was broken; see the line above"))
	}
	return exitOK
}
