// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChange makes a change and waits until every follower of one entry has it.
func BenchmarkChange(b *testing.B) {
	for _, followers := range []int{7, 23, 41} {
		b.Run(fmt.Sprintf("followers-%d", followers), func(b *testing.B) {
			s := newStore()
			s.put(table, "one")
			all := newEntries(b, s, followers+1)
			calls := func() (n int) {
				for _, e := range all[1:] {
					n += e.calls()
				}
				return n
			}
			before := calls()
			n := 0
			for b.Loop() {
				n++
				value := fmt.Sprint("value-", n)
				s.put(table, value)
				for _, e := range all {
					for e.state.value(table) != value {
						time.Sleep(20 * time.Microsecond)
					}
				}
			}
			b.ReportMetric(float64(calls()-before)/float64(n)/float64(followers), "calls/follower")
		})
	}
}

// BenchmarkConfirm has the first entry read the confirmed object, and a follower ask for that
// confirmation.
func BenchmarkConfirm(b *testing.B) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(b, s, 2)
	for _, e := range all {
		e.confirmer.Close()
	}
	time.Sleep(time.Second) // until its last request is answered
	b.ReportAllocs()
	for b.Loop() {
		for _, e := range all {
			if _, err := e.source.Read(b.Context(), kind, table); err != nil {
				b.Fatal(err)
			}
		}
	}
}
