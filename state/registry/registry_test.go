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
	{Name: "llm", Engine: &protocol.EngineSpec{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.1, PrefillPerSecond: 1000,
		Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 1000, ReadFactor: 2}},
	}},
}

func newRegistry() *registry.Registry {
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

func TestViewGroupsEnginesByDataCenter(t *testing.T) {
	r := newRegistry()
	require.False(t, r.HasList())
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{
		engine("x", "b", 0, 5), engine("y", "a", 5, 10), engine("empty", "a", 0, 0), {ID: "p", Service: "plain", DataCenter: "b"},
	}, now)
	require.True(t, r.HasList())
	require.Equal(t, []string{"a", "b"}, r.View().EngineDataCenters("llm"))
	require.NotNil(t, r.View().Runner("x"))
	require.Nil(t, r.View().Runner("empty"), "an engine without layers can't serve")
	require.Len(t, r.View().Model(registry.ModelName("plain", "")).Groups(), 1)
	require.InDelta(t, 1000.0, r.View().Runner("y").Spec().Capacity, 1e-9)
}

func TestUnchangedRecordKeepsMeasurements(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5)}, now)
	x := r.View().Runner("x")
	r.Add(engine("y", "a", 5, 10))
	require.Same(t, x, r.View().Runner("x"))
	moved := engine("x", "a", 2, 5)
	require.False(t, r.Add(moved))
	require.NotSame(t, x, r.View().Runner("x"))
}

func TestLeavingEndpointIsNotUsable(t *testing.T) {
	r := newRegistry()
	r.Add(engine("x", "a", 0, 10))
	e := engine("x", "a", 0, 10)
	e.Leaving = true
	r.Add(e)
	require.False(t, r.View().Runner("x").Usable(time.Unix(100, 0)))
}

func TestEndpointsThatVanishInOutageAreKeptForGracePeriod(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	leaving := engine("z", "a", 0, 5)
	leaving.Leaving = true
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5), engine("y", "a", 5, 10), leaving}, now)
	r.MarkOutage(now)
	require.False(t, r.Remove("x", now.Add(time.Second)))
	require.Equal(t, []string{"z"}, ids(r.Replace([]protocol.Endpoint{engine("y", "a", 5, 10)}, now.Add(time.Second))),
		"an endpoint that announced that it leaves is not kept")
	require.NotNil(t, r.View().Runner("x"))
	require.Empty(t, r.Sweep(now.Add(2*time.Second)))
	require.Equal(t, []string{"x"}, ids(r.Sweep(now.Add(2600*time.Millisecond))))
	require.Nil(t, r.View().Runner("x"))
}

func TestEndpointThatReturnsAfterOutageIsKept(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5)}, now)
	r.MarkOutage(now)
	r.Remove("x", now)
	r.Add(engine("x", "a", 0, 5))
	require.Empty(t, r.Sweep(now.Add(time.Minute)))
	require.True(t, r.Remove("x", now.Add(time.Minute)), "long after the outage it is dropped at once")
}

func TestReadsIncludeAllEarlierChanges(t *testing.T) {
	r := newRegistry()
	before := r.Revision()
	r.Add(engine("x", "a", 0, 5))
	r.Add(engine("y", "b", 0, 10))
	require.Equal(t, before+2, r.Revision())
	require.NotNil(t, r.View().Runner("y"))
	require.Equal(t, []string{"a", "b"}, r.View().EngineDataCenters("llm"))
	require.Equal(t, []string{"x", "y"}, ids(r.Endpoints()))
	require.Same(t, r.View(), r.View(), "without a change nothing is rebuilt")
	r.Remove("x", time.Unix(100, 0))
	require.Equal(t, []string{"y"}, ids(r.Endpoints()))
	require.Nil(t, r.View().Runner("x"))
}

// atX returns a record of an engine at address x.
func atX(id string, incarnation protocol.Incarnation, heartbeats int, to int) protocol.Endpoint {
	e := engine(id, "a", 0, to)
	e.Address, e.Incarnation, e.Heartbeats = "x:1", incarnation, heartbeats
	return e
}

func TestRestartDropsMeasurements(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name          string
		before, after protocol.Endpoint
		restarted     bool
	}{
		{"a later incarnation", atX("x", 10, 3, 5), atX("x", 20, 3, 5), true},
		{"the same incarnation", atX("x", 10, 3, 5), atX("x", 10, 2, 5), false},
		{"a lower heartbeat count", atX("x", 0, 3, 5), atX("x", 0, 1, 5), true},
		{"an incarnation known for the first time", atX("x", 0, 3, 5), atX("x", 10, 3, 5), false},
	} {
		r := newRegistry()
		require.Equal(t, registry.Joined, r.Update(c.before, now), c.name)
		runner := r.View().Runner("x")
		runner.Failed(now)
		runner.MarkLost(now, now.Add(time.Hour))
		require.Equal(t, c.restarted, r.Update(c.after, now) == registry.Restarted, c.name)
		require.Equal(t, c.restarted, r.View().Runner("x") != runner, c.name)
		require.Equal(t, c.restarted, r.View().Runner("x").Usable(now), c.name)
	}
}

func TestRecordOfEarlierIncarnationIsIgnored(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Update(atX("x", 20, 1, 3), now)
	x := r.View().Runner("x")
	require.Equal(t, registry.Stale, r.Update(atX("x", 10, 9, 10), now))
	r.Replace([]protocol.Endpoint{atX("x", 10, 9, 10)}, now)
	require.Same(t, x, r.View().Runner("x"))
	require.True(t, r.Remove("x", now))
	require.Equal(t, registry.Stale, r.Update(atX("x", 10, 9, 10), now), "nor after the later record was removed")
	require.Empty(t, r.Endpoints())
	report := protocol.EngineReport{Incarnation: 10, LayersKnown: true}
	r.Update(atX("x", 20, 1, 3), now)
	require.Equal(t, registry.ReportIgnored, r.Report("x", &report, now.Add(time.Minute)), "nor does a report of that incarnation")
	require.False(t, r.LayersDenied("x", 10, now.Add(time.Minute)), "nor does an answer")
	require.Len(t, r.View().EngineDataCenters("llm"), 1)
}

// TestLateRecordThatRemainsIsAccepted guards against excluding a running engine for good. A
// running process overwrites a late write of its earlier incarnation. A process whose clock
// was set back, or whose ID another process recorded with a later start, only looks like an
// earlier incarnation, and its record remains.
func TestLateRecordThatRemainsIsAccepted(t *testing.T) {
	now := time.Unix(100, 0)
	acceptedAt := now.Add(registry.ProbeGrace)
	later, earlier := atX("x", 20, 1, 3), atX("x", 10, 1, 10)
	for _, c := range []struct {
		name        string
		meantime    func(r *registry.Registry)
		incarnation protocol.Incarnation
	}{
		{"it remains", func(*registry.Registry) {}, 10},
		{"it is listed again", func(r *registry.Registry) { r.Replace([]protocol.Endpoint{earlier}, acceptedAt.Add(-1)) }, 10},
		{"the later record was removed before", func(r *registry.Registry) { r.Update(earlier, now) }, 10},
		{"it is overwritten", func(r *registry.Registry) { r.Update(later, now) }, 20},
		{"it is not in a list", func(r *registry.Registry) { r.Replace([]protocol.Endpoint{later}, now) }, 20},
		{"it is removed", func(r *registry.Registry) { r.Remove("x", now) }, 0},
		{"it is replaced by an unusable record", func(r *registry.Registry) { r.Discard("x") }, 0},
		{"running processes cannot write", func(r *registry.Registry) { r.MarkOutage(acceptedAt) }, 20},
	} {
		r := newRegistry()
		r.Update(later, now)
		runner := r.View().Runner("x")
		if c.name == "the later record was removed before" {
			r.Remove("x", now)
		}
		require.Equal(t, registry.Stale, r.Update(earlier, now), c.name)
		c.meantime(r)
		r.Sweep(acceptedAt.Add(-time.Millisecond))
		require.Empty(t, r.TakeRestarted(), c.name)
		r.Sweep(acceptedAt)
		if c.incarnation == 0 {
			require.Empty(t, r.Endpoints(), c.name)
			continue
		}
		require.Len(t, r.Endpoints(), 1, c.name)
		require.Equal(t, c.incarnation, r.Endpoints()[0].Incarnation, c.name)
		require.Equal(t, c.incarnation == 10, r.View().Runner("x") != runner, c.name)
		require.Equal(t, c.incarnation == 10, len(r.TakeRestarted()) == 1, c.name)
		require.Equal(t, c.incarnation == 10, r.Report("x", &protocol.EngineReport{Incarnation: 10, LayersKnown: true}, acceptedAt.Add(time.Minute)) == registry.ReportDiffers, c.name)
	}
}

func TestEngineThatDeniesItsLayersCountsAsEmpty(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Update(atX("x", 0, 2, 5), now)
	require.False(t, r.LayersDenied("x", 0, now.Add(-time.Second)), "its record has changed since")
	require.True(t, r.LayersDenied("x", 0, now.Add(time.Second)))
	require.False(t, r.LayersDenied("x", 0, now.Add(2*time.Second)), "it is already known")
	require.Nil(t, r.View().Runner("x"))
	require.Equal(t, protocol.Span{}, r.Endpoints()[0].Layers, "it can be assigned layers")
	r.Update(atX("x", 0, 2, 5), now.Add(3*time.Second))
	require.Nil(t, r.View().Runner("x"), "its record has not changed")
	r.Update(atX("x", 0, 3, 7), now.Add(4*time.Second))
	require.NotNil(t, r.View().Runner("x"))
}

func TestReportComparedWithRecord(t *testing.T) {
	now := time.Unix(100, 0)
	span := protocol.Span{From: 0, To: 5}
	for _, c := range []struct {
		name      string
		report    protocol.EngineReport
		after     time.Duration
		want      registry.ReportResult
		layers    protocol.Span
		restarted bool
	}{
		{"the same", protocol.EngineReport{Layers: span, LayersKnown: true, Orders: 2}, time.Second, registry.ReportMatches, span, false},
		{"no layers named", protocol.EngineReport{Orders: 2}, time.Second, registry.ReportIgnored, span, false},
		{"no layers held", protocol.EngineReport{LayersKnown: true, Orders: 2}, time.Second, registry.ReportDiffers, protocol.Span{}, false},
		{"no layers held, from before the record changed", protocol.EngineReport{LayersKnown: true, Orders: 2}, 100 * time.Millisecond, registry.ReportIgnored, span, false},
		{"a lower order count", protocol.EngineReport{LayersKnown: true, Orders: 1}, 100 * time.Millisecond, registry.ReportDiffers, protocol.Span{}, true},
		{"a late report of the same incarnation", protocol.EngineReport{LayersKnown: true, Orders: 1, Incarnation: 10}, time.Second, registry.ReportIgnored, span, false},
		{"a later incarnation", protocol.EngineReport{LayersKnown: true, Orders: 2, Incarnation: 20}, 100 * time.Millisecond, registry.ReportDiffers, protocol.Span{}, true},
	} {
		r := newRegistry()
		r.Update(atX("x", 10, 7, 5), now)
		r.Report("x", &protocol.EngineReport{Layers: span, LayersKnown: true, Orders: 2}, now)
		require.Equal(t, c.want, r.Report("x", &c.report, now.Add(c.after)), c.name)
		require.Equal(t, c.layers, r.Endpoints()[0].Layers, c.name)
		require.Equal(t, c.restarted, len(r.TakeRestarted()) == 1, c.name)
		require.Empty(t, r.TakeRestarted())
	}
}

func TestUnrecordedEndpointIsListedUntilRecorded(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Update(atX("old", 0, 0, 5), now)
	r.OwnerAnswered("old", "next", 0, now.Add(time.Second))
	known := r.Unrecorded(now.Add(2 * time.Second))
	require.Len(t, known, 1)
	require.Equal(t, atX("next", 0, 0, 0), known[0], "the properties are those of the other record, except for the layers")
	require.Empty(t, r.Endpoints(), "it serves nothing")
	r.Remove("old", now.Add(3*time.Second))
	require.Len(t, r.Unrecorded(now.Add(4*time.Second)), 1, "the other record is no longer needed")
	r.Update(atX("next", 0, 0, 0), now.Add(5*time.Second))
	require.Empty(t, r.Unrecorded(now.Add(5*time.Second)))
	r.OwnerAnswered("next", "third", 0, now.Add(6*time.Second))
	require.Empty(t, r.Unrecorded(now.Add(time.Minute)), "an endpoint that is never recorded is dropped")
}

func TestSweepDropsUnrecordedEndpoints(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Update(atX("old", 0, 0, 5), now)
	r.OwnerAnswered("old", "next", 0, now)
	r.Sweep(now.Add(time.Minute))
	require.Empty(t, r.Unrecorded(now), "Sweep has dropped it without a read before")
}

// TestDenialOutlastsEarlierProbe guards against clearing a denial by an older answer: the owner
// of an address may still lack the layers of its record.
func TestDenialOutlastsEarlierProbe(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Update(atX("x", 0, 2, 5), now)
	require.True(t, r.LayersDenied("x", 0, now.Add(2*time.Second)))
	require.False(t, r.LayersConfirmed("x", now.Add(time.Second)), "the probe is older than the denial")
	p, ok := r.ProbeIfDue("x", now.Add(3*time.Second))
	require.True(t, ok)
	require.True(t, p.AsksLayers(), "its layers are unclear as well")
	require.True(t, r.LayersConfirmed("x", now.Add(4*time.Second)))
	p, _ = r.ProbeOf("x")
	require.False(t, p.AsksLayers())
}

func TestCountIsOfLastRebuild(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	require.Zero(t, r.Count())
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 5)}, now)
	require.Len(t, r.Endpoints(), 1)
	r.Update(engine("y", "a", 5, 10), now)
	require.Equal(t, 1, r.Count(), "Count does not rebuild")
	require.Len(t, r.Endpoints(), 2)
	require.Equal(t, 2, r.Count())
}

func TestUseChangesAreReturnedOnce(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Update(atX("old", 0, 0, 5), now)
	r.Update(atX("new", 0, 0, 0), now)
	require.Equal(t, []string{"new"}, ids(r.Endpoints()))
	changes := r.TakeUseChanges()
	require.Len(t, changes, 1)
	require.Equal(t, "old", changes[0].Endpoint())
	require.Equal(t, "new", changes[0].Owner())
	require.False(t, changes[0].Used())
	require.Empty(t, r.TakeUseChanges())
	require.True(t, r.OwnerAnswered("old", "old", 0, now.Add(time.Second)))
	require.Equal(t, []string{"old"}, ids(r.Endpoints()))
	require.Len(t, r.TakeUseChanges(), 2)
	require.True(t, r.Has("new"))
}

// BenchmarkStart adds a starting fleet endpoint by endpoint, and reads the view once.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{40, 400, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				r := newRegistry()
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

// BenchmarkOneChange changes one endpoint and reads the view, for a fleet and one twice as large.
func BenchmarkOneChange(b *testing.B) {
	for _, n := range []int{3005, 6010} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRegistry()
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

// TestLeavingIsBelievedOfARecordThatSeemsEarlier guards against requests to an endpoint that started again after its
// clock was set back, and drains: its records seem to be of an earlier start.
func TestLeavingIsBelievedOfARecordThatSeemsEarlier(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	first := engine("x", "a", 0, 10)
	first.Incarnation = 10_000
	second := first
	second.Incarnation = 8_000
	r.Replace([]protocol.Endpoint{first}, now)
	require.Equal(t, registry.Stale, r.Update(second, now), "it arrives again: that waits")
	leaving := second
	leaving.Leaving = true
	require.Equal(t, registry.StaleLeaving, r.Update(leaving, now.Add(time.Second)))
	require.True(t, r.Endpoints()[0].Leaving)
	require.Equal(t, registry.Stale, r.Update(leaving, now.Add(time.Second)))
	later := first
	later.Heartbeats++
	require.Equal(t, registry.Changed, r.Update(later, now.Add(2*time.Second)))
	require.False(t, r.Endpoints()[0].Leaving, "a running process overwrites a late write, which then costs a heartbeat")
	r.Replace([]protocol.Endpoint{leaving}, now.Add(3*time.Second))
	require.True(t, r.Endpoints()[0].Leaving, "in a list, too")
}

// TestModelOfEveryDataCenterIsInTheSameView guards against a nil model, which ended the process: the data
// centers were read after the view, and an engine had joined in between.
func TestModelOfEveryDataCenterIsInTheSameView(t *testing.T) {
	r := newRegistry()
	now := time.Unix(100, 0)
	r.Replace([]protocol.Endpoint{engine("x", "a", 0, 10)}, now)
	view := r.View()
	r.Add(engine("y", "b", 0, 10))
	r.View()
	for _, dataCenter := range view.EngineDataCenters("llm") {
		require.NotNil(t, view.Model(registry.ModelName("llm", dataCenter)), dataCenter)
	}
	require.Equal(t, []string{"a"}, view.EngineDataCenters("llm"))
	require.Equal(t, []string{"a", "b"}, r.View().EngineDataCenters("llm"))
}
