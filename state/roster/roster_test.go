// SPDX-License-Identifier: Apache-2.0

package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/roster"
)

var services = []protocol.RoutedService{
	{Name: "plain"},
	{Name: "llm", Engine: &protocol.EngineFacts{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.1, ReadPerSecond: 1000,
		Accelerators: []protocol.AcceleratorFacts{{Name: "t4", MemoryMB: 1000, ReadFactor: 2}},
	}},
}

func newRoster() *roster.Roster {
	r := &roster.Roster{Home: fleet.Home{Name: "e1", DataCenter: "a"}}
	r.Services(services)
	return r
}

func engine(id, center string, from, to int) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Service: "llm", Address: id + ":1", DataCenter: center, Accelerator: "t4", Layers: protocol.Span{From: from, To: to}}
}

func ids(list []protocol.Endpoint) []string {
	var names []string
	for _, e := range list {
		names = append(names, e.ID)
	}
	return names
}

func TestTheViewHoldsEnginesByDataCenterAndServicesWhole(t *testing.T) {
	r := newRoster()
	require.False(t, r.Known())
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{
		engine("x", "b", 0, 5), engine("y", "a", 5, 10), engine("empty", "a", 0, 0), {ID: "p", Service: "plain", DataCenter: "b"},
	}, now)
	require.True(t, r.Known())
	require.Equal(t, []string{"a", "b"}, r.Centers("llm"))
	require.NotNil(t, r.View().Runner("x"))
	require.Nil(t, r.View().Runner("empty"), "an engine without layers can't serve")
	require.Len(t, r.View().Model(roster.ModelName("plain", "")).Groups(), 1)
	require.InDelta(t, 1000.0, r.View().Runner("y").Spec().Room, 1e-9)
}

func TestWhatIsMeasuredStaysWhileTheRecordIsTheSame(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5)}, now)
	x := r.View().Runner("x")
	r.Put(engine("y", "a", 5, 10))
	require.Same(t, x, r.View().Runner("x"))
	moved := engine("x", "a", 2, 5)
	require.False(t, r.Put(moved))
	require.NotSame(t, x, r.View().Runner("x"))
}

func TestALeavingEndpointTakesNoNewWork(t *testing.T) {
	r := newRoster()
	r.Put(engine("x", "a", 0, 10))
	e := engine("x", "a", 0, 10)
	e.Leaving = true
	r.Put(e)
	require.False(t, r.View().Runner("x").Usable(time.Unix(100, 0)))
}

func TestEndpointsThatVanishInAnOutageAreBelievedInForAMoment(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	leaving := engine("z", "a", 0, 5)
	leaving.Leaving = true
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5), engine("y", "a", 5, 10), leaving}, now)
	r.Outage(now)
	require.False(t, r.Remove("x", now.Add(time.Second)))
	require.Equal(t, []string{"z"}, ids(r.Replace([]protocol.Endpoint{engine("y", "a", 5, 10)}, now.Add(time.Second))),
		"one that said that it leaves is not believed in")
	require.NotNil(t, r.View().Runner("x"))
	require.Empty(t, r.Sweep(now.Add(2*time.Second)))
	require.Equal(t, []string{"x"}, ids(r.Sweep(now.Add(2600*time.Millisecond))))
	require.Nil(t, r.View().Runner("x"))
}

func TestAnEndpointThatComesBackAfterAnOutageStays(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5)}, now)
	r.Outage(now)
	r.Remove("x", now)
	r.Put(engine("x", "a", 0, 5))
	require.Empty(t, r.Sweep(now.Add(time.Minute)))
	require.True(t, r.Remove("x", now.Add(time.Minute)), "long after the outage, gone is gone")
}

func TestEachLookHoldsAllThatWasTakenBefore(t *testing.T) {
	r := newRoster()
	before := r.Changes()
	r.Put(engine("x", "a", 0, 5))
	r.Put(engine("y", "b", 0, 10))
	require.Equal(t, before+2, r.Changes())
	require.NotNil(t, r.View().Runner("y"))
	require.Equal(t, []string{"a", "b"}, r.Centers("llm"))
	require.Equal(t, []string{"x", "y"}, ids(r.Endpoints()))
	require.Same(t, r.View(), r.View(), "nothing is derived anew without a change")
	r.Remove("x", time.Unix(100, 0))
	require.Equal(t, []string{"y"}, ids(r.Endpoints()))
	require.Nil(t, r.View().Runner("x"))
}

// BenchmarkStart takes a fleet that starts, endpoint by endpoint, and looks once.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{40, 400, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				r := newRoster()
				for i := range n {
					r.Put(engine(fmt.Sprint("e-", i), "a", 0, 5))
				}
				if r.View().Runner("e-1") == nil {
					b.Fatal("not there")
				}
			}
		})
	}
}
