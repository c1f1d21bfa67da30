// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// BenchmarkStatus queries the status among 1,000 pieces of work that were involved in a crash, as
// an entry does for each request while any work is suspected.
func BenchmarkStatus(b *testing.B) {
	h := newHarness()
	for n := range 1000 {
		h.report(protocol.WorkBroke, fingerprint(n), "e-1", "entry")
	}
	h.tracker.RecordCrash("e-1", 1, h.now)
	b.ReportAllocs()
	for n := range b.N {
		h.status(fingerprint(n % 2000))
	}
}

// BenchmarkApply applies the reports of an outage: crashes with ten new pieces of work each.
func BenchmarkApply(b *testing.B) {
	h := newHarness()
	endpoints := []string{"e-0", "e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8", "e-9"}
	b.ReportAllocs()
	for n := range b.N {
		h.now = h.now.Add(time.Millisecond)
		h.report(protocol.WorkBroke, fingerprint(n), endpoints[n/10%10], "entry")
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

// BenchmarkFull fills a tracker with 4,096 pieces of work. Ten of them share each crash, and each
// is involved in two.
func BenchmarkFull(b *testing.B) {
	const works = 4096
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := newHarness()
		for n := range works {
			h.report(protocol.WorkBroke, fingerprint(n), fmt.Sprint("e-", n/10), "entry")
			h.report(protocol.WorkBroke, fingerprint(n), fmt.Sprint("f-", n/10), "entry")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/works, "bytes/work")
		runtime.KeepAlive(h)
	}
}

// BenchmarkStatusWithParts is BenchmarkStatus for requests with three parts, of which one is in all of them.
func BenchmarkStatusWithParts(b *testing.B) {
	h := newHarness()
	for n := range 1000 {
		h.reportParts(protocol.WorkBroke, "e-1", fingerprint(n), first, fingerprint(10_000+n%8), fingerprint(20_000+n%100))
	}
	h.tracker.RecordCrash("e-1", 1, h.now)
	b.ReportAllocs()
	for n := range b.N {
		h.partStatus(fingerprint(n%2000), first, fingerprint(10_000+n%8), fingerprint(20_000+n%100))
	}
}

// BenchmarkRecordParts records what an entry does for each request with three parts in calm time.
func BenchmarkRecordParts(b *testing.B) {
	var history quarantine.History
	b.ReportAllocs()
	for n := range b.N {
		for _, id := range []string{"aa00", "5b07", "91bd3f06"} {
			history.Record(protocol.FingerprintOfPart(id), startTime.Add(time.Duration(n)))
		}
	}
}

// BenchmarkNewRefusals looks for refusals among a thousand pieces of work that were near two crashes each, as an
// entry does every 50 ms while anything is suspected.
func BenchmarkNewRefusals(b *testing.B) {
	h := newHarness()
	for n := range 1000 {
		h.reportParts(protocol.WorkBroke, "e-1", fingerprint(n), first, fingerprint(10_000+n%8))
		h.reportParts(protocol.WorkBroke, "e-2", fingerprint(n), first, fingerprint(10_000+n%8))
	}
	h.tracker.RecordCrash("e-1", 1, h.now)
	h.tracker.RecordCrash("e-2", 1, h.now)
	for range b.N {
		h.tracker.NewRefusals(h.now, h.now)
	}
}
