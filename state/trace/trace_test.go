// SPDX-License-Identifier: Apache-2.0

package trace_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/trace"
)

func fill(log *trace.Log, traces, events int) {
	for i := range traces {
		t := log.Start(protocol.RequestID(i + 1))
		for j := range events {
			t.Add(time.Unix(int64(j), 0), trace.Path, fmt.Sprint("fast1-1 middle2-3 slow3-2 ", j))
		}
	}
}

func TestLogDropsOldestTraceAndCountsDroppedEvents(t *testing.T) {
	var log trace.Log
	fill(&log, 5000, 1)
	_, _, ok := log.Read(1)
	require.False(t, ok)
	_, _, ok = log.Read(5000)
	require.True(t, ok)
	tr := log.Start(9999)
	for range 70 {
		tr.Add(time.Unix(1, 0), trace.Retried, "x")
	}
	events, dropped, ok := log.Read(9999)
	require.True(t, ok)
	require.Len(t, events, 64)
	require.Equal(t, 6, dropped)
}

// BenchmarkLog measures the memory of traces of six events.
func BenchmarkLog(b *testing.B) {
	for _, n := range []int{500, 2000, 4096} {
		b.Run(fmt.Sprint("traces=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var log *trace.Log
			for b.Loop() {
				log = nil //nolint:ineffassign // the previous log must not count
				runtime.GC()
				runtime.ReadMemStats(&before)
				log = &trace.Log{}
				fill(log, n, 6)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(log)
		})
	}
}
