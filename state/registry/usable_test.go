// SPDX-License-Identifier: Apache-2.0

package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
)

// TestUnusableEndpointsAreExcluded applies records that refer to unknown services, data
// centers, layers and accelerators.
func TestUnusableEndpointsAreExcluded(t *testing.T) {
	r := newRegistry()
	r.DataCenters = []string{"b", "c"}
	plain := protocol.Endpoint{ID: "plain", Service: "plain", DataCenter: "b"}
	whole := engine("whole", "c", 0, 10)
	outside := engine("outside", "b", 5, 11)
	nowhere := engine("nowhere", "z", 0, 10)
	unknown := engine("unknown", "b", 0, 10)
	unknown.Accelerator = "abacus"
	unspecified := engine("unspecified", "b", 0, 10)
	unspecified.Accelerator = ""
	otherService := protocol.Endpoint{ID: "other-service", Service: "another", DataCenter: "b"}
	plainWithLayers := protocol.Endpoint{ID: "layered", Service: "plain", DataCenter: "b", Layers: protocol.Span{From: 0, To: 1}}
	local := engine("local", "a", 0, 10)
	r.Replace([]protocol.Endpoint{plain, whole, outside, nowhere, unknown, unspecified, otherService, plainWithLayers, local}, time.Unix(100, 0))
	require.Equal(t, []string{"local", "plain", "unspecified", "whole"}, ids(r.Endpoints()))
	faults := map[string]protocol.RecordFault{}
	for _, u := range r.Unusable() {
		faults[u.Endpoint().ID] = u.Fault()
	}
	require.Equal(t, map[string]protocol.RecordFault{
		"outside": protocol.RecordLayersOutside, "nowhere": protocol.RecordDataCenterUnknown,
		"unknown": protocol.RecordAcceleratorUnknown, "other-service": protocol.RecordServiceUnknown,
		"layered": protocol.RecordLayersOutside,
	}, faults)
	require.Nil(t, r.View().Runner("outside"))
	r.SetServices(append(services, protocol.RoutedService{Name: "another"}))
	require.Contains(t, ids(r.Endpoints()), "other-service", "a later table names the service")
}

// TestUsedEndpointsFit checks, for any records, that each endpoint in use has a known service and
// data center, and layers of its model.
func TestUsedEndpointsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &registry.Registry{Entry: fleet.Entry{Name: "e1", DataCenter: "a"}, DataCenters: []string{"a", "b"}}
		r.SetServices(services)
		id := rapid.SampledFrom([]string{"e1", "e2", "e3"})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				r.Add(protocol.Endpoint{
					ID: id.Draw(t, "id"), Service: rapid.SampledFrom([]string{"plain", "llm", "other"}).Draw(t, "service"),
					DataCenter:  rapid.SampledFrom([]string{"a", "b", "z"}).Draw(t, "center"),
					Accelerator: rapid.SampledFrom([]string{"t4", "abacus"}).Draw(t, "accelerator"),
					Layers:      protocol.Span{From: rapid.IntRange(-2, 12).Draw(t, "from"), To: rapid.IntRange(-2, 12).Draw(t, "to")},
				})
			},
			"discard": func(t *rapid.T) {
				gone := id.Draw(t, "id")
				r.Discard(gone)
				for _, e := range r.Endpoints() {
					require.NotEqual(t, gone, e.ID)
				}
			},
			"": func(t *rapid.T) {
				for _, e := range r.Endpoints() {
					require.Contains(t, []string{"a", "b"}, e.DataCenter)
					switch e.Service {
					case "plain":
						require.LessOrEqual(t, e.Layers.Layers(), 0)
					case "llm":
						require.Equal(t, "t4", e.Accelerator)
						require.True(t, 0 <= e.Layers.From && e.Layers.From <= e.Layers.To && e.Layers.To <= 10, "%v", e.Layers)
					default:
						t.Fatalf("service %s", e.Service)
					}
				}
			},
		})
	})
}
