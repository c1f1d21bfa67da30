// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// plainSpeed is the speed of an endpoint of a plain service, in requests a second
// of one slot. Only its ratio to the expected times of links matters: 10 ms each.
const plainSpeed = 100.0

// runnerOf describes an endpoint to the fleet, if it can serve the service. A
// plain service's endpoints in other data centers count as far, so that those
// nearby are taken while they are free.
func runnerOf(s *protocol.RoutedService, e protocol.Endpoint, home string) (protocol.Runner, bool) {
	if e.Service != s.Name {
		return protocol.Runner{}, false
	}
	spec := protocol.Runner{
		Name: e.ID, VM: e.ID, DataCenter: e.DataCenter, Accelerator: e.Accelerator, Address: e.Address, Drain: e.Leaving,
	}
	if s.Engine == nil {
		spec.Model = ModelName(s.Name, everywhere)
		spec.To = 1
		spec.Speed = plainSpeed
		if e.DataCenter != home {
			spec.Link = "far"
		}
		return spec, true
	}
	if e.Layers.Layers() <= 0 {
		return protocol.Runner{}, false
	}
	spec.Model = ModelName(s.Name, e.DataCenter)
	spec.From = e.Layers.From
	spec.To = e.Layers.To
	spec.Speed = engineSpeed(s.Engine, e.Accelerator)
	spec.Room = engineRoom(s.Engine, e)
	spec.Step = engineStep(s.Engine, e.Accelerator)
	return spec, true
}

func hasModel(models []protocol.Model, name string) bool {
	return slices.ContainsFunc(models, func(m protocol.Model) bool { return m.Name == name })
}

// layersOf returns the layers of a service's model, one for a plain service.
func layersOf(s *protocol.RoutedService) int {
	if s.Engine == nil {
		return 1
	}
	return s.Engine.Layers
}

// engineSpeed returns the layer passes a second that an engine reads a prompt at.
func engineSpeed(f *protocol.EngineFacts, accelerator string) float64 {
	factor := 1.0
	if a, ok := f.Accelerator(accelerator); ok && a.ReadFactor > 0 {
		factor = a.ReadFactor
	}
	return max(1, f.ReadPerSecond*float64(f.Layers)/factor)
}

// engineStep returns the seconds that a written token takes in one layer.
func engineStep(f *protocol.EngineFacts, accelerator string) float64 {
	a, ok := f.Accelerator(accelerator)
	if !ok || f.Layers <= 0 {
		return 0
	}
	return f.StepMS / 1000 * a.StepFactor / float64(f.Layers)
}

// engineRoom returns how many tokens of requests fit into an engine beside the
// layers that it holds.
func engineRoom(f *protocol.EngineFacts, e protocol.Endpoint) float64 {
	a, ok := f.Accelerator(e.Accelerator)
	layers := float64(e.Layers.Layers())
	if !ok || f.TokenLayerMB <= 0 {
		return 0
	}
	return max(0, (a.MemoryMB-layers*f.LayerMB)/(layers*f.TokenLayerMB))
}
