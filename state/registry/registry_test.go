// SPDX-License-Identifier: Apache-2.0

package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
)

var services = []protocol.RoutedService{
	{Name: "plain"},
	{Name: "llm", Engine: &protocol.EngineFacts{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.1, ReadPerSecond: 1000,
		Accelerators: []protocol.AcceleratorFacts{{Name: "t4", MemoryMB: 1000, ReadFactor: 2}},
	}},
}

func newRoster() *registry.Registry {
	r := &registry.Registry{Entry: fleet.Entry{Name: "e1", DataCenter: "a"}}
	r.SetServices(services)
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
	require.False(t, r.HasList())
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{
		engine("x", "b", 0, 5), engine("y", "a", 5, 10), engine("empty", "a", 0, 0), {ID: "p", Service: "plain", DataCenter: "b"},
	}, now)
	require.True(t, r.HasList())
	require.Equal(t, []string{"a", "b"}, r.EngineDataCenters("llm"))
	require.NotNil(t, r.View().Runner("x"))
	require.Nil(t, r.View().Runner("empty"), "an engine without layers can't serve")
	require.Len(t, r.View().Model(registry.ModelName("plain", "")).Groups(), 1)
	require.InDelta(t, 1000.0, r.View().Runner("y").Spec().Room, 1e-9)
}

func TestWhatIsMeasuredStaysWhileTheRecordIsTheSame(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5)}, now)
	x := r.View().Runner("x")
	r.Add(engine("y", "a", 5, 10))
	require.Same(t, x, r.View().Runner("x"))
	moved := engine("x", "a", 2, 5)
	require.False(t, r.Add(moved))
	require.NotSame(t, x, r.View().Runner("x"))
}

func TestALeavingEndpointTakesNoNewWork(t *testing.T) {
	r := newRoster()
	r.Add(engine("x", "a", 0, 10))
	e := engine("x", "a", 0, 10)
	e.Leaving = true
	r.Add(e)
	require.False(t, r.View().Runner("x").Usable(time.Unix(100, 0)))
}

func TestEndpointsThatVanishInAnOutageAreBelievedInForAMoment(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	leaving := engine("z", "a", 0, 5)
	leaving.Leaving = true
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5), engine("y", "a", 5, 10), leaving}, now)
	r.MarkOutage(now)
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
	r.MarkOutage(now)
	r.Remove("x", now)
	r.Add(engine("x", "a", 0, 5))
	require.Empty(t, r.Sweep(now.Add(time.Minute)))
	require.True(t, r.Remove("x", now.Add(time.Minute)), "long after the outage, gone is gone")
}

func TestEachLookHoldsAllThatWasTakenBefore(t *testing.T) {
	r := newRoster()
	before := r.Revision()
	r.Add(engine("x", "a", 0, 5))
	r.Add(engine("y", "b", 0, 10))
	require.Equal(t, before+2, r.Revision())
	require.NotNil(t, r.View().Runner("y"))
	require.Equal(t, []string{"a", "b"}, r.EngineDataCenters("llm"))
	require.Equal(t, []string{"x", "y"}, ids(r.Endpoints()))
	require.Same(t, r.View(), r.View(), "nothing is derived anew without a change")
	r.Remove("x", time.Unix(100, 0))
	require.Equal(t, []string{"y"}, ids(r.Endpoints()))
	require.Nil(t, r.View().Runner("x"))
}

// atX returns a record of an engine at address x.
func atX(id string, life protocol.Incarnation, beats int, to int) protocol.Endpoint {
	e := engine(id, "a", 0, to)
	e.Address, e.Incarnation, e.Heartbeats = "x:1", life, beats
	return e
}

func TestARestartForgetsWhatWasMeasuredOfTheEarlierLife(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name          string
		before, after protocol.Endpoint
		restarted     bool
	}{
		{"a later start", atX("x", 10, 3, 5), atX("x", 20, 3, 5), true},
		{"the same start", atX("x", 10, 3, 5), atX("x", 10, 2, 5), false},
		{"records counted anew", atX("x", 0, 3, 5), atX("x", 0, 1, 5), true},
		{"a start told for the first time", atX("x", 0, 3, 5), atX("x", 10, 3, 5), false},
	} {
		r := newRoster()
		require.Equal(t, registry.Joined, r.Update(c.before, now), c.name)
		runner := r.View().Runner("x")
		runner.Failed(now)
		runner.MarkLost(now, now.Add(time.Hour))
		require.Equal(t, c.restarted, r.Update(c.after, now) == registry.Restarted, c.name)
		require.Equal(t, c.restarted, r.View().Runner("x") != runner, c.name)
		require.Equal(t, c.restarted, r.View().Runner("x").Usable(now), c.name)
	}
}

func TestARecordOfAnEarlierLifeChangesNothing(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Update(atX("x", 20, 1, 3), now)
	x := r.View().Runner("x")
	require.Equal(t, registry.Stale, r.Update(atX("x", 10, 9, 10), now))
	r.Replace([]protocol.Endpoint{atX("x", 10, 9, 10)}, now)
	require.Same(t, x, r.View().Runner("x"))
	require.True(t, r.Remove("x", now))
	require.Equal(t, registry.Stale, r.Update(atX("x", 10, 9, 10), now), "nor after the later one's has gone")
	require.Empty(t, r.Endpoints())
	report := protocol.EngineReport{Incarnation: 10, LayersKnown: true}
	r.Update(atX("x", 20, 1, 3), now)
	require.Equal(t, registry.ReportIgnored, r.Report("x", &report, now.Add(time.Minute)), "nor does a report of that life")
	require.False(t, r.LayersDenied("x", 10, now.Add(time.Minute)), "nor an answer")
	require.Len(t, r.EngineDataCenters("llm"), 1)
}

// TestALifeWhoseRecordStandsIsNotOver: a process that lives writes over what an earlier life of it
// wrote late. One whose clock was set back, or whose ID somebody else recorded with a later
// start, looks like an earlier life and is not.
func TestALifeWhoseRecordStandsIsNotOver(t *testing.T) {
	now := time.Unix(100, 0)
	stands := now.Add(registry.ProbeGrace)
	later, earlier := atX("x", 20, 1, 3), atX("x", 10, 1, 10)
	for _, c := range []struct {
		name     string
		meantime func(r *registry.Registry)
		life     protocol.Incarnation
	}{
		{"it stands", func(*registry.Registry) {}, 10},
		{"it is listed again", func(r *registry.Registry) { r.Replace([]protocol.Endpoint{earlier}, stands.Add(-1)) }, 10},
		{"the later one's record has gone before", func(r *registry.Registry) { r.Update(earlier, now) }, 10},
		{"it is written over", func(r *registry.Registry) { r.Update(later, now) }, 20},
		{"it is not in a list", func(r *registry.Registry) { r.Replace([]protocol.Endpoint{later}, now) }, 20},
		{"it goes", func(r *registry.Registry) { r.Remove("x", now) }, 0},
		{"it is replaced by one that can't be used", func(r *registry.Registry) { r.Discard("x") }, 0},
		{"who lives can't write", func(r *registry.Registry) { r.MarkOutage(stands) }, 20},
	} {
		r := newRoster()
		r.Update(later, now)
		runner := r.View().Runner("x")
		if c.name == "the later one's record has gone before" {
			r.Remove("x", now)
		}
		require.Equal(t, registry.Stale, r.Update(earlier, now), c.name)
		c.meantime(r)
		r.Sweep(stands.Add(-time.Millisecond))
		require.Empty(t, r.TakeRestarted(), c.name)
		r.Sweep(stands)
		if c.life == 0 {
			require.Empty(t, r.Endpoints(), c.name)
			continue
		}
		require.Len(t, r.Endpoints(), 1, c.name)
		require.Equal(t, c.life, r.Endpoints()[0].Incarnation, c.name)
		require.Equal(t, c.life == 10, r.View().Runner("x") != runner, c.name)
		require.Equal(t, c.life == 10, len(r.TakeRestarted()) == 1, c.name)
		require.Equal(t, c.life == 10, r.Report("x", &protocol.EngineReport{Incarnation: 10, LayersKnown: true}, stands.Add(time.Minute)) == registry.ReportDiffers, c.name)
	}
}

func TestAnEngineThatLacksItsLayersCountsAsEmpty(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Update(atX("x", 0, 2, 5), now)
	require.False(t, r.LayersDenied("x", 0, now.Add(-time.Second)), "its record has told more since")
	require.True(t, r.LayersDenied("x", 0, now.Add(time.Second)))
	require.False(t, r.LayersDenied("x", 0, now.Add(2*time.Second)), "it is known")
	require.Nil(t, r.View().Runner("x"))
	require.Equal(t, protocol.Span{}, r.Endpoints()[0].Layers, "it can be given layers")
	r.Update(atX("x", 0, 2, 5), now.Add(3*time.Second))
	require.Nil(t, r.View().Runner("x"), "its record says what it said")
	r.Update(atX("x", 0, 3, 7), now.Add(4*time.Second))
	require.NotNil(t, r.View().Runner("x"))
}

func TestWhatAReportSaysOfARecord(t *testing.T) {
	now := time.Unix(100, 0)
	span := protocol.Span{From: 0, To: 5}
	for _, c := range []struct {
		name   string
		report protocol.EngineReport
		after  time.Duration
		says   registry.ReportResult
		layers protocol.Span
		anew   bool
	}{
		{"the same", protocol.EngineReport{Layers: span, LayersKnown: true, Orders: 2}, time.Second, registry.ReportMatches, span, false},
		{"nothing of layers", protocol.EngineReport{Orders: 2}, time.Second, registry.ReportIgnored, span, false},
		{"none", protocol.EngineReport{LayersKnown: true, Orders: 2}, time.Second, registry.ReportDiffers, protocol.Span{}, false},
		{"none, from before the record changed", protocol.EngineReport{LayersKnown: true, Orders: 2}, 100 * time.Millisecond, registry.ReportIgnored, span, false},
		{"orders counted anew", protocol.EngineReport{LayersKnown: true, Orders: 1}, 100 * time.Millisecond, registry.ReportDiffers, protocol.Span{}, true},
		{"fewer orders of the same life, which is late", protocol.EngineReport{LayersKnown: true, Orders: 1, Incarnation: 10}, time.Second, registry.ReportIgnored, span, false},
		{"a later start", protocol.EngineReport{LayersKnown: true, Orders: 2, Incarnation: 20}, 100 * time.Millisecond, registry.ReportDiffers, protocol.Span{}, true},
	} {
		r := newRoster()
		r.Update(atX("x", 10, 7, 5), now)
		r.Report("x", &protocol.EngineReport{Layers: span, LayersKnown: true, Orders: 2}, now)
		require.Equal(t, c.says, r.Report("x", &c.report, now.Add(c.after)), c.name)
		require.Equal(t, c.layers, r.Endpoints()[0].Layers, c.name)
		require.Equal(t, c.anew, len(r.TakeRestarted()) == 1, c.name)
		require.Empty(t, r.TakeRestarted())
	}
}

func TestWhoAnswersWithoutARecordIsKnownUntilItHasOne(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Update(atX("old", 0, 0, 5), now)
	r.OwnerAnswered("old", "next", 0, now.Add(time.Second))
	known := r.Unrecorded(now.Add(2 * time.Second))
	require.Len(t, known, 1)
	require.Equal(t, atX("next", 0, 0, 0), known[0], "what it is, is taken from the record, but not its layers")
	require.Empty(t, r.Endpoints(), "it serves nothing")
	r.Remove("old", now.Add(3*time.Second))
	require.Len(t, r.Unrecorded(now.Add(4*time.Second)), 1, "the other one's record is not needed any more")
	r.Update(atX("next", 0, 0, 0), now.Add(5*time.Second))
	require.Empty(t, r.Unrecorded(now.Add(5*time.Second)))
	r.OwnerAnswered("next", "third", 0, now.Add(6*time.Second))
	require.Empty(t, r.Unrecorded(now.Add(time.Minute)), "one that is never recorded is forgotten")
}

func TestAnswersOfManyNamesAreForgottenByWhoNeverOrders(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Update(atX("old", 0, 0, 5), now)
	r.OwnerAnswered("old", "next", 0, now)
	r.Sweep(now.Add(time.Minute))
	require.Empty(t, r.Unrecorded(now), "nobody looked at it before")
}

// TestADenialOutlastsWhatWasAskedBefore: who has an address says nothing of the layers there.
func TestADenialOutlastsWhatWasAskedBefore(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Update(atX("x", 0, 2, 5), now)
	require.True(t, r.LayersDenied("x", 0, now.Add(2*time.Second)))
	require.False(t, r.LayersConfirmed("x", now.Add(time.Second)), "it was asked before")
	q, there := r.ProbeIfDue("x", now.Add(3*time.Second))
	require.True(t, there)
	require.True(t, q.AsksLayers(), "its layers are in doubt as well")
	require.True(t, r.LayersConfirmed("x", now.Add(4*time.Second)))
	q, _ = r.ProbeOf("x")
	require.False(t, q.AsksLayers())
}

func TestEndpointsAreCountedAsOfTheLatestLook(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	require.Zero(t, r.Count())
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5)}, now)
	require.Len(t, r.Endpoints(), 1)
	r.Update(engine("y", "a", 5, 10), now)
	require.Equal(t, 1, r.Count(), "counting derives nothing")
	require.Len(t, r.Endpoints(), 2)
	require.Equal(t, 2, r.Count())
}

func TestEveryRecordThatGoesOutOfUseIsTold(t *testing.T) {
	r := newRoster()
	now := time.Unix(100, 0)
	r.Update(atX("old", 0, 0, 5), now)
	r.Update(atX("new", 0, 0, 0), now)
	require.Equal(t, []string{"new"}, ids(r.Endpoints()))
	told := r.TakeUseChanges()
	require.Len(t, told, 1)
	require.Equal(t, "old", told[0].Endpoint())
	require.Equal(t, "new", told[0].Owner())
	require.False(t, told[0].Used())
	require.Empty(t, r.TakeUseChanges())
	require.True(t, r.OwnerAnswered("old", "old", 0, now.Add(time.Second)))
	require.Equal(t, []string{"old"}, ids(r.Endpoints()))
	require.Len(t, r.TakeUseChanges(), 2)
	require.True(t, r.Has("new"))
}

// BenchmarkStart takes a fleet that starts, endpoint by endpoint, and looks once.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{40, 400, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				r := newRoster()
				for i := range n {
					r.Add(engine(fmt.Sprint("e-", i), "a", 0, 5))
				}
				if r.View().Runner("e-1") == nil {
					b.Fatal("not there")
				}
			}
		})
	}
}

// BenchmarkOneChange changes one endpoint and looks, at a fleet and at twice that.
func BenchmarkOneChange(b *testing.B) {
	for _, n := range []int{3005, 6010} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRoster()
			for i := range n {
				r.Add(engine(fmt.Sprint("e-", i), "a", 0, 5))
			}
			to := 4
			for b.Loop() {
				r.Add(engine("e-1", "a", 0, to))
				to = 9 - to
				if r.View().Runner("e-1") == nil {
					b.Fatal("not there")
				}
			}
		})
	}
}
