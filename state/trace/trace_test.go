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

func fill(b *trace.Log, stories, lines int) {
	for i := range stories {
		s := b.Start(protocol.RequestID(i + 1))
		for l := range lines {
			s.Add(time.Unix(int64(l), 0), trace.Path, fmt.Sprint("fast1-1 middle2-3 slow3-2 ", l))
		}
	}
}

func TestABookForgetsTheOldestAndCountsLongStories(t *testing.T) {
	var b trace.Log
	fill(&b, 5000, 1)
	_, _, ok := b.Read(1)
	require.False(t, ok)
	_, _, ok = b.Read(5000)
	require.True(t, ok)
	s := b.Start(9999)
	for range 70 {
		s.Add(time.Unix(1, 0), trace.Retried, "x")
	}
	lines, dropped, ok := b.Read(9999)
	require.True(t, ok)
	require.Len(t, lines, 64)
	require.Equal(t, 6, dropped)
}

// BenchmarkBook measures the memory of stories of six lines.
func BenchmarkBook(b *testing.B) {
	for _, n := range []int{500, 2000, 4096} {
		b.Run(fmt.Sprint("stories=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var book *trace.Log
			for b.Loop() {
				book = nil //nolint:ineffassign // the older book must not count
				runtime.GC()
				runtime.ReadMemStats(&before)
				book = &trace.Log{}
				fill(book, n, 6)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(book)
		})
	}
}
