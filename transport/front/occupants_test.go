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

// asked is an address with what it says of itself.
type asked struct {
	Engines

	id     string
	report protocol.EngineReport
	err    error
}

func (a *asked) Identify(context.Context, string, string) (string, error) { return a.id, a.err }

func (a *asked) Report(context.Context, string) (protocol.EngineReport, error) {
	return a.report, a.err
}

// TestWhatAnAddressSaysIsBelieved asks the address of an engine whose layers were denied.
func TestWhatAnAddressSaysIsBelieved(t *testing.T) {
	span := protocol.Span{From: 0, To: 5}
	for _, c := range []struct {
		name   string
		says   asked
		used   bool
		layers protocol.Span
	}{
		{"another process", asked{id: "other"}, false, protocol.Span{}},
		{"itself, with its layers", asked{id: "x", report: protocol.EngineReport{Layers: span, LayersKnown: true}}, true, span},
		{"itself, without", asked{id: "x", report: protocol.EngineReport{LayersKnown: true}}, true, protocol.Span{}},
		{"itself, and nothing of layers", asked{id: "x"}, true, span},
		{"nothing", asked{err: errors.New("no answer")}, true, protocol.Span{}},
		{"no name", asked{}, true, protocol.Span{}},
	} {
		f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{Engines: &c.says}}
		f.forwarder = forward.Forwarder{Registry: &f.roster, Counters: f.Counters}
		f.source.OnLossChange = f.judged
		services := []protocol.RoutedService{{Name: "llm", HealthPath: "/health", Engine: &protocol.EngineFacts{Layers: 5}}}
		table, err := routing.Build(protocol.Routing{Version: 1, Services: services})
		require.NoError(t, err)
		f.routing.Offer(table)
		f.roster.SetServices(services)
		now := time.Now()
		f.roster.Update(protocol.Endpoint{ID: "x", Service: "llm", Address: "x:1", Layers: span}, now.Add(-time.Minute))
		require.True(t, f.roster.LayersDenied("x", 0, now.Add(-10*time.Second)))
		questions := f.roster.DueProbes(false, now)
		require.Len(t, questions, 1)
		(&inquiry{front: f, question: questions[0]}).run()
		require.Equal(t, c.used, len(f.roster.Endpoints()) == 1, c.name)
		if c.used {
			require.Equal(t, c.layers, f.roster.Endpoints()[0].Layers, c.name)
		}
	}
}
