// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// plainServiceSpeed is the speed of an endpoint of a plain service, in requests per second
// and slot. Only its ratio to the expected link times matters: a request counts as 10 ms.
const plainServiceSpeed = 100.0

// runnerSpec returns the description of an endpoint as a runner, and whether it can serve the
// service. Endpoints of plain services in other data centers get a far link, so that nearby
// endpoints are preferred while they are free.
func runnerSpec(s *protocol.RoutedService, e protocol.Endpoint, localDataCenter string) (protocol.Runner, bool) {
	if e.Service != s.Name {
		return protocol.Runner{}, false
	}
	spec := protocol.Runner{
		Name: e.ID, VM: e.ID, DataCenter: e.DataCenter, Accelerator: e.Accelerator, Address: e.Address, Drain: e.Leaving,
	}
	if s.Engine == nil {
		spec.Model = ModelName(s.Name, anyDataCenter)
		spec.To = 1
		spec.Speed = plainServiceSpeed
		if e.DataCenter != localDataCenter {
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
	spec.Speed = prefillSpeed(s.Engine, e.Accelerator)
	spec.Capacity = cacheCapacity(s.Engine, e)
	spec.StepSeconds = decodeSeconds(s.Engine, e.Accelerator)
	return spec, true
}

func hasModel(models []protocol.Model, name string) bool {
	return slices.ContainsFunc(models, func(m protocol.Model) bool { return m.Name == name })
}

// layersOf returns the number of layers of a service's model, one for a plain service.
func layersOf(s *protocol.RoutedService) int {
	if s.Engine == nil {
		return 1
	}
	return s.Engine.Layers
}

// prefillSpeed returns the layer passes per second at which an engine processes a prompt.
func prefillSpeed(spec *protocol.EngineSpec, accelerator string) float64 {
	factor := 1.0
	if a, ok := spec.Accelerator(accelerator); ok && a.ReadFactor > 0 {
		factor = a.ReadFactor
	}
	return max(1, spec.PrefillPerSecond*float64(spec.Layers)/factor)
}

// decodeSeconds returns the seconds that one output token takes in one layer.
func decodeSeconds(spec *protocol.EngineSpec, accelerator string) float64 {
	a, ok := spec.Accelerator(accelerator)
	if !ok || spec.Layers <= 0 {
		return 0
	}
	return spec.StepMS / 1000 * a.StepFactor / float64(spec.Layers)
}

// cacheCapacity returns how many tokens fit into an engine's KV cache beside the layers that
// it holds.
func cacheCapacity(spec *protocol.EngineSpec, e protocol.Endpoint) float64 {
	a, ok := spec.Accelerator(e.Accelerator)
	layers := float64(e.Layers.Layers())
	if !ok || spec.TokenLayerMB <= 0 {
		return 0
	}
	return max(0, (a.MemoryMB-layers*spec.LayerMB)/(layers*spec.TokenLayerMB))
}
