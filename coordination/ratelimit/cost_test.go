// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/ratelimit"
	"pinerun.example/pinerun/protocol"
)

// maxBytesPerSecond is what the reports about one endpoint may cost each entry: a twentieth of the
// 20 kB a second that an entry may spend on control.
const maxBytesPerSecond = 1000

// TestReportsAboutOneEndpointCostLittle measures the reports that every entry receives about one
// endpoint that all want to send to.
func TestReportsAboutOneEndpointCostLittle(t *testing.T) {
	message := protocol.RateReport{
		Endpoint: "i-18ab123cab", Incarnation: 1_764_771_484_000, Observer: "front-gyor-b-2", Number: 1_764_771_484_000_000_000,
		Observation: protocol.RateLimitLent, Limit: 4.2, Borrower: "front-gyor-b-1", Share: 1.0 / 7, AgoMS: 3.25,
	}
	b, err := cbor.Marshal([]protocol.RateReport{message})
	require.NoError(t, err)
	for _, entries := range []int{7, 985, 1970} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			f := newFleet(entries, 5)
			f.name()
			const seconds = 20
			f.run(seconds*time.Second, func(entry int) float64 { return 5 * float64(max(0, 1-entry%3)) })
			perSecond := float64(f.reports) / seconds
			t.Logf("%d entries: %.1f reports and %.0f bytes a second to each", entries, perSecond, perSecond*float64(len(b)))
			require.Less(t, perSecond*float64(len(b)), float64(maxBytesPerSecond))
		})
	}
}

// BenchmarkAdmission measures the check of one endpoint with a limit, beside as many other entries as
// may share it.
func BenchmarkAdmission(b *testing.B) {
	f := newFleet(985, 5)
	f.name()
	f.run(5*time.Second, func(int) float64 { return 1 })
	targets := []protocol.EndpointProcess{endpoint}
	b.ReportAllocs()
	for b.Loop() {
		f.now = f.now.Add(time.Millisecond)
		f.trackers[0].NextAt(endpoint, f.now)
		f.trackers[0].TakeAll(targets, f.now)
	}
}

// BenchmarkMembers measures what a change of the members costs at the next check of an endpoint.
func BenchmarkMembers(b *testing.B) {
	var names []string
	for i := range 1970 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	f := newFleet(1, 5)
	f.name()
	b.ReportAllocs()
	for b.Loop() {
		f.trackers[0].SetMembers("entry-0", names)
		f.trackers[0].NextAt(endpoint, f.now)
	}
}

// BenchmarkEndpointMemory measures the memory of one endpoint with a limit.
func BenchmarkEndpointMemory(b *testing.B) {
	for b.Loop() {
		const endpoints = 1000
		var before, after runtime.MemStats
		var tracker ratelimit.Tracker
		tracker.SetMembers("entry-0", []string{"entry-0"})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range endpoints {
			tracker.RecordAnswer(protocol.EndpointProcess{ID: fmt.Sprint("i-", i)}, 5, time.Time{}, time.Unix(1, 0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/endpoints, "bytes/endpoint")
		runtime.KeepAlive(&tracker)
	}
}
