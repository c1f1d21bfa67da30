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

// boundCommand prints the request rate that a deployment's engines allow, and the resource
// that limits it. It works from the settings alone and calls no engine.
type boundCommand struct{ file string }

func (c *boundCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("bound")
	s.Description = "Say how many requests a deployment's engines allow, and what binds: pinerun bound -settings FILE"
	s.String(&c.file, "s", "settings", "the settings file with the section \"fleet\"")
	return s
}

func (c *boundCommand) run(_ context.Context, o *output) int {
	file, ok := readSettings(c.file, o)
	if !ok {
		return exitUsage
	}
	if file.Fleet == nil {
		return o.fail(exitUsage, errors.New(`the settings have no section "fleet"; add it`))
	}
	spec := engineSpec(file.Fleet)
	engines, err := listEngines(file.Fleet, spec)
	if err != nil {
		return o.fail(exitUsage, err)
	}
	if err := printBounds(o, file.Fleet, bound.DataCenters(spec, engines)); err != nil {
		return o.fail(exitFailed, err)
	}
	return exitOK
}

// engineSpec converts the settings' description of the engines.
func engineSpec(f *settings.Fleet) *protocol.EngineSpec {
	const kBPerMB = 1000
	spec := &protocol.EngineSpec{
		Layers: f.Layers, LayerMB: f.LayerMB, TokenLayerMB: f.TokenKB / kBPerMB / float64(f.Layers),
		StepMS: f.StepMS, SequenceMS: f.SequenceMS, PrefillPerSecond: f.PrefillPerSecond, TypicalPrompt: f.Prompt, TypicalAnswer: f.Answer,
	}
	for _, a := range f.Accelerators {
		spec.Accelerators = append(spec.Accelerators, protocol.AcceleratorSpec{
			Name: a.Name, MemoryMB: a.MemoryMB, StepFactor: a.StepFactor, ReadFactor: a.ReadFactor,
		})
	}
	return spec
}

// listEngines returns one entry for each engine. It fails if a group of engines names an
// accelerator that the settings do not describe.
func listEngines(f *settings.Fleet, spec *protocol.EngineSpec) ([]placement.Engine, error) {
	var engines []placement.Engine
	for i, e := range f.Engines {
		if _, known := spec.Accelerator(e.Accelerator); !known {
			return nil, fmt.Errorf("the accelerator %q of %s is not described; add it to \"accelerators\"", e.Accelerator, e.DataCenter)
		}
		for n := range e.Count {
			engines = append(engines, placement.Engine{ID: fmt.Sprintf("%s-%d-%d", e.DataCenter, i, n), DataCenter: e.DataCenter, Accelerator: e.Accelerator})
		}
	}
	return engines, nil
}

func printBounds(o *output, f *settings.Fleet, dataCenters []bound.DataCenter) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "data center\tcopies\tstages\topen requests\tafter the worst loss\trequests/s by room\tby reading\tbinds")
	total := 0.0
	for _, c := range dataCenters {
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
