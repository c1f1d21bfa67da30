// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pinerun.example/pinerun/protocol"
)

// BenchmarkStanding asks for work that was at an end among 1,000 pieces, as an entry does for each
// request while anything is suspected.
func BenchmarkStanding(b *testing.B) {
	p := newPage()
	for n := range 1000 {
		p.tell(protocol.WorkBroke, number(n), "e-1", "entry")
	}
	p.book.RecordCrash("e-1", 1, p.now)
	b.ReportAllocs()
	for n := range b.N {
		p.standing(number(n % 2000))
	}
}

// BenchmarkTake tells of an outage: fresh work at ends, ten at each.
func BenchmarkTake(b *testing.B) {
	p := newPage()
	ends := []string{"e-0", "e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8", "e-9"}
	b.ReportAllocs()
	for n := range b.N {
		p.now = p.now.Add(time.Millisecond)
		p.tell(protocol.WorkBroke, number(n), ends[n/10%10], "entry")
	}
}

// BenchmarkFingerprint hashes a prompt of some thousand tokens.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 10_000)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for range b.N {
		protocol.FingerprintOf("team", "POST", "host", "/path", body)
	}
}

// BenchmarkFull fills a book: 4,096 pieces of work, ten at each end, with two ends each.
func BenchmarkFull(b *testing.B) {
	const works = 4096
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := newPage()
		for n := range works {
			p.tell(protocol.WorkBroke, number(n), fmt.Sprint("e-", n/10), "entry")
			p.tell(protocol.WorkBroke, number(n), fmt.Sprint("f-", n/10), "entry")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/works, "bytes/work")
		runtime.KeepAlive(p)
	}
}
