// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChange puts a change in and waits until every follower of one entry has it.
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
					for e.believes.value(table) != value {
						time.Sleep(20 * time.Microsecond)
					}
				}
			}
			b.ReportMetric(float64(calls()-before)/float64(n)/float64(followers), "calls/follower")
		})
	}
}

// BenchmarkConfirm asks the followed entry how fresh it is, one question after the
// other.
func BenchmarkConfirm(b *testing.B) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(b, s, 2)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := all[1].source.Read(b.Context(), kind, table); err != nil {
			b.Fatal(err)
		}
	}
}
