// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/coordination/bound"
	"pinerun.example/pinerun/coordination/placement"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
)

// boundVerb says what a deployment's engines allow, from a written description.
type boundVerb struct{ file string }

func (v *boundVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("bound")
	s.Description = "Say how many requests a deployment's engines allow, and what binds: pinerun bound -settings FILE"
	s.String(&v.file, "s", "settings", "the settings file with the section \"fleet\"")
	return s
}

func (v *boundVerb) run(_ context.Context, o *output) int {
	file, ok := readSettings(v.file, o)
	if !ok {
		return exitUsage
	}
	if file.Fleet == nil {
		return o.fail(exitUsage, errors.New(`the settings have no section "fleet"; add it`))
	}
	facts := factsOf(file.Fleet)
	engines, err := enginesOf(file.Fleet, facts)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	if err := printBounds(o, file.Fleet, bound.DataCenters(facts, engines)); err != nil {
		return o.fail(exitFailed, err)
	}
	return exitGood
}

func factsOf(f *settings.Fleet) *protocol.EngineSpec {
	const kBPerMB = 1000
	facts := &protocol.EngineSpec{
		Layers: f.Layers, LayerMB: f.LayerMB, TokenLayerMB: f.TokenKB / kBPerMB / float64(f.Layers),
		StepMS: f.StepMS, SequenceMS: f.SequenceMS, PrefillPerSecond: f.PrefillPerSecond, TypicalPrompt: f.Prompt, TypicalAnswer: f.Answer,
	}
	for _, a := range f.Accelerators {
		facts.Accelerators = append(facts.Accelerators, protocol.AcceleratorSpec{
			Name: a.Name, MemoryMB: a.MemoryMB, StepFactor: a.StepFactor, ReadFactor: a.ReadFactor,
		})
	}
	return facts
}

// enginesOf returns each engine by itself, or an error that names an accelerator that
// is not described.
func enginesOf(f *settings.Fleet, facts *protocol.EngineSpec) ([]placement.Engine, error) {
	var all []placement.Engine
	for i, e := range f.Engines {
		if _, known := facts.Accelerator(e.Accelerator); !known {
			return nil, fmt.Errorf("the accelerator %q of %s is not described; add it to \"accelerators\"", e.Accelerator, e.DataCenter)
		}
		for n := range e.Count {
			all = append(all, placement.Engine{ID: fmt.Sprintf("%s-%d-%d", e.DataCenter, i, n), DataCenter: e.DataCenter, Accelerator: e.Accelerator})
		}
	}
	return all, nil
}

func printBounds(o *output, f *settings.Fleet, centers []bound.DataCenter) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "data center\tcopies\tstages\topen requests\tafter the worst loss\trequests/s by room\tby reading\tbinds")
	total := 0.0
	for _, c := range centers {
		total += c.RequestsPerSecond()
		fmt.Fprintf(w, "%s\t%.2f\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%s\n",
			c.Name(), c.Replicas(), c.Stages(), c.Capacity(), c.CapacityAfterLoss(), c.CapacityLimit(), c.PrefillLimit(), c.Bottleneck())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "asked %.1f requests/s, allowed %.1f: %.2f of the bound\n", f.RequestsPerSecond, total, f.RequestsPerSecond/total)
	return nil
}
