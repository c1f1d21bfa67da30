// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/forward"
)

// fakeEngine answers the probes of one address.
type fakeEngine struct {
	Engines

	id     string
	report protocol.EngineReport
	err    error
}

func (e *fakeEngine) Identify(context.Context, string, string) (string, error) { return e.id, e.err }

func (e *fakeEngine) Report(context.Context, string) (protocol.EngineReport, error) {
	return e.report, e.err
}

// TestProbeResultIsApplied probes the address of an engine that denied its layers.
func TestProbeResultIsApplied(t *testing.T) {
	span := protocol.Span{From: 0, To: 5}
	for _, c := range []struct {
		name   string
		engine fakeEngine
		used   bool
		layers protocol.Span
	}{
		{"another process", fakeEngine{id: "other"}, false, protocol.Span{}},
		{"itself, with its layers", fakeEngine{id: "x", report: protocol.EngineReport{Layers: span, LayersKnown: true}}, true, span},
		{"itself, without layers", fakeEngine{id: "x", report: protocol.EngineReport{LayersKnown: true}}, true, protocol.Span{}},
		{"itself, layers not reported", fakeEngine{id: "x"}, true, span},
		{"no answer", fakeEngine{err: errors.New("no answer")}, true, protocol.Span{}},
		{"no name", fakeEngine{}, true, protocol.Span{}},
	} {
		f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{Engines: &c.engine}}
		f.forwarder = forward.Forwarder{Registry: &f.endpoints, Counters: f.Counters}
		f.source.OnLossChange = f.applyLossChange
		services := []protocol.RoutedService{{Name: "llm", HealthPath: "/health", Engine: &protocol.EngineSpec{Layers: 5}}}
		table, err := routing.Build(protocol.Routing{Version: 1, Services: services})
		require.NoError(t, err)
		f.routing.Offer(table)
		f.endpoints.SetServices(services)
		now := time.Now()
		f.endpoints.Update(protocol.Endpoint{ID: "x", Service: "llm", Address: "x:1", Layers: span}, now.Add(-time.Minute))
		require.True(t, f.endpoints.LayersDenied("x", 0, now.Add(-10*time.Second)))
		probes := f.endpoints.DueProbes(false, now)
		require.Len(t, probes, 1)
		(&addressProbe{front: f, probe: probes[0]}).run()
		require.Equal(t, c.used, len(f.endpoints.Endpoints()) == 1, c.name)
		if c.used {
			require.Equal(t, c.layers, f.endpoints.Endpoints()[0].Layers, c.name)
		}
	}
}
