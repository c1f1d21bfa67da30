// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/load"
	"pinerun.example/pinerun/standin"
)

// loadVerb offers a bounded load to entries that run elsewhere.
type loadVerb struct {
	file     string
	requests int
	rate     float64
	seed     uint64
}

func (v *loadVerb) define() *flaggy.Subcommand {
	v.requests, v.rate, v.seed = 200, 20, 1
	s := flaggy.NewSubcommand("load")
	s.Description = "Offer a bounded load to running entries: pinerun load -settings examples/tekweni.jsonc"
	s.String(&v.file, "s", "settings", "the settings file")
	s.Int(&v.requests, "n", "requests", "how many requests")
	s.Float64(&v.rate, "r", "rate", "requests a second")
	s.UInt64(&v.seed, "", "seed", "seed of the load")
	return s
}

func (v *loadVerb) run(ctx context.Context, o *output) int {
	f, ok := readSettings(v.file, o)
	if !ok {
		return exitUsage
	}
	if f.Load == nil {
		return o.fail(exitUsage, errors.New(`the settings have no section "load"; add it`))
	}
	if v.requests <= 0 || v.rate <= 0 {
		return o.fail(exitUsage, errors.New("nothing to do; give -requests and -rate above 0"))
	}
	l := f.Load
	run := &load.Run{
		Entries: l.Entries, Keys: l.Keys, Model: l.Model, Service: l.Service,
		Requests: v.requests, Rate: v.rate, MaxPromptBytes: demoPrompt, MaxTokens: l.MaxTokens, Seed: v.seed,
		Progress: o.progress(),
	}
	if l.Layers > 0 {
		run.Expect = func(prompt []int32, limit int) []int32 { return standin.Expect(l.Layers, prompt, limit) }
	}
	report := run.Do(ctx)
	run.ApplyBounds(&report, []load.Bounds{{Flow: l.FlowBound, Fleet: l.FleetBound}})
	if err := report.Write(o.out); err != nil {
		return o.fail(exitFailed, err)
	}
	if !report.Passed() {
		return o.fail(exitFailed, errors.New("a promise was broken; see the line above"))
	}
	return exitGood
}
